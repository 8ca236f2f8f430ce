#ifndef BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H
#define BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H

#include "Core/Model/Id.h"

#include <compare>
#include <vector>

namespace bronzepass::core::gateway {

/// The nodes that sent this one a notice recently.
struct LivePeers {
  /// By their word, the store answers them, or it is not known that it doesn't.
  std::vector<model::NodeId> m_Able;
  /// The store does not answer them.
  std::vector<model::NodeId> m_StoreRefused;
  /// One of them, or this node, holds the placement lease.
  bool m_HasHolder = false;

  friend auto operator<=>(const LivePeers &, const LivePeers &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H
