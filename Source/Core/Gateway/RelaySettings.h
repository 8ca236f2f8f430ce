#ifndef BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H
#define BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H

#include "Core/Gateway/RetryWindow.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

namespace bronzepass::core::gateway {

/// How the relay decides. Times that no page or measurement fixes say so.
struct RelaySettings {
  RetryLimits m_Retries;
  /// Failure domain of this node.
  model::DomainId m_Domain;
  /// Where the caller named no window and the route no time-out.
  model::Duration m_DefaultWindow = std::chrono::seconds(30);
  /// Less than this left is not enough to try again: some network round trips.
  model::Duration m_LeastRemaining = std::chrono::milliseconds(20);
  /// An adapter is loaded in some milliseconds; with the way to the lease
  /// holder and back a request is better held than sent away.
  model::Duration m_AdapterWait = std::chrono::milliseconds(400);
  /// Sends of one request, those that proved not to have run included.
  uint32_t m_MaxSends = 4;
  /// A refused connection keeps an endpoint out this long; doubled with each
  /// further failure in a row.
  model::Duration m_EjectFor = std::chrono::milliseconds(500);
  model::Duration m_EjectMost = std::chrono::seconds(4);
  /// Failures without an answer, in a row, that eject.
  uint32_t m_EjectAfter = 3;
  /// An endpoint's failure share halves in this time without news, so that it
  /// is tried again.
  model::Duration m_FailureHalfLife = std::chrono::seconds(2);
  /// Likewise for what it is slower than the others: engines that have just
  /// started are slow for some seconds.
  model::Duration m_SlownessHalfLife = std::chrono::seconds(4);
  /// A peer's counts are left out when older than this: four of its periods.
  model::Duration m_PeerFreshness = std::chrono::seconds(1);
  /// Part of a request's window that it may be predicted to wait for a slot.
  double m_MaxWaitShare = 0.5;

  friend auto operator<=>(const RelaySettings &,
                          const RelaySettings &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYSETTINGS_H
