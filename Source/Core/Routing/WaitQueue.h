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

/// What requests queue for: an artifact, or a plain service's pool.
struct LaneKey {
  model::ArtifactId m_Artifact;
  model::PoolId m_Service;

  friend auto operator<=>(const LaneKey &, const LaneKey &) = default;
};

struct QueuedRequest {
  model::RequestId m_Request;
  model::CallerId m_Caller;
  uint32_t m_Weight = 1;
  model::Priority m_Priority = model::Priority::Interactive;
  uint64_t m_Bytes = 0;
  /// Predicted service, seconds: what it costs its caller and lane.
  double m_Work = 0;

  friend auto operator<=>(const QueuedRequest &,
                          const QueuedRequest &) = default;
};

/// Requests that wait for room, in lanes bounded by count and bytes. Order is
/// start-time fair queueing twice over: among lanes, and in a lane among
/// callers by weight. Interactive requests go before batch ones.
class WaitQueue {
public:
  WaitQueue(uint32_t MaxRequests, uint64_t MaxBytes)
      : m_MaxRequests(MaxRequests), m_MaxBytes(MaxBytes) {}

  /// False where the lane is full.
  bool push(const LaneKey &Key, const QueuedRequest &Value);
  bool remove(const LaneKey &Key, const QueuedRequest &Value);

  /// Lanes where requests of \p Class wait, the one served least first.
  std::vector<LaneKey> lanes(model::Priority Class) const;
  /// Whose turn it is in a lane.
  const QueuedRequest *front(const LaneKey &Key, model::Priority Class) const;
  /// Takes that one out and charges it to its caller and lane.
  void pop(const LaneKey &Key, model::Priority Class);

  /// The newest waiting batch request of a lane, which yields first.
  std::optional<QueuedRequest> newestBatch(const LaneKey &Key) const;

  /// Requests that would be served before a new one of this caller.
  double ahead(const LaneKey &Key, const model::CallerId &Caller,
               model::Priority Class) const;

  bool empty() const { return m_Count == 0; }
  bool empty(const LaneKey &Key) const { return !m_Lanes.contains(Key); }
  uint32_t size() const { return m_Count; }

private:
  struct Line {
    std::deque<QueuedRequest> m_Requests;
    /// Work done for this caller over its weight.
    double m_Served = 0;
  };
  struct ClassLane {
    std::map<model::CallerId, Line> m_Lines;
    uint32_t m_Count = 0;
    double m_Served = 0;
  };
  struct Lane {
    std::array<ClassLane, 2> m_Classes;
    uint32_t m_Count = 0;
    uint64_t m_Bytes = 0;
  };
  using LaneMap = std::map<LaneKey, Lane>;

  static size_t indexOf(model::Priority Class) {
    return static_cast<size_t>(Class);
  }
  static std::map<model::CallerId, Line>::const_iterator
  nextLine(const ClassLane &Class);
  void taken(LaneMap::iterator Found, const QueuedRequest &Value);

  uint32_t m_MaxRequests;
  uint64_t m_MaxBytes;
  uint32_t m_Count = 0;
  LaneMap m_Lanes;
  // Lanes that come back from idleness start here: no credit for the past.
  std::array<double, 2> m_ServedFloor{};
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_WAITQUEUE_H
