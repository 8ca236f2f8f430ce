#ifndef BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H
#define BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H

#include "Core/Placement/PoolState.h"

#include <optional>
#include <tuple>

namespace bronzepass::core::placement {

/// Starts queued loads within the pool's share of the weight store's load rate
/// and concurrency. Loads in flight are counted from the ledgers, so that a new
/// lease holder includes those of its predecessor.
class LoadQueue {
public:
  LoadQueue(PoolState &Pool, model::TimePoint Now)
      : m_Pool(Pool), m_RefilledAt(Now) {}

  /// Records the most urgent load that may start now, if any.
  void admit(model::TimePoint Now);
  /// Recorded loads whose copy does not serve yet.
  uint32_t inFlight(model::TimePoint Now) const;

private:
  /// Sort key of a queued load; the smallest goes first.
  struct Rank {
    LoadUrgency m_Urgency = LoadUrgency::Demand;
    double m_NegatedDemand = 0;
    model::TimePoint m_QueuedAt;
    model::ArtifactId m_Artifact;
    EngineIndex m_Engine = 0;

    friend auto operator<=>(const Rank &, const Rank &) = default;
  };
  struct Choice {
    Rank m_Rank;
    model::ArtifactId m_Base;
    size_t m_Position = 0;
  };

  void refill(model::TimePoint Now);
  bool mayStart(const QueuedLoad &Load, model::TimePoint Now) const;
  Rank rank(const QueuedLoad &Load, model::TimePoint Now) const;
  std::optional<Choice> mostUrgent(model::TimePoint Now) const;
  bool start(const Choice &Chosen, model::TimePoint Now);

  PoolState &m_Pool;
  model::TimePoint m_RefilledAt;
  /// Rate limiter tokens. Capped at one, so that no second has more starts than
  /// the rate plus one.
  double m_Tokens = 0;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H
