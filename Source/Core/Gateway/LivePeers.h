#ifndef BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H
#define BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H

#include "Core/Model/Id.h"

#include <compare>
#include <vector>

namespace bronzepass::core::gateway {

/// Which of the other nodes this one has heard.
struct LivePeers {
  /// Alive, and by their word, the store answers them, or it is not known that
  /// it doesn't.
  std::vector<model::NodeId> m_Able;
  /// The store does not answer them.
  std::vector<model::NodeId> m_StoreRefused;
  /// Nodes that were not heard lately, though each would have sent a notice if
  /// it were alive.
  std::vector<model::NodeId> m_Silent;
  /// One of them, or this node, holds the placement lease.
  bool m_HasHolder = false;

  friend auto operator<=>(const LivePeers &, const LivePeers &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_LIVEPEERS_H
