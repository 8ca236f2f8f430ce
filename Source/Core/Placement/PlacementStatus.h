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

/// Why a copy is on its engine, or is being loaded or unloaded there.
enum class CopyReason {
  /// The engine reported it although no node ordered it.
  Adopted,
  /// The intent declares it, and there were too few copies.
  Declared,
  /// Demand justifies one more copy.
  Burst,
  /// Its previous engine is drained, leaving or needed for another artifact.
  Moved,
  /// Unloaded: demand no longer needs it.
  Spare,
  /// Unloaded: its memory is needed for an artifact without a copy.
  Evicted,
  /// Unloaded: its engine is drained or leaving.
  Drained,
  /// Unloaded: the intent no longer declares it.
  Retired,
  /// Taken over with the ledger of a former lease holder.
  Inherited,
};

/// The text of the reason in logs and in the output of `explain`.
const char *toString(CopyReason Value);

enum class MovePhase {
  /// Planned, but waiting for memory or for the weight store.
  Queued,
  /// The ledger that records it is being written.
  Recording,
  /// The order is sent, and repeated until a report proves its effect.
  Ordered,
  /// The engine reports that it is carrying out the order.
  Working,
  /// The copy is gone, but its memory stays promised because an earlier order
  /// may still reach the engine.
  InDoubt,
};

const char *toString(MovePhase Value);

/// An unfinished load or unload.
struct MoveStatus {
  model::ArtifactId m_Artifact;
  model::EndpointId m_Endpoint;
  model::OrderKind m_Kind = model::OrderKind::Load;
  MovePhase m_Phase = MovePhase::Queued;
  CopyReason m_Reason = CopyReason::Declared;

  friend auto operator<=>(const MoveStatus &, const MoveStatus &) = default;
};

/// A copy of an artifact and the reason for it.
struct CopyStatus {
  model::EndpointId m_Endpoint;
  /// Whether the engine's last report lists the copy.
  bool m_Reported = false;
  model::CopyState m_State = model::CopyState::Loading;
  bool m_Answering = false;
  CopyReason m_Reason = CopyReason::Declared;

  friend auto operator<=>(const CopyStatus &, const CopyStatus &) = default;
};

/// Memory of one engine in bytes, and whether placement can use the engine.
struct EngineStatus {
  model::EndpointId m_Endpoint;
  uint64_t m_MemoryBytes = 0;
  /// Memory promised to ledger entries, copies that nobody ordered, and the KV
  /// cache.
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
  /// Orders sent again.
  uint64_t m_Repeats = 0;

  friend auto operator<=>(const MoveCounts &, const MoveCounts &) = default;
};

/// A former lease holder whose acknowledgement would release promised memory.
struct UnfencedNode {
  model::LeaseName m_Lease;
  model::NodeId m_Node;
  /// The lowest lease token that the node has to acknowledge.
  model::FencingToken m_Token;

  friend auto operator<=>(const UnfencedNode &, const UnfencedNode &) = default;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLACEMENTSTATUS_H
