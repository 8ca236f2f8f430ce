#ifndef BRONZEPASS_CORE_MODEL_LEASE_H
#define BRONZEPASS_CORE_MODEL_LEASE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <string>

namespace bronzepass::core::model {

/// Name of a duty that only one node holds at a time, e.g. "pool/assistants".
struct LeaseName {
  std::string m_Duty;

  friend auto operator<=>(const LeaseName &, const LeaseName &) = default;
};

/// A lease as the object API keeps it.
struct LeaseRecord {
  LeaseName m_Name;
  NodeId m_Holder;
  FencingToken m_Token;
  Duration m_Term{0};
  /// Incremented by every renewal. A waiting node checks that it stays
  /// unchanged for a term on that node's own clock, so that clocks are never
  /// compared.
  uint64_t m_Renewals = 0;
  /// The store's era when the record was written; zero in records of older
  /// releases and in stores without eras.
  StoreEra m_Era;

  friend auto operator<=>(const LeaseRecord &, const LeaseRecord &) = default;
};

/// A lease that this node may act on until m_ValidUntil on its own clock.
struct HeldLease {
  LeaseName m_Name;
  FencingToken m_Token;
  TimePoint m_ValidUntil;

  friend auto operator<=>(const HeldLease &, const HeldLease &) = default;
};

} // namespace bronzepass::core::model

template <> struct std::hash<bronzepass::core::model::LeaseName> {
  size_t operator()(const bronzepass::core::model::LeaseName &Value) const {
    return std::hash<std::string>()(Value.m_Duty);
  }
};

#endif // BRONZEPASS_CORE_MODEL_LEASE_H
