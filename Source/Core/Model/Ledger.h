#ifndef BRONZEPASS_CORE_MODEL_LEDGER_H
#define BRONZEPASS_CORE_MODEL_LEDGER_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Id.h"
#include "Core/Model/Order.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::model {

/// What one artifact takes, or may take, of an engine's memory.
struct LedgerEntry {
  ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;
  /// The order last recorded for it, sent or not.
  OrderKind m_LastOrder = OrderKind::Load;
  OrderId m_OrderId;
  FencingToken m_Token;
  /// Evidence has settled the order; its memory follows the engine's report.
  bool m_Settled = false;

  friend auto operator<=>(const LedgerEntry &, const LedgerEntry &) = default;
};

/// The memory promised on one engine, kept as one object of the object API and
/// written by conditional update before any order leaves.
struct EngineLedger {
  EndpointId m_Endpoint;
  uint64_t m_MemoryBytes = 0;
  /// Token of the lease holder that wrote it last.
  FencingToken m_Token;
  std::vector<LedgerEntry> m_Entries;

  friend auto operator<=>(const EngineLedger &, const EngineLedger &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_LEDGER_H
