#ifndef BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H
#define BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H

#include "Core/Model/Time.h"

#include <cstdint>

namespace bronzepass::core::placement {

/// Times and limits of placement; the defaults suit both deployments.
struct PlacementSettings {
  /// How long a ledger call may take before its outcome is looked up.
  model::Duration m_StoreTimeout = std::chrono::seconds(2);
  /// Pause after a ledger call that failed.
  model::Duration m_StoreRetryDelay = std::chrono::milliseconds(500);
  /// Ledger calls of one pool that may wait for an answer at once.
  uint32_t m_MaxStoreCalls = 32;
  /// An order without an answer is taken as unknown after this.
  model::Duration m_OrderTimeout = std::chrono::seconds(5);
  /// Pause before an order without evidence is repeated.
  model::Duration m_OrderRetryInterval = std::chrono::seconds(5);
  /// No order that left a node reaches an engine later than this. Counts only
  /// for engines that ignore old fencing tokens.
  model::Duration m_OrderLifetime = std::chrono::minutes(2);
  /// A report older than this does not show that a copy answers.
  model::Duration m_ReportFreshness = std::chrono::seconds(10);
  /// A lower report sequence this much later is a restarted engine's.
  model::Duration m_ReportSkew = std::chrono::seconds(2);
  /// Reports missed in a row until an engine counts as lost.
  uint32_t m_MaxMissedReports = 3;
  /// A new lease holder plans at the latest this long after it has listed the
  /// ledgers, also where some engine is neither claimed nor known to be down.
  model::Duration m_StartGrace = std::chrono::seconds(10);
  /// Period of the plan's review of demand.
  model::Duration m_ReviewPeriod = std::chrono::seconds(5);
  /// How long a burst is taken to last when a copy is weighed.
  model::Duration m_BurstHorizon = std::chrono::minutes(10);
  /// Demand is averaged over this.
  model::Duration m_DemandAverage = std::chrono::seconds(30);
  /// A copy that demand no longer needs is kept at least this long.
  model::Duration m_SpareCopyHold = std::chrono::minutes(10);
  /// A retired artifact is unloaded after this long without a request.
  model::Duration m_RetireIdleTime = std::chrono::seconds(30);
  /// A planned load that found no room is planned anew after this.
  model::Duration m_ReplanAfter = std::chrono::minutes(3);
  /// An engine that came back takes no new load for this long; doubled with
  /// each further loss, up to m_MaxFlapHoldDown.
  model::Duration m_FlapHoldDown = std::chrono::seconds(15);
  model::Duration m_MaxFlapHoldDown = std::chrono::minutes(15);
  /// An engine that stays up this long is no longer held to flap.
  model::Duration m_FlapResetTime = std::chrono::minutes(30);
  /// Use of an engine's slots up to which it takes a further copy's load.
  double m_MaxSlotUtilization = 0.85;
  /// Use of slots under which a copy counts as spare.
  double m_SpareSlotUtilization = 0.5;
  /// How often over a copy has to earn what its load costs.
  double m_MoveMargin = 2;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H
