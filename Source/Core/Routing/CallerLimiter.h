#ifndef BRONZEPASS_CORE_ROUTING_CALLERLIMITER_H
#define BRONZEPASS_CORE_ROUTING_CALLERLIMITER_H

#include "Core/Model/Intent.h"
#include "Core/Model/Time.h"
#include "Core/Ports/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::routing {

/// Holds callers to their limits over all nodes. Each node has a token bucket
/// per caller, filled at what the other nodes were last told to leave of the
/// limit, and at no less than an equal part; what was used beyond the limit
/// before the news came is taken off the bucket.
class CallerLimiter {
public:
  explicit CallerLimiter(model::Duration Period) : m_Period(Period) {}

  /// Nothing where the caller may go on, and it is counted; else when to come
  /// back.
  std::optional<model::Duration> admit(const model::CallerSpec &Caller,
                                       size_t Nodes, model::TimePoint Now);
  /// A request that admit() counted has ended after \p Tokens.
  void ended(const model::CallerId &Caller, uint32_t Tokens);

  void othersUsed(const std::vector<ports::CallerUsage> &Others);

  /// Use through this node since the last call; forgets idle callers.
  std::vector<ports::CallerUsage> takeUsage();

private:
  struct Bucket {
    double m_Available = 0;
    void refill(double Rate, double Cap, double Elapsed);
  };
  struct Entry {
    model::CallerLimits m_Limits;
    size_t m_Nodes = 1;
    bool m_Fresh = true;
    model::TimePoint m_FilledAt;
    Bucket m_Requests;
    Bucket m_Tokens;
    ports::CallerUsage m_Own;
    ports::CallerUsage m_LastOwn;
    ports::CallerUsage m_Others;
  };

  void refill(Entry &Value, model::TimePoint Now) const;
  double rateLeft(double Limit, double Others, size_t Nodes) const;

  model::Duration m_Period;
  std::map<model::CallerId, Entry> m_Entries;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_CALLERLIMITER_H
