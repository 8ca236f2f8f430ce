#ifndef BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H
#define BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H

#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Requests that one node has under way at one endpoint.
struct EndpointLoad {
  model::EndpointId m_Endpoint;
  uint32_t m_InFlight = 0;
  /// Prompt tokens of those whose answer has not begun.
  uint32_t m_PrefillTokens = 0;

  friend auto operator<=>(const EndpointLoad &, const EndpointLoad &) = default;
};

/// What callers have asked of one model (or adapter) at one node since it
/// started; counters that only rise, so that a lost notice loses nothing.
struct UseCount {
  std::string m_Service;
  ModelUse m_Use;
  uint64_t m_Requests = 0;
  uint64_t m_Tokens = 0;

  friend auto operator<=>(const UseCount &, const UseCount &) = default;
};

/// A copy that the lease holder has placed or is about to take away.
struct CopyNews {
  model::EndpointId m_Endpoint;
  ModelUse m_Use;
  bool m_Leaving = false;

  friend auto operator<=>(const CopyNews &, const CopyNews &) = default;
};

/// What nodes tell each other by datagrams; each replaces the one before, and
/// a lost one costs a worse guess only.
struct PeerNotice {
  model::NodeId m_From;
  /// Differs between two starts of one node.
  uint64_t m_Start = 0;
  uint64_t m_Sequence = 0;
  std::vector<EndpointLoad> m_Loads;
  std::vector<UseCount> m_Uses;
  std::vector<CopyNews> m_Copies;
  /// Copies that the sender asks the lease holder for.
  std::vector<CopyWanted> m_Wanted;
  /// The sender holds the placement lease.
  bool m_HoldsLease = false;

  friend auto operator<=>(const PeerNotice &, const PeerNotice &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PEERNOTICE_H
