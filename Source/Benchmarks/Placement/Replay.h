#ifndef BRONZEPASS_BENCHMARKS_PLACEMENT_REPLAY_H
#define BRONZEPASS_BENCHMARKS_PLACEMENT_REPLAY_H

#include "Benchmarks/Placement/Fleet.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::benchmarks::placement {

struct Scenario {
  std::string m_Name;
  model::Duration m_Length;
  /// Called after the warm-up and a quarter of the length; may be empty.
  std::function<void(Fleet &, const model::Intent &)> m_Event;
};

struct Outcome {
  double m_Attained = 0;
  double m_InTimePerAccelerator = 0;
  uint64_t m_Moves = 0;
  uint64_t m_AdapterLoads = 0;
  /// Seconds in which a model declared from the start had no answering copy
  /// of any version.
  double m_UnreachableSeconds = 0;
  /// From the event until everything declared is served, adapters included;
  /// negative if that doesn't happen within the replay.
  double m_RecoverySeconds = -1;
  double m_MaxPromisedShare = 0;
};

/// Runs \p Scene on \p Engines, which serve the intent \p Value, with demand
/// generated from a fixed seed.
Outcome replay(const Scenario &Scene, const model::Intent &Value,
               Fleet &Engines);

/// An ordinary day of length \p Day, and the scenarios with a failure or a
/// large change of the intent.
std::vector<Scenario> scenarios(model::Duration Day);

/// One fleet for each policy; the placement core comes first.
std::vector<std::unique_ptr<Fleet>>
fleets(const std::shared_ptr<const model::Intent> &Value);

} // namespace bronzepass::benchmarks::placement

#endif // BRONZEPASS_BENCHMARKS_PLACEMENT_REPLAY_H
