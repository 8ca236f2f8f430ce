#ifndef BRONZEPASS_CORE_PLACEMENT_ORDERTOKENALLOCATOR_H
#define BRONZEPASS_CORE_PLACEMENT_ORDERTOKENALLOCATOR_H

#include "Core/Placement/OrderToken.h"

#include <algorithm>

namespace bronzepass::core::placement {

/// Allocates increasing order tokens under one lease token of a pool.
class OrderTokenAllocator {
public:
  explicit OrderTokenAllocator(model::FencingToken Lease) : m_Lease(Lease) {}

  model::FencingToken lease() const { return m_Lease; }
  model::FencingToken next() { return orderToken(m_Lease, ++m_Last); }
  /// Makes later tokens exceed \p Seen if it belongs to the same lease token.
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
