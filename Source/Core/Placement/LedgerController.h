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

/// A ledger entry with what this node knows of it besides.
struct EntryState {
  model::LedgerEntry m_Entry;
  CopyReason m_Reason = CopyReason::Inherited;
  /// Ledger revision that recorded the order; it leaves no earlier than that
  /// revision is known to be stored.
  uint64_t m_Revision = 0;
  /// Times that this node sent the order.
  uint32_t m_Sends = 0;
  model::TimePoint m_LastSentAt;
  /// Reports made before this (and the clocks' skew) prove no absence.
  model::TimePoint m_EvidenceAfter;
  /// Until when this node's own unanswered sends may still arrive.
  model::TimePoint m_OwnDoubtUntil;
  bool m_Reported = false;
  model::CopyState m_State = model::CopyState::Loading;
  uint64_t m_ReportedBytes = 0;

  bool isLoad() const { return m_Entry.m_LastOrder == model::OrderKind::Load; }
  /// The copy is gone; only doubts keep its memory.
  bool isInDoubt() const { return !isLoad() && m_Entry.m_Settled; }
  /// A load that the engine does not serve yet.
  bool isLoading() const {
    return isLoad() && !(m_Reported && m_State == model::CopyState::Serving);
  }
  /// Whether an order of this kind may still arrive besides the recorded one.
  bool doubts(model::OrderKind Kind) const;
};

/// The memory ledger of one engine: what is recorded, what is known to be
/// stored, and which orders may be sent. See docs/design/ledger.md.
class LedgerController {
public:
  /// Asked right before an unload leaves: whether the copy may go.
  using UnloadGuard = std::function<bool(const model::ArtifactId &)>;

  enum class Phase {
    /// What is stored is not known.
    Unread,
    /// Known, but a former holder may still write it.
    Claiming,
    /// Ours: every former holder's conditional update fails.
    Held,
    /// A later holder has written it.
    Superseded,
  };

  LedgerController(model::NodeId Self, const model::PoolId &Pool,
                   const PlacementSettings &Settings);

  /// Takes over what the intent says of the engine.
  void configure(const model::EndpointSpec &Engine,
                 const model::PoolSpec &Pool);
  const model::EndpointSpec &engine() const { return m_Engine; }
  const ports::ObjectKey &key() const { return m_Key; }
  Phase phase() const { return m_Phase; }
  const std::vector<EntryState> &entries() const { return m_Entries; }
  const EntryState *find(const model::ArtifactId &Artifact) const;

  /// Builds on \p Stored (nothing: no ledger yet) under a new lease. Orders of
  /// the former holder without evidence are renumbered and kept in doubt.
  void claim(const std::optional<ports::StoredObject> &Stored,
             OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// The call to make next, if any; at most one is out at a time.
  std::optional<ports::StoreCall> nextCall(model::TimePoint Now);
  void storeAnswered(const ports::StoreAnswer &Answer,
                     OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// Returns whether the report was news, neither late nor repeated.
  bool reportReceived(const model::EngineReport &Report,
                      OrderTokenAllocator &Tokens, model::TimePoint Now);
  /// Drops doubts that can no longer come true; settles what became provable.
  void settle(const FencedNodes &Fenced, OrderTokenAllocator &Tokens,
              model::TimePoint Now);

  /// Promises memory for a load. Fails where there is no room for it or a late
  /// unload could take the copy away again.
  bool recordLoad(const model::ArtifactId &Artifact, uint64_t Bytes,
                  CopyReason Reason, OrderTokenAllocator &Tokens,
                  model::TimePoint Now);
  void recordUnload(const model::ArtifactId &Artifact, CopyReason Reason,
                    OrderTokenAllocator &Tokens, model::TimePoint Now);
  void recordRole(model::EngineRole Role, OrderTokenAllocator &Tokens);

  /// The order to send now, if any; at most one is out at a time.
  std::optional<model::EngineOrder> nextOrder(const UnloadGuard &MayUnload,
                                              OrderTokenAllocator &Tokens,
                                              model::TimePoint Now);
  void orderAnswered(const model::OrderAnswer &Answer,
                     OrderTokenAllocator &Tokens, model::TimePoint Now);

  /// Memory promised: entries, unordered copies, KV cache.
  uint64_t promisedBytes() const;
  uint64_t capacityBytes() const;
  /// Room for a new load; negative where engine and ledger disagree.
  int64_t freeBytes() const;
  /// Whether loading \p Artifact here could be undone by a late unload.
  bool refusesLoad(const model::ArtifactId &Artifact) const;
  /// After the engine said that it has no room, until when to believe it.
  model::TimePoint noMemoryUntil() const { return m_NoMemoryUntil; }
  model::TimePoint reportedAt() const { return m_ReportedAt; }
  /// Whether what the last report showed may have ended with its process.
  bool mayHaveRestarted() const { return m_MayHaveRestarted; }
  uint32_t loadingCount() const;
  /// Whether time alone may settle something.
  bool hasUnsettledEntries() const;
  uint64_t storedRevision() const { return m_StoredRevision; }
  uint64_t repeats() const { return m_Repeats; }
  model::EngineRole role() const { return m_Role.m_Role; }
  std::vector<model::LedgerDoubt> doubts() const;

private:
  using Entries = std::vector<EntryState>;

  Entries::iterator lowerBound(const model::ArtifactId &Artifact);
  EntryState *findEntry(const model::ArtifactId &Artifact);
  void renumber(EntryState &State, OrderTokenAllocator &Tokens,
                model::TimePoint Now);
  /// The draft differs from what is stored or being written.
  void markDirty();
  void markChanged(EntryState &State);
  void addDoubt(EntryState &State, const model::LedgerDoubt &Doubt);
  void doubtOwnSends(EntryState &State);
  /// Whether a report proves that the engine does not hold the artifact.
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
  /// Of the draft, of the write that is out, and of what is known stored.
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
