#ifndef BRONZEPASS_CORE_PLACEMENT_LEDGERCONTROLLER_H
#define BRONZEPASS_CORE_PLACEMENT_LEDGERCONTROLLER_H

#include "Core/Model/Intent.h"
#include "Core/Model/Ledger.h"
#include "Core/Model/Residency.h"
#include "Core/Placement/FencedNodes.h"
#include "Core/Placement/OrderTokenAllocator.h"
#include "Core/Placement/PlacementSettings.h"
#include "Core/Placement/PlacementStatus.h"
#include "Core/Ports/Store.h"

#include <functional>
#include <optional>
#include <vector>

namespace bronzepass::core::placement {

/// A ledger entry with the state that this node keeps about it in memory.
struct EntryState {
  model::LedgerEntry m_Entry;
  CopyReason m_Reason = CopyReason::Inherited;
  /// Ledger revision that records the order. The order is sent only after this
  /// revision is known to be stored.
  uint64_t m_Revision = 0;
  /// How many times this node has sent the order.
  uint32_t m_Sends = 0;
  model::TimePoint m_LastSentAt;
  /// Only a report made later than this plus the clock skew can prove that the
  /// engine does not hold the copy.
  model::TimePoint m_EvidenceAfter;
  /// Until when orders that this node sent may still reach the engine.
  model::TimePoint m_OwnDoubtUntil;
  bool m_Reported = false;
  model::CopyState m_State = model::CopyState::Loading;
  uint64_t m_ReportedBytes = 0;

  bool isLoad() const { return m_Entry.m_LastOrder == model::OrderKind::Load; }
  /// The copy is gone, but its memory stays promised because an earlier order
  /// may still reach the engine.
  bool isInDoubt() const { return !isLoad() && m_Entry.m_Settled; }
  /// A load whose copy does not serve yet.
  bool isLoading() const {
    return isLoad() && !(m_Reported && m_State == model::CopyState::Serving);
  }
  /// Whether an earlier order of this kind may still reach the engine.
  bool doubts(model::OrderKind Kind) const;
};

/// Controls one engine through its memory ledger: records each load and unload
/// in the ledger, writes the ledger to the store, and sends the order only once
/// it is stored. Reports and fences then settle what the engine holds. See
/// docs/design/ledger.md.
class LedgerController {
public:
  /// Called right before an unload is sent: whether the copy may be unloaded.
  using UnloadGuard = std::function<bool(const model::ArtifactId &)>;

  enum class Phase {
    /// The stored ledger has not been read.
    Unread,
    /// Read, but a former lease holder may still write it.
    Claiming,
    /// Written by this node: conditional updates of former holders now fail.
    Held,
    /// A later lease holder has written it.
    Superseded,
  };

  LedgerController(model::NodeId Self, const model::PoolId &Pool,
                   const PlacementSettings &Settings);

  /// Applies the engine's specification from the intent.
  void configure(const model::EndpointSpec &Engine,
                 const model::PoolSpec &Pool);
  const model::EndpointSpec &engine() const { return m_Engine; }
  const ports::ObjectKey &key() const { return m_Key; }
  Phase phase() const { return m_Phase; }
  const std::vector<EntryState> &entries() const { return m_Entries; }
  const EntryState *find(const model::ArtifactId &Artifact) const;

  /// Takes over \p Stored under a new lease; nullopt means that no ledger
  /// exists yet. Unsettled orders of the former holder get new tokens, and the
  /// old orders are kept as doubts.
  void claim(const std::optional<ports::StoredObject> &Stored,
             OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// The store call to make next, if any; at most one is pending at a time.
  std::optional<ports::StoreCall> nextCall(model::TimePoint Now);
  void storeAnswered(const ports::StoreAnswer &Answer,
                     OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// Returns whether the report is new, that is neither late nor repeated.
  bool reportReceived(const model::EngineReport &Report,
                      OrderTokenAllocator &Tokens, model::TimePoint Now);
  /// Drops doubts about orders that can no longer reach the engine, and settles
  /// orders whose effect the last report proves.
  void settle(const FencedNodes &Fenced, OrderTokenAllocator &Tokens,
              model::TimePoint Now);

  /// Records a load and promises its memory. Fails if there is no room or if a
  /// late unload could remove the copy again.
  bool recordLoad(const model::ArtifactId &Artifact, uint64_t Bytes,
                  CopyReason Reason, OrderTokenAllocator &Tokens,
                  model::TimePoint Now);
  void recordUnload(const model::ArtifactId &Artifact, CopyReason Reason,
                    OrderTokenAllocator &Tokens, model::TimePoint Now);
  void recordRole(model::EngineRole Role, OrderTokenAllocator &Tokens);

  /// The order to send now, if any; at most one is pending at a time.
  std::optional<model::EngineOrder> nextOrder(const UnloadGuard &MayUnload,
                                              OrderTokenAllocator &Tokens,
                                              model::TimePoint Now);
  void orderAnswered(const model::OrderAnswer &Answer,
                     OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// Memory promised to recorded entries, copies that nobody ordered, and the
  /// KV cache.
  uint64_t promisedBytes() const;
  uint64_t capacityBytes() const;
  /// Memory left for a new load; negative if the engine holds more than the
  /// ledger allows.
  int64_t freeBytes() const;
  /// Whether a load of \p Artifact must wait because an unload that is pending
  /// or late could undo it.
  bool refusesLoad(const model::ArtifactId &Artifact) const;
  /// Until when the engine takes no new loads, after it answered that it has no
  /// memory.
  model::TimePoint noMemoryUntil() const { return m_NoMemoryUntil; }
  model::TimePoint reportedAt() const { return m_ReportedAt; }
  /// Whether the engine may have restarted since its last report, which would
  /// make the report obsolete.
  bool mayHaveRestarted() const { return m_MayHaveRestarted; }
  uint32_t loadingCount() const;
  /// Whether some entry may settle through the passage of time alone.
  bool hasUnsettledEntries() const;
  uint64_t storedRevision() const { return m_StoredRevision; }
  uint64_t repeats() const { return m_Repeats; }
  model::EngineRole role() const { return m_Role.m_Role; }
  std::vector<model::UnsettledOrder> doubts() const;

private:
  using Entries = std::vector<EntryState>;

  Entries::iterator lowerBound(const model::ArtifactId &Artifact);
  EntryState *findEntry(const model::ArtifactId &Artifact);
  void renumber(EntryState &State, OrderTokenAllocator &Tokens,
                model::TimePoint Now);
  /// Marks the draft as newer than what is stored or being written.
  void markDirty();
  void markChanged(EntryState &State);
  void addDoubt(EntryState &State, const model::UnsettledOrder &Doubt);
  void addOwnDoubt(EntryState &State);
  /// Whether the last report proves that the engine does not hold the artifact.
  bool isAbsent(const EntryState &State) const;
  void settleEntry(EntryState &State, OrderTokenAllocator &Tokens,
                   model::TimePoint Now);
  void settleLoad(EntryState &State, bool ProvesAbsence);
  void settleUnload(EntryState &State, bool ProvesAbsence,
                    OrderTokenAllocator &Tokens, model::TimePoint Now);
  void mergeReportedCopies(model::TimePoint Now);
  bool dropDoubts(EntryState &State, const FencedNodes &Fenced,
                  const OrderTokenAllocator &Tokens,
                  model::TimePoint Now) const;
  bool isDue(const EntryState &State, model::TimePoint Now) const;
  bool isBlocked(const EntryState &State) const;
  std::optional<model::EngineOrder> nextRoleOrder(OrderTokenAllocator &Tokens,
                                                  model::TimePoint Now);
  model::EngineOrder send(EntryState &State, model::TimePoint Now);
  void cancelUnload(EntryState &State, OrderTokenAllocator &Tokens,
                    model::TimePoint Now);
  void loadRefused(EntryState &State, model::TimePoint Now);
  void readAnswered(const ports::StoreAnswer &Answer,
                    OrderTokenAllocator &Tokens, model::TimePoint Now);
  void observeToken(model::FencingToken Seen, OrderTokenAllocator &Tokens);
  model::EngineLedger record() const;

  model::NodeId m_Self;
  PlacementSettings m_Settings;
  ports::ObjectKey m_Key;
  model::EndpointSpec m_Engine;
  model::FencingMode m_Fencing = model::FencingMode::Refuses;
  uint64_t m_KvReserveBytes = 0;

  Phase m_Phase = Phase::Unread;
  model::FencingToken m_Lease;
  model::ObjectVersion m_Version;
  Entries m_Entries;
  model::LedgerRole m_Role;
  uint64_t m_RoleRevision = 0;
  model::TimePoint m_RoleSentAt;
  /// Revisions of the draft, of the pending write, and of the ledger that is
  /// known to be stored.
  uint64_t m_Revision = 0;
  uint64_t m_WritingRevision = 0;
  uint64_t m_StoredRevision = 0;
  bool m_CallPending = false;
  bool m_NeedsRead = false;
  bool m_PendingIsRead = false;
  model::TimePoint m_RetryAt;

  bool m_HasReport = false;
  bool m_MayHaveRestarted = false;
  model::EngineReport m_Report;
  model::TimePoint m_ReportedAt;
  model::FencingToken m_HighestSeen;
  model::FencingToken m_HighestSent;

  std::optional<model::OrderId> m_PendingOrder;
  model::TimePoint m_PendingOrderSentAt;
  model::TimePoint m_NoMemoryUntil;
  uint64_t m_Repeats = 0;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_LEDGERCONTROLLER_H
