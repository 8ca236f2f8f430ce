#ifndef BRONZEPASS_CORE_PLACEMENT_ORDERTOKENALLOCATOR_H
#define BRONZEPASS_CORE_PLACEMENT_ORDERTOKENALLOCATOR_H

#include "Core/Placement/OrderToken.h"

#include <algorithm>

namespace bronzepass::core::placement {

/// Gives out the order tokens of one tenancy of a pool's lease.
class OrderTokenAllocator {
public:
  explicit OrderTokenAllocator(model::FencingToken Lease) : m_Lease(Lease) {}

  model::FencingToken lease() const { return m_Lease; }
  model::FencingToken next() { return orderToken(m_Lease, ++m_Last); }
  /// An order numbered \p Seen is known; later ones are to exceed it.
  void advancePast(model::FencingToken Seen) {
    if (leaseToken(Seen) == m_Lease)
      m_Last = std::max(m_Last, orderNumber(Seen));
  }

private:
  model::FencingToken m_Lease;
  uint64_t m_Last = 0;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_ORDERTOKENALLOCATOR_H
