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

/// Enforces each caller's limits across all nodes. Every node keeps token
/// buckets per caller, refilled at the limit minus the last reported usage of
/// the other nodes, but at no less than an equal share of the limit. Usage
/// above the limit that a report reveals later is deducted from the buckets.
class CallerLimiter {
public:
  explicit CallerLimiter(model::Duration Period) : m_Period(Period) {}

  /// Counts the request and returns nothing if the limits admit it; otherwise
  /// returns the time after which to retry.
  std::optional<model::Duration> admit(const model::CallerSpec &Caller,
                                       size_t Nodes, model::TimePoint Now);
  /// Must be called for each request that admit() counted. \p Tokens are its
  /// prompt and answer tokens.
  void onRequestEnded(const model::CallerId &Caller, uint32_t Tokens);

  /// Replaces the usage of all callers on the other nodes.
  void setRemoteUsage(const std::vector<ports::CallerUsage> &RemoteUsage);

  /// Returns usage on this node since the last call; drops idle callers.
  std::vector<ports::CallerUsage> takeUsage();

private:
  struct Bucket {
    double m_Available = 0;
    void refill(double Rate, double Cap, double Elapsed);
  };
  struct Entry {
    model::CallerLimits m_Limits;
    size_t m_Nodes = 1;
    /// The next refill grants a full burst: the caller or its limits are new.
    bool m_StartFull = true;
    model::TimePoint m_RefilledAt;
    Bucket m_Requests;
    Bucket m_Tokens;
    ports::CallerUsage m_LocalUsage;
    ports::CallerUsage m_LastLocalUsage;
    ports::CallerUsage m_RemoteUsage;
  };

  void refill(Entry &Value, model::TimePoint Now) const;
  /// Part of \p Limit that this node may use, per second.
  double localRate(double Limit, double RemoteUse, size_t Nodes) const;

  model::Duration m_Period;
  std::map<model::CallerId, Entry> m_Entries;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_CALLERLIMITER_H
