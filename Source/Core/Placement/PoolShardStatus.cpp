// The part of PoolShard that reports status to operators and routing.
#include "Core/Placement/PoolShard.h"

namespace bronzepass::core::placement {

MovePhase PoolShard::phaseOf(const LedgerController &Ledger,
                             const EntryState &State) const {
  if (State.isInDoubt())
    return MovePhase::InDoubt;
  if (State.m_Revision > Ledger.storedRevision())
    return MovePhase::Recording;
  const bool AtWork = State.isLoad()
                          ? State.m_Reported
                          : State.m_State != model::CopyState::Serving;
  return AtWork ? MovePhase::Working : MovePhase::Ordered;
}

void PoolShard::addMoves(std::vector<MoveStatus> &All) const {
  for (const EngineInfo &Info : m_State.m_Engines)
    for (const EntryState &State : Info.m_Ledger.entries())
      if (!State.isLoad() || State.isLoading())
        All.push_back({State.m_Entry.m_Artifact, Info.m_Ledger.engine().m_Name,
                       State.m_Entry.m_LastOrder, phaseOf(Info.m_Ledger, State),
                       State.m_Reason});
  for (const auto &Entry : m_State.m_Groups)
    for (const QueuedLoad &Load : Entry.second.m_Queue)
      All.push_back({Load.m_Artifact,
                     m_State.m_Engines[Load.m_Engine].m_Ledger.engine().m_Name,
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
      All.push_back({m_State.m_Engines[Engine].m_Ledger.engine().m_Name,
                     State->m_Reported, State->m_State,
                     m_State.isAnswering(Engine, Artifact, Now),
                     State->m_Reason});
  }
}

void PoolShard::addEngines(std::vector<EngineStatus> &All) const {
  for (EngineIndex I = 0; I < m_State.m_Engines.size(); ++I) {
    const LedgerController &Ledger = m_State.m_Engines[I].m_Ledger;
    All.push_back(
        {Ledger.engine().m_Name, Ledger.capacityBytes(), Ledger.promisedBytes(),
         Ledger.phase() == LedgerController::Phase::Held, m_State.isUsable(I)});
  }
}

void PoolShard::addFindings(model::FindingList &All) const {
  if (!m_LedgersListed)
    All.push_back({model::Severity::Warning,
                   {},
                   "pool " + m_State.m_Pool.str() +
                       ": the ledgers are not read yet; nothing is moved"});
  for (const auto &Entry : m_State.m_Groups)
    if (!Entry.second.m_WaitReason.empty())
      All.push_back({model::Severity::Warning,
                     {},
                     model::toString(Entry.first) +
                         " waits: " + Entry.second.m_WaitReason});
  for (const EngineInfo &Info : m_State.m_Engines)
    if (m_LedgersListed && Info.m_Ledger.freeBytes() < 0)
      All.push_back({model::Severity::Warning,
                     {},
                     "engine " + Info.m_Ledger.engine().m_Name.str() +
                         " holds more than its memory was promised for"});
}

void PoolShard::addUnfenced(std::vector<UnfencedNode> &All) const {
  for (const EngineInfo &Info : m_State.m_Engines)
    for (const model::UnsettledOrder &Doubt : Info.m_Ledger.doubts())
      if (Doubt.m_Writer != m_Self &&
          !m_FencedNodes.fencedSince(Doubt.m_Writer, leaseToken(Doubt.m_Token)))
        All.push_back({m_Lease.m_Name, Doubt.m_Writer, m_Lease.m_Token});
}

void PoolShard::addDraining(std::vector<model::Copy> &All) const {
  for (const EngineInfo &Info : m_State.m_Engines)
    for (const EntryState &State : Info.m_Ledger.entries())
      if (!State.isLoad() && State.m_Reported)
        All.push_back({State.m_Entry.m_Artifact, Info.m_Ledger.engine().m_Name,
                       model::CopyState::Draining});
}

MoveCounts PoolShard::counts() const {
  MoveCounts Sum = m_State.m_Counts;
  for (const EngineInfo &Info : m_State.m_Engines)
    Sum.m_Repeats += Info.m_Ledger.repeats();
  return Sum;
}

} // namespace bronzepass::core::placement
