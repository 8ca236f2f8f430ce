#include "Core/Placement/LedgerController.h"

#include <algorithm>

namespace bronzepass::core::placement {

bool EntryState::doubts(model::OrderKind Kind) const {
  return std::any_of(m_Entry.m_UnsettledOrders.begin(),
                     m_Entry.m_UnsettledOrders.end(),
                     [Kind](const model::UnsettledOrder &Doubt) {
                       return Doubt.m_Kind == Kind;
                     });
}

LedgerController::LedgerController(model::NodeId Self,
                                   const model::PoolId &Pool,
                                   const PlacementSettings &Settings)
    : m_Self(std::move(Self)), m_Settings(Settings) {
  m_Key = {ports::ObjectKind::Ledger, Pool.str() + "."};
}

void LedgerController::configure(const model::EndpointSpec &Engine,
                                 const model::PoolSpec &Pool) {
  m_Engine = Engine;
  m_Key.m_Name = Pool.m_Name.str() + "." + Engine.m_Name.str();
  m_Fencing = Pool.m_Fencing;
  m_KvReserveBytes = Engine.m_MemoryBytes / 100 * Pool.m_KvReservePercent;
}

LedgerController::Entries::iterator
LedgerController::lowerBound(const model::ArtifactId &Artifact) {
  return std::lower_bound(
      m_Entries.begin(), m_Entries.end(), Artifact,
      [](const EntryState &State, const model::ArtifactId &Wanted) {
        return State.m_Entry.m_Artifact < Wanted;
      });
}

EntryState *LedgerController::findEntry(const model::ArtifactId &Artifact) {
  auto Found = lowerBound(Artifact);
  if (Found == m_Entries.end() || Found->m_Entry.m_Artifact != Artifact)
    return nullptr;
  return &*Found;
}

const EntryState *
LedgerController::find(const model::ArtifactId &Artifact) const {
  return const_cast<LedgerController *>(this)->findEntry(Artifact);
}

void LedgerController::claim(const std::optional<ports::StoredObject> &Stored,
                             OrderTokenAllocator &Tokens,
                             model::TimePoint Now) {
  m_Lease = Tokens.lease();
  m_Phase = Phase::Claiming;
  m_Entries.clear();
  m_Role = {m_Engine.m_Role, {}, true};
  m_Version = {};
  m_StoredRevision = 0;
  m_NeedsRead = false;
  if (Stored) {
    const auto &Record = std::get<model::EngineLedger>(Stored->m_Record);
    if (Record.m_Token > m_Lease) {
      m_Phase = Phase::Superseded;
      return;
    }
    m_Version = Stored->m_Version;
    m_StoredRevision = Record.m_Revision;
    m_Role = Record.m_Role;
    for (const model::LedgerEntry &Entry : Record.m_Entries) {
      EntryState State{.m_Entry = Entry};
      State.m_EvidenceAfter = Now;
      State.m_OwnDoubtUntil = Now + m_Settings.m_OrderLifetime;
      Tokens.advancePast(Entry.m_Token);
      m_Entries.push_back(std::move(State));
    }
  }
  m_WritingRevision = m_StoredRevision;
  markDirty();
  for (EntryState &State : m_Entries) {
    if (State.m_Entry.m_Settled)
      continue;
    addDoubt(State, {State.m_Entry.m_Writer, State.m_Entry.m_Token,
                     State.m_Entry.m_LastOrder});
    renumber(State, Tokens, Now);
  }
  if (!m_Role.m_Settled)
    recordRole(m_Role.m_Role, Tokens);
}

model::EngineLedger LedgerController::record() const {
  model::EngineLedger Ledger{.m_Endpoint = m_Engine.m_Name,
                             .m_MemoryBytes = m_Engine.m_MemoryBytes,
                             .m_Token = m_Lease,
                             .m_Writer = m_Self,
                             .m_Revision = m_Revision,
                             .m_Role = m_Role};
  Ledger.m_Entries.reserve(m_Entries.size());
  for (const EntryState &State : m_Entries)
    Ledger.m_Entries.push_back(State.m_Entry);
  return Ledger;
}

std::optional<ports::StoreCall>
LedgerController::nextCall(model::TimePoint Now) {
  if (m_CallPending || Now < m_RetryAt || m_Phase == Phase::Superseded)
    return std::nullopt;
  ports::StoreCall Call{.m_Key = m_Key,
                        .m_Priority = ports::StorePriority::Ledger,
                        .m_Timeout = m_Settings.m_StoreTimeout};
  m_PendingIsRead = m_NeedsRead || m_Phase == Phase::Unread;
  if (m_PendingIsRead) {
    Call.m_Verb = ports::StoreVerb::Get;
    m_CallPending = true;
    return Call;
  }
  if (m_Revision <= m_StoredRevision)
    return std::nullopt;
  Call.m_Verb = m_Version ? ports::StoreVerb::Update : ports::StoreVerb::Create;
  Call.m_Expected = m_Version;
  Call.m_Record = record();
  m_WritingRevision = m_Revision;
  m_CallPending = true;
  return Call;
}

void LedgerController::storeAnswered(const ports::StoreAnswer &Answer,
                                     OrderTokenAllocator &Tokens,
                                     model::TimePoint Now) {
  m_CallPending = false;
  if (m_PendingIsRead) {
    readAnswered(Answer, Tokens, Now);
    return;
  }
  if (Answer.m_Status == ports::StoreStatus::Ok && !Answer.m_Objects.empty()) {
    m_Version = Answer.m_Objects.front().m_Version;
    m_StoredRevision = m_WritingRevision;
    m_Phase = Phase::Held;
    return;
  }
  const bool Unchanged = Answer.m_Status == ports::StoreStatus::NotSent ||
                         Answer.m_Status == ports::StoreStatus::Rejected;
  m_NeedsRead = !Unchanged;
  if (Answer.m_Status != ports::StoreStatus::Conflict)
    m_RetryAt = Now + m_Settings.m_StoreRetryDelay;
}

void LedgerController::readAnswered(const ports::StoreAnswer &Answer,
                                    OrderTokenAllocator &Tokens,
                                    model::TimePoint Now) {
  if (Answer.m_Status == ports::StoreStatus::NotFound) {
    m_NeedsRead = false;
    m_Version = {};
    if (m_Phase == Phase::Unread)
      claim(std::nullopt, Tokens, Now);
    return;
  }
  if (Answer.m_Status != ports::StoreStatus::Ok || Answer.m_Objects.empty()) {
    m_RetryAt = Now + m_Settings.m_StoreRetryDelay;
    return;
  }
  const ports::StoredObject &Stored = Answer.m_Objects.front();
  const auto &Record = std::get<model::EngineLedger>(Stored.m_Record);
  const bool Ours = Record.m_Token == m_Lease && Record.m_Writer == m_Self;
  m_NeedsRead = false;
  if (m_Phase == Phase::Held && Record.m_Token <= m_Lease) {
    // A write of this node whose answer was lost, or one that has not reached
    // the store yet.
    m_Version = Stored.m_Version;
    m_StoredRevision = Ours ? std::min(Record.m_Revision, m_Revision) : 0;
    return;
  }
  if (m_Phase == Phase::Claiming && Ours && Record == record()) {
    m_Version = Stored.m_Version;
    m_StoredRevision = Record.m_Revision;
    m_Phase = Phase::Held;
    return;
  }
  claim(Stored, Tokens, Now);
}

void LedgerController::markDirty() {
  // All changes until the next write share one revision.
  m_Revision = std::max(m_StoredRevision, m_WritingRevision) + 1;
}

void LedgerController::markChanged(EntryState &State) {
  markDirty();
  State.m_Revision = m_Revision;
}

uint64_t LedgerController::capacityBytes() const {
  if (!m_HasReport || m_Report.m_MemoryBytes == 0)
    return m_Engine.m_MemoryBytes;
  return std::min(m_Engine.m_MemoryBytes, m_Report.m_MemoryBytes);
}

uint64_t LedgerController::promisedBytes() const {
  uint64_t Sum = 0;
  for (const EntryState &State : m_Entries)
    Sum += std::max(State.m_Entry.m_MemoryBytes,
                    State.m_Reported ? State.m_ReportedBytes : 0);
  uint64_t Weights = 0;
  for (const model::CopyReport &Copy : m_Report.m_Copies)
    Weights += Copy.m_MemoryBytes;
  const uint64_t ExportedKv =
      m_Report.m_UsedBytes - std::min(m_Report.m_UsedBytes, Weights);
  return Sum + std::max(m_KvReserveBytes, ExportedKv);
}

int64_t LedgerController::freeBytes() const {
  return static_cast<int64_t>(capacityBytes()) -
         static_cast<int64_t>(promisedBytes());
}

uint32_t LedgerController::loadingCount() const {
  return static_cast<uint32_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(),
                    [](const EntryState &State) { return State.isLoading(); }));
}

bool LedgerController::hasUnsettledEntries() const {
  return std::any_of(
      m_Entries.begin(), m_Entries.end(), [](const EntryState &State) {
        return !State.m_Entry.m_Settled ||
               !State.m_Entry.m_UnsettledOrders.empty() || !State.isLoad();
      });
}

std::vector<model::UnsettledOrder> LedgerController::doubts() const {
  std::vector<model::UnsettledOrder> All;
  for (const EntryState &State : m_Entries)
    All.insert(All.end(), State.m_Entry.m_UnsettledOrders.begin(),
               State.m_Entry.m_UnsettledOrders.end());
  return All;
}

} // namespace bronzepass::core::placement
