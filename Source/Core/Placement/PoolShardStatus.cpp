// What operators and routing ask of a pool's placement.
#include "Core/Placement/PoolShard.h"

namespace bronzepass::core::placement {

MovePhase PoolShard::phaseOf(const LedgerBook &Book,
                             const EntryState &State) const {
  if (State.isInDoubt())
    return MovePhase::InDoubt;
  if (State.m_Revision > Book.storedRevision())
    return MovePhase::Recording;
  const bool AtWork = State.isLoad()
                          ? State.m_Reported
                          : State.m_State != model::CopyState::Serving;
  return AtWork ? MovePhase::Working : MovePhase::Ordered;
}

void PoolShard::addMoves(std::vector<MoveStatus> &All) const {
  for (const EngineSlot &Slot : m_State.m_Engines)
    for (const EntryState &State : Slot.m_Book.entries())
      if (!State.isLoad() || State.isLoading())
        All.push_back({State.m_Entry.m_Artifact, Slot.m_Book.engine().m_Name,
                       State.m_Entry.m_LastOrder, phaseOf(Slot.m_Book, State),
                       State.m_Reason});
  for (const auto &Entry : m_State.m_Groups)
    for (const QueuedLoad &Load : Entry.second.m_Queue)
      All.push_back({Load.m_Artifact,
                     m_State.m_Engines[Load.m_Engine].m_Book.engine().m_Name,
                     model::OrderKind::Load, MovePhase::Queued, Load.m_Reason});
}

void PoolShard::addCopies(const model::ArtifactId &Artifact,
                          model::TimePoint Now,
                          std::vector<CopyStatus> &All) const {
  auto Found = m_State.m_Groups.find(Artifact.base());
  if (Found == m_State.m_Groups.end())
    return;
  for (EngineIndex Engine : Found->second.m_Engines) {
    const EntryState *State = m_State.entry(Engine, Artifact);
    if (State)
      All.push_back({m_State.m_Engines[Engine].m_Book.engine().m_Name,
                     State->m_Reported, State->m_State,
                     m_State.isAnswering(Engine, Artifact, Now),
                     State->m_Reason});
  }
}

void PoolShard::addEngines(std::vector<EngineStatus> &All) const {
  for (EngineIndex I = 0; I < m_State.m_Engines.size(); ++I) {
    const LedgerBook &Book = m_State.m_Engines[I].m_Book;
    All.push_back(
        {Book.engine().m_Name, Book.capacityBytes(), Book.promisedBytes(),
         Book.phase() == LedgerBook::Phase::Held, m_State.isUsable(I)});
  }
}

void PoolShard::addFindings(model::FindingList &All) const {
  if (!m_Listed)
    All.push_back({model::Severity::Warning,
                   {},
                   "pool " + m_State.m_Pool.str() +
                       ": the ledgers are not read yet; nothing is moved"});
  for (const auto &Entry : m_State.m_Groups)
    if (!Entry.second.m_Waits.empty())
      All.push_back(
          {model::Severity::Warning,
           {},
           model::toString(Entry.first) + " waits: " + Entry.second.m_Waits});
  for (const EngineSlot &Slot : m_State.m_Engines)
    if (m_Listed && Slot.m_Book.freeBytes() < 0)
      All.push_back({model::Severity::Warning,
                     {},
                     "engine " + Slot.m_Book.engine().m_Name.str() +
                         " holds more than its memory was promised for"});
}

void PoolShard::addUnfenced(std::vector<UnfencedNode> &All) const {
  for (const EngineSlot &Slot : m_State.m_Engines)
    for (const model::UnsettledOrder &Doubt : Slot.m_Book.doubts())
      if (Doubt.m_Writer != m_Self &&
          !m_Fences.since(Doubt.m_Writer, leaseToken(Doubt.m_Token)))
        All.push_back({m_Lease.m_Name, Doubt.m_Writer, m_Lease.m_Token});
}

void PoolShard::addDraining(std::vector<model::Copy> &All) const {
  for (const EngineSlot &Slot : m_State.m_Engines)
    for (const EntryState &State : Slot.m_Book.entries())
      if (!State.isLoad() && State.m_Reported)
        All.push_back({State.m_Entry.m_Artifact, Slot.m_Book.engine().m_Name,
                       model::CopyState::Draining});
}

MoveCounts PoolShard::counts() const {
  MoveCounts Sum = m_State.m_Counts;
  for (const EngineSlot &Slot : m_State.m_Engines)
    Sum.m_Repeats += Slot.m_Book.repeats();
  return Sum;
}

} // namespace bronzepass::core::placement
