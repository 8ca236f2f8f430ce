#ifndef BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H
#define BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H

#include "Core/Model/Id.h"

namespace bronzepass::core::placement {

/// Orders are numbered below the lease's token, so that an engine which refuses
/// an old token also refuses a late or duplicated order of the same holder.
/// 24 bits leave 29 bits of lease tokens within a JSON number's 53.
constexpr uint32_t OrderNumberBits = 24;

/// Token of the \p Number-th order under \p Lease.
inline model::FencingToken orderToken(model::FencingToken Lease,
                                      uint64_t Number) {
  return {(Lease.m_Value << OrderNumberBits) + Number};
}

/// The lease's token under which an order with \p Order was made.
inline model::FencingToken leaseToken(model::FencingToken Order) {
  return {Order.m_Value >> OrderNumberBits};
}

/// The order's number under its lease.
inline uint64_t orderNumber(model::FencingToken Order) {
  return Order.m_Value & ((uint64_t(1) << OrderNumberBits) - 1);
}

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H
