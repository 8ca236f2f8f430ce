#ifndef BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H
#define BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H

#include "Core/Model/Time.h"

#include <cstdint>

namespace bronzepass::core::placement {

/// Times and limits of placement. The defaults fit both deployments.
struct PlacementSettings {
  /// Timeout of a ledger call; after it the ledger is read to learn the
  /// outcome.
  model::Duration m_StoreTimeout = std::chrono::seconds(2);
  /// Delay after a failed ledger call.
  model::Duration m_StoreRetryDelay = std::chrono::milliseconds(500);
  /// Maximum number of pending ledger calls of one pool.
  uint32_t m_MaxStoreCalls = 32;
  /// Timeout of an order; after it the outcome counts as unknown.
  model::Duration m_OrderTimeout = std::chrono::seconds(5);
  /// Interval at which an order is resent until its effect is proven.
  model::Duration m_OrderRetryInterval = std::chrono::seconds(5);
  /// Maximum time between sending an order and its arrival at the engine. Used
  /// only for engines that ignore old fencing tokens.
  model::Duration m_OrderLifetime = std::chrono::minutes(2);
  /// Age at which a report no longer proves that a copy can answer.
  model::Duration m_ReportFreshness = std::chrono::seconds(10);
  /// A report with a lower sequence number that was made this much later comes
  /// from a restarted engine.
  model::Duration m_ReportSkew = std::chrono::seconds(2);
  /// Consecutive missed reports after which an engine counts as lost.
  uint32_t m_MaxMissedReports = 3;
  /// A new lease holder starts planning at the latest this long after it has
  /// listed the ledgers, even if some engine is neither claimed nor known to be
  /// down.
  model::Duration m_StartGrace = std::chrono::seconds(10);
  /// Interval of the demand review.
  model::Duration m_ReviewPeriod = std::chrono::seconds(5);
  /// Assumed duration of a burst when the gain of a further copy is estimated.
  model::Duration m_BurstHorizon = std::chrono::minutes(10);
  /// Time over which demand is averaged.
  model::Duration m_DemandAverage = std::chrono::seconds(30);
  /// Minimum time for which a copy is kept after demand stopped needing it.
  model::Duration m_SpareCopyHold = std::chrono::minutes(10);
  /// Time without requests after which a retired artifact is unloaded.
  model::Duration m_RetireIdleTime = std::chrono::seconds(30);
  /// Time after which a queued load that still has no room is planned again.
  model::Duration m_ReplanAfter = std::chrono::minutes(3);
  /// An engine that came back takes no new loads for this long. Doubled with
  /// each further loss, up to m_MaxFlapHoldDown.
  model::Duration m_FlapHoldDown = std::chrono::seconds(15);
  model::Duration m_MaxFlapHoldDown = std::chrono::minutes(15);
  /// An engine without a loss for this long is no longer considered flapping.
  model::Duration m_FlapResetTime = std::chrono::minutes(30);
  /// Slot utilization up to which an engine takes the load of a further copy.
  double m_MaxSlotUtilization = 0.85;
  /// Slot utilization below which a copy counts as spare.
  double m_SpareSlotUtilization = 0.5;
  /// Factor by which the gain of a further copy must exceed the cost of loading
  /// it.
  double m_MoveMargin = 2;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLACEMENTSETTINGS_H
