#ifndef BRONZEPASS_UNITTESTS_SOAK_SOAKCALLERS_H
#define BRONZEPASS_UNITTESTS_SOAK_SOAKCALLERS_H

#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/SoakNodes.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::soak {

class CallerConnection;
struct CallerResponse;

/// Callers with an open connection each, used until its node is gone, that
/// check each answer.
class SoakCallers {
public:
  SoakCallers(size_t Count, uint64_t Seed, SoakNodes &Nodes,
              RequestRecord &Record, const std::vector<std::string> &Models);
  ~SoakCallers();
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  static constexpr double UsualLeaveShare = 0.03;

  /// Share of the callers that leave in the middle of their answer.
  void setLeaveShare(double Share) { m_LeaveShare = Share; }
  /// Requests sent and answered with success since the last call.
  std::pair<uint64_t, uint64_t> takeCounts();

private:
  void runCaller(uint64_t Seed);
  void judge(const std::string &Id, RequestKind Kind,
             const CallerResponse &Response, size_t Node, SteadyTime SentAt,
             uint64_t Incarnation);

  SoakNodes &m_Nodes;
  RequestRecord &m_Record;
  const std::vector<std::string> m_Models;
  std::atomic<bool> m_Stopping = false;
  std::atomic<double> m_LeaveShare = UsualLeaveShare;
  std::atomic<uint64_t> m_Sent = 0;
  std::atomic<uint64_t> m_Served = 0;
  std::vector<std::thread> m_Threads;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_SOAKCALLERS_H
