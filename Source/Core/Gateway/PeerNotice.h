#ifndef BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H
#define BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H

#include "Core/Gateway/EndpointPace.h"
#include "Core/Gateway/EndpointStatement.h"
#include "Core/Gateway/QuarantineNotice.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Gateway/StreamNotice.h"
#include "Core/Model/Id.h"
#include "Core/Organisations/QuotaNotice.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Maximum number of peers that receive a node's loads. With more peers, a node
/// sends to the lease holder and to the first others in rendezvous order.
inline constexpr size_t MaxNoticeTargets = 24;

/// The load that one node has in flight at one endpoint.
struct EndpointLoad {
  model::EndpointId m_Endpoint;
  uint32_t m_InFlight = 0;
  /// Prompt tokens of the requests whose answer has not started.
  uint32_t m_PrefillTokens = 0;

  friend auto operator<=>(const EndpointLoad &, const EndpointLoad &) = default;
};

/// Counts the requests for one model (or adapter) at one node since the node
/// started. The counters never decrease, so a lost notice loses no data.
struct UsageCounter {
  std::string m_Service;
  ModelRef m_ModelRef;
  uint64_t m_Requests = 0;
  uint64_t m_Tokens = 0;

  friend auto operator<=>(const UsageCounter &, const UsageCounter &) = default;
};

/// A model copy that the lease holder has loaded or is about to unload.
struct CopyChange {
  model::EndpointId m_Endpoint;
  ModelRef m_ModelRef;
  bool m_Removed = false;

  friend auto operator<=>(const CopyChange &, const CopyChange &) = default;
};

/// What an endpoint said of itself in an answer to the sender.
struct EndpointNotice {
  model::EndpointId m_Endpoint;
  /// Since that answer.
  model::Duration m_Age{0};
  EndpointStatement m_Statement;
  /// It has just turned a request away for want of room and should get none for
  /// so long; zero if it has not.
  model::Duration m_FullFor{0};

  friend auto operator<=>(const EndpointNotice &,
                          const EndpointNotice &) = default;
};

/// The datagram that nodes send each other. Each one replaces the one before;
/// a lost one only makes load estimates less accurate.
struct PeerNotice {
  model::NodeId m_From;
  /// Identifies the start of the sender: differs after a restart.
  uint64_t m_Start = 0;
  uint64_t m_Sequence = 0;
  std::vector<EndpointLoad> m_Loads;
  std::vector<UsageCounter> m_UsageCounters;
  std::vector<CopyChange> m_CopyChanges;
  /// Copies that the sender requests from the lease holder.
  std::vector<CopyRequest> m_CopyRequests;
  QuarantineNotice m_Quarantine;
  std::vector<EndpointNotice> m_EndpointNotices;
  /// Of the endpoints that are under a pace at the sender.
  std::vector<PaceReport> m_PaceReports;
  /// Told to all peers, since a caller may take its stream up at any node.
  StreamNotice m_Streams;
  /// Port at which the sender takes requests that other nodes forward; 0 if it
  /// takes none.
  uint16_t m_ForwardingPort = 0;
  /// The address that the notice came from; not sent.
  std::string m_SenderIp;
  /// Services to whose endpoints the sender has lost its links.
  std::vector<std::string> m_LostServices;
  /// The sender holds the placement lease.
  bool m_HoldsLease = false;
  /// The sender reads the platform's store itself, and tells what it knows.
  bool m_IsSource = false;
  /// The store does not answer the sender.
  bool m_IsStoreRefused = false;
  /// If not empty, the notice tells nothing else but whether the sender holds
  /// the lease, reads the store or is refused by it.
  organisations::QuotaNotice m_Quotas;

  friend auto operator<=>(const PeerNotice &, const PeerNotice &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H
