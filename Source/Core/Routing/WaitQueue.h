#ifndef BRONZEPASS_CORE_ROUTING_WAITQUEUE_H
#define BRONZEPASS_CORE_ROUTING_WAITQUEUE_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Request.h"

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::routing {

/// Identifies a queue by what its requests wait for: an artifact, or the pool
/// of a plain service.
struct LaneKey {
  model::ArtifactId m_Artifact;
  model::PoolId m_ServicePool;

  friend auto operator<=>(const LaneKey &, const LaneKey &) = default;
};

struct QueuedRequest {
  model::RequestId m_Request;
  model::CallerId m_Caller;
  uint32_t m_Weight = 1;
  model::Priority m_Priority = model::Priority::Interactive;
  uint64_t m_Bytes = 0;
  /// Predicted service time, which is charged to its caller and lane.
  double m_ServiceSeconds = 0;

  friend auto operator<=>(const QueuedRequest &,
                          const QueuedRequest &) = default;
};

/// Requests that wait for capacity, in lanes limited by count and bytes. The
/// order is start-time fair queueing on two levels: among lanes, and within a
/// lane among callers by weight. Interactive requests go before batch requests.
class WaitQueue {
public:
  WaitQueue(uint32_t MaxRequests, uint64_t MaxBytes)
      : m_MaxRequests(MaxRequests), m_MaxBytes(MaxBytes) {}

  /// Returns false if the lane is full.
  bool push(const LaneKey &Key, const QueuedRequest &Value);
  bool remove(const LaneKey &Key, const QueuedRequest &Value);

  /// Lanes in which requests of \p Class wait, the least served lane first.
  std::vector<LaneKey> lanes(model::Priority Class) const;
  /// The next request of a lane; null if none waits.
  const QueuedRequest *front(const LaneKey &Key, model::Priority Class) const;
  /// Removes the request that front() returns and charges its service time to
  /// its caller and lane.
  void pop(const LaneKey &Key, model::Priority Class);

  /// The newest waiting batch request of a lane, which is the first to give up
  /// its place.
  std::optional<QueuedRequest> newestBatch(const LaneKey &Key) const;

  /// Number of requests that would be served before a new one of this caller.
  double countAhead(const LaneKey &Key, const model::CallerId &Caller,
                    model::Priority Class) const;

  bool empty() const { return m_Count == 0; }
  bool empty(const LaneKey &Key) const { return !m_Lanes.contains(Key); }
  uint32_t size() const { return m_Count; }

private:
  struct CallerQueue {
    std::deque<QueuedRequest> m_Requests;
    /// Service seconds charged to this caller, divided by its weight.
    double m_VirtualTime = 0;
  };
  struct PriorityLane {
    std::map<model::CallerId, CallerQueue> m_CallerQueues;
    uint32_t m_Count = 0;
    /// Service seconds charged to this lane and priority.
    double m_VirtualTime = 0;
  };
  struct Lane {
    std::array<PriorityLane, 2> m_Classes;
    uint32_t m_Count = 0;
    uint64_t m_Bytes = 0;
  };
  using LaneMap = std::map<LaneKey, Lane>;

  static size_t indexOf(model::Priority Class) {
    return static_cast<size_t>(Class);
  }
  static std::map<model::CallerId, CallerQueue>::const_iterator
  nextCallerQueue(const PriorityLane &Class);
  void updateAfterRemoval(LaneMap::iterator Found, const QueuedRequest &Value);

  uint32_t m_MaxRequests;
  uint64_t m_MaxBytes;
  uint32_t m_Count = 0;
  LaneMap m_Lanes;
  // Virtual time at which a lane that was idle starts, so that it gets no
  // credit for its idle time.
  std::array<double, 2> m_MinVirtualTime{};
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_WAITQUEUE_H
