#ifndef BRONZEPASS_UNITTESTS_SOAK_PLANTEDFAULT_H
#define BRONZEPASS_UNITTESTS_SOAK_PLANTEDFAULT_H

namespace bronzepass::unit_tests::soak {

/// What the surroundings of the nodes break on purpose, one for each promise,
/// to show that its check finds it.
enum class PlantedFault {
  None,
  /// An answer that looks complete lacks its end.
  ShortAnswer,
  /// An answer bears another endpoint's seal.
  ForeignSeal,
  /// An endpoint runs what no caller sent.
  InventedRun,
  /// A run counts twice.
  RunsTwice,
  /// A refusal says "not run" of a request that did run.
  FalseRefusal,
  /// A run goes on after its caller has left.
  DeafRun,
  /// An endpoint that leaves is not told of in the store.
  SilentDrain,
  /// Changes of the configuration are not told to watches.
  SilentConfiguration,
  /// A newer configuration lacks the routes of the ones before.
  DroppedRoutes,
  /// An engine reports less than it holds.
  HiddenModels,
  /// Orders count as those of another holder.
  SecondHolder,
  /// Each load counts as many.
  ManyLoads,
  /// A planned stop is a kill.
  StopKills,
  /// A node ends by itself.
  EndsByItself,
  /// All engines register one software version, whatever theirs is.
  HiddenVersion,
  /// Endpoints refuse most requests after the last trouble.
  NoRecovery,
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_PLANTEDFAULT_H
