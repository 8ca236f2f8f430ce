#ifndef BRONZEPASS_UNITTESTS_STOPS_STOPCALLERS_H
#define BRONZEPASS_UNITTESTS_STOPS_STOPCALLERS_H

#include "UnitTests/Soak/CallerConnection.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/SoakNodes.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::stops {

/// Of all callers, where the configuration asks for one.
inline const std::string CallerKey = "key";

/// A request that a caller sends at a moment of the stop; before and after it
/// the caller sends short ones on the same connection.
struct PlannedRequest {
  soak::RequestKind m_Kind = soak::RequestKind::Once;
  std::string m_Path;
  /// Empty: not for an engine.
  std::string m_Model;
  std::string m_TokenCount;
  /// Since the stop; negative: before.
  std::chrono::milliseconds m_At{0};
};

/// Callers of a node that send on connections which they keep until the process
/// of the node that stops is gone.
class StopCallers {
public:
  StopCallers(soak::SoakNodes &Nodes, size_t Called, size_t Stopping,
              soak::RequestRecord &Record,
              const std::vector<PlannedRequest> &Planned,
              soak::SteadyTime StopAt, std::chrono::milliseconds Timeout);
  ~StopCallers();
  StopCallers(const StopCallers &) = delete;
  StopCallers &operator=(const StopCallers &) = delete;

  /// Of the routes, from now on.
  void setTimeout(std::chrono::milliseconds Timeout) { m_Timeout = Timeout; }
  /// Answers, as kind of end and number.
  std::map<std::string, size_t> counts() const;

private:
  void runCaller(size_t Number, const PlannedRequest &Planned);
  void sendOne(soak::CallerConnection &Connection, const std::string &Id,
               const PlannedRequest &Request);

  soak::SoakNodes &m_Nodes;
  const size_t m_Called;
  const size_t m_Stopping;
  soak::RequestRecord &m_Record;
  const soak::SteadyTime m_StopAt;
  std::atomic<std::chrono::milliseconds> m_Timeout;
  mutable std::mutex m_Mutex;
  std::map<std::string, size_t> m_Counts;
  std::vector<std::thread> m_Threads;
};

} // namespace bronzepass::unit_tests::stops

#endif // BRONZEPASS_UNITTESTS_STOPS_STOPCALLERS_H
