#ifndef BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H
#define BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H

#include "Core/Placement/PoolState.h"

#include <optional>
#include <tuple>

namespace bronzepass::core::placement {

/// Admits queued loads within the pool's part of the weight store's rate and
/// concurrency. What is in flight is read off the ledgers, so that a new lease
/// holder counts its predecessor's loads too.
class LoadQueue {
public:
  LoadQueue(PoolState &Pool, model::TimePoint Now)
      : m_Pool(Pool), m_RefilledAt(Now) {}

  /// Records the most urgent loads that may start now.
  void admit(model::TimePoint Now);
  /// Loads recorded whose copy does not serve yet.
  uint32_t inFlight(model::TimePoint Now) const;

private:
  /// Position in the queue; the least goes first.
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
  /// Loads that may start at once; never more than one, so that no second sees
  /// more than the rate and one.
  double m_Tokens = 0;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_LOADQUEUE_H
