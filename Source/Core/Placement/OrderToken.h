#ifndef BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H
#define BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H

#include "Core/Model/Id.h"

namespace bronzepass::core::placement {

/// An order token holds the lease token in its high bits and the order's number
/// in its low bits. An engine that refuses old tokens thus also refuses late or
/// duplicated orders of the same holder. 24 bits leave 29 bits for lease tokens
/// within the 53 bits of a JSON number.
constexpr uint32_t OrderNumberBits = 24;

/// Token of the \p Number-th order under \p Lease.
inline model::FencingToken orderToken(model::FencingToken Lease,
                                      uint64_t Number) {
  return {(Lease.m_Value << OrderNumberBits) + Number};
}

/// The lease token under which the order with token \p Order was made.
inline model::FencingToken leaseToken(model::FencingToken Order) {
  return {Order.m_Value >> OrderNumberBits};
}

/// The number of the order under its lease token.
inline uint64_t orderNumber(model::FencingToken Order) {
  return Order.m_Value & ((uint64_t(1) << OrderNumberBits) - 1);
}

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_ORDERTOKEN_H
