#ifndef BRONZEPASS_CORE_GATEWAY_STOREREACH_H
#define BRONZEPASS_CORE_GATEWAY_STOREREACH_H

#include <compare>

namespace bronzepass::core::gateway {

/// What other nodes have to know of this node's way to the store.
struct StoreReach {
  /// It reads the store itself, and may be asked for what it knows.
  bool m_IsSource = false;
  /// It has to tell all nodes so, not only those that get its notices anyway.
  bool m_Announces = false;
  /// The store does not answer it.
  bool m_IsRefused = false;

  friend auto operator<=>(const StoreReach &, const StoreReach &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STOREREACH_H
