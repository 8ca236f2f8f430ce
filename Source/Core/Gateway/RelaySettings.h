#ifndef BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H
#define BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H

#include "Core/Gateway/RetryLimiter.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Organisations/QuotaPlan.h"

namespace bronzepass::core::gateway {

/// Settings of RelayCore.
struct RelaySettings {
  RetryLimits m_Retries;
  /// How long a key may open routes after it was taken away, also at a node
  /// that is not told; zero: no limit.
  model::Duration m_KeyRevocationTime{0};
  organisations::QuotaSettings m_Quotas;
  organisations::QuotaTiming m_QuotaTiming;
  /// How long a request waits for the holder of quotas to answer: several round
  /// trips.
  model::Duration m_MaxQuotaWait = std::chrono::milliseconds(60);
  /// Failure domain of this node.
  model::DomainId m_Domain;
  /// Applies if neither the caller nor the route sets a timeout.
  model::Duration m_DefaultWindow = std::chrono::seconds(30);
  /// No retry with less time left than this: a few network round trips.
  model::Duration m_MinTimeForRetry = std::chrono::milliseconds(20);
  /// How long a request waits for an adapter to be loaded. A load takes some
  /// milliseconds plus a round trip to the lease holder, so waiting is better
  /// than refusing the request.
  model::Duration m_MaxAdapterWait = std::chrono::milliseconds(400);
  /// Maximum sends of one request, including those proven not to have run.
  uint32_t m_MaxSends = 4;
  /// An endpoint that refuses a connection is ejected for this long, doubled
  /// with each further consecutive failure.
  model::Duration m_BaseEjectionTime = std::chrono::milliseconds(500);
  model::Duration m_MaxEjectionTime = std::chrono::seconds(4);
  /// Consecutive failures without an answer that eject an endpoint.
  uint32_t m_EjectAfterFailures = 3;
  /// An endpoint's failure share halves in this time without new answers, so
  /// that the endpoint is tried again.
  model::Duration m_FailureHalfLife = std::chrono::seconds(2);
  /// The same for the share of requests that an endpoint turns away.
  model::Duration m_RejectHalfLife = std::chrono::seconds(1);
  /// The same for an endpoint's slowness: engines are slow for some seconds
  /// after they start.
  model::Duration m_SlownessHalfLife = std::chrono::seconds(4);
  /// A peer's load counts older than this are ignored: four notice periods.
  model::Duration m_MaxPeerLoadAge = std::chrono::seconds(1);
  /// Prefill queued at an engine, as a share of the shortest event gap target
  /// of its streams, from which on requests wait at this node. The rest of the
  /// gap is for the batch's own steps.
  double m_MaxQueuedShareOfGap = 0.45;
  /// Maximum predicted wait for a slot, as a share of the time left.
  double m_MaxWaitShare = 0.5;

  /// Orders waiting requests by slack where HoldRules call for it; otherwise
  /// all by rank.
  bool m_OrdersBySlack = false;

  friend auto operator<=>(const RelaySettings &,
                          const RelaySettings &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H
