#ifndef BRONZEPASS_CORE_PLACEMENT_PLACEMENTSTATUS_H
#define BRONZEPASS_CORE_PLACEMENT_PLACEMENTSTATUS_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Order.h"
#include "Core/Model/Residency.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace bronzepass::core::placement {

/// Why a copy is, or is to be, where it is.
enum class CopyReason {
  /// Nobody of this system ordered it; the engine reported it.
  Adopted,
  /// The intent declares it and too few copies were there.
  Declared,
  /// Demand pays for one more copy.
  Burst,
  /// Its engine is drained, leaving or needed for another artifact.
  Moved,
  /// Unloaded: demand no longer needs it.
  Spare,
  /// Unloaded: its memory goes to an artifact without a copy.
  Evicted,
  /// Unloaded: its engine is drained or leaving.
  Drained,
  /// Unloaded: the intent no longer declares it.
  Retired,
  /// Taken over with the ledger of a former lease holder.
  Inherited,
};

/// The reason as logs and `explain` print it.
const char *toString(CopyReason Value);

enum class MovePhase {
  /// Planned; waits for room or for the weight store.
  Queued,
  /// The ledger is being written.
  Recording,
  /// The order is sent and repeated until evidence comes.
  Ordered,
  /// The engine reports that it works on it.
  Working,
  /// Gone, but the memory stays promised: an order may still reach the engine.
  InDoubt,
};

const char *toString(MovePhase Value);

/// One load or unload that is not finished.
struct MoveStatus {
  model::ArtifactId m_Artifact;
  model::EndpointId m_Endpoint;
  model::OrderKind m_Kind = model::OrderKind::Load;
  MovePhase m_Phase = MovePhase::Queued;
  CopyReason m_Reason = CopyReason::Declared;

  friend auto operator<=>(const MoveStatus &, const MoveStatus &) = default;
};

/// One copy of an artifact and why it is there.
struct CopyStatus {
  model::EndpointId m_Endpoint;
  /// Unset in reports so far.
  bool m_Reported = false;
  model::CopyState m_State = model::CopyState::Loading;
  bool m_Answering = false;
  CopyReason m_Reason = CopyReason::Declared;

  friend auto operator<=>(const CopyStatus &, const CopyStatus &) = default;
};

/// Memory of one engine, bytes.
struct EngineStatus {
  model::EndpointId m_Endpoint;
  uint64_t m_MemoryBytes = 0;
  /// Ledger, unordered copies and KV cache together.
  uint64_t m_PromisedBytes = 0;
  bool m_LedgerHeld = false;
  bool m_Usable = false;

  friend auto operator<=>(const EngineStatus &, const EngineStatus &) = default;
};

/// Orders recorded since this node took the lease.
struct MoveCounts {
  uint64_t m_ModelLoads = 0;
  uint64_t m_AdapterLoads = 0;
  uint64_t m_Unloads = 0;
  /// Sends beyond the first of an order.
  uint64_t m_Repeats = 0;

  friend auto operator<=>(const MoveCounts &, const MoveCounts &) = default;
};

/// A former lease holder whose acknowledgement would free memory.
struct UnfencedNode {
  model::LeaseName m_Lease;
  model::NodeId m_Node;
  /// It has to acknowledge a lease token of at least this.
  model::FencingToken m_Token;

  friend auto operator<=>(const UnfencedNode &, const UnfencedNode &) = default;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLACEMENTSTATUS_H
