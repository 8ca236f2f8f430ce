#ifndef BRONZEPASS_CORE_MODEL_LEDGER_H
#define BRONZEPASS_CORE_MODEL_LEDGER_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Id.h"
#include "Core/Model/Order.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::model {

/// An order for an artifact that may still reach the engine, besides the one
/// recorded last: it was sent and never answered, or a former lease holder may
/// still send it.
struct UnsettledOrder {
  NodeId m_Writer;
  FencingToken m_Token;
  OrderKind m_Kind = OrderKind::Load;

  friend auto operator<=>(const UnsettledOrder &,
                          const UnsettledOrder &) = default;
};

/// Memory of an engine that one artifact uses or may use.
struct LedgerEntry {
  ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;
  /// The order last recorded for it, sent or not.
  OrderKind m_LastOrder = OrderKind::Load;
  OrderId m_OrderId;
  /// Fencing token that the order carries; zero if no node ordered it.
  FencingToken m_Token;
  /// The node that recorded the order and may send it.
  NodeId m_Writer;
  /// The outcome of the order is proven; its memory follows the engine's
  /// report.
  bool m_Settled = false;
  /// The memory stays promised until this is empty.
  std::vector<UnsettledOrder> m_UnsettledOrders;

  friend auto operator<=>(const LedgerEntry &, const LedgerEntry &) = default;
};

/// The role order last recorded for an engine.
struct LedgerRole {
  EngineRole m_Role = EngineRole::Mixed;
  FencingToken m_Token;
  bool m_Settled = true;

  friend auto operator<=>(const LedgerRole &, const LedgerRole &) = default;
};

/// The memory promised on one engine, stored as one object of the object API
/// and written by conditional update before any order is sent.
struct EngineLedger {
  EndpointId m_Endpoint;
  uint64_t m_MemoryBytes = 0;
  /// Token of the lease under which it was written last.
  FencingToken m_Token;
  /// The node that wrote it last.
  NodeId m_Writer;
  /// Incremented by every write under one token; shows whether a write whose
  /// answer was lost took effect.
  uint64_t m_Revision = 0;
  LedgerRole m_Role;
  /// Sorted by artifact.
  std::vector<LedgerEntry> m_Entries;

  friend auto operator<=>(const EngineLedger &, const EngineLedger &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_LEDGER_H
