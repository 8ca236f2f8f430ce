#include "Core/Placement/PoolState.h"

#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::core::placement {

const GroupSpec *PoolState::assignedSpec(const model::ArtifactId &Base) const {
  const GroupSpec *Spec = m_Catalog ? m_Catalog->find(Base) : nullptr;
  if (!Spec || Spec->m_Retired || Spec->m_Pool != m_Pool)
    return nullptr;
  return Spec;
}

const EntryState *PoolState::entry(EngineIndex Engine,
                                   const model::ArtifactId &Artifact) const {
  return m_Engines[Engine].m_Ledger.find(Artifact);
}

bool PoolState::isUsable(EngineIndex Engine) const {
  const EngineInfo &Info = m_Engines[Engine];
  return Info.m_Health.isUp() &&
         Info.m_Ledger.phase() == LedgerController::Phase::Held;
}

bool PoolState::isLeaving(EngineIndex Engine) const {
  const EngineInfo &Info = m_Engines[Engine];
  return Info.m_Drained || !Info.m_Declared || Info.m_Health.isLeaving();
}

bool PoolState::takesLoads(EngineIndex Engine, model::TimePoint Now) const {
  const EngineInfo &Info = m_Engines[Engine];
  return isUsable(Engine) && !isLeaving(Engine) &&
         !Info.m_Health.isHeldDown(Now) && Now >= Info.m_Ledger.noMemoryUntil();
}

int64_t PoolState::roomOn(EngineIndex Engine) const {
  const EngineInfo &Info = m_Engines[Engine];
  return Info.m_Ledger.freeBytes() - Info.m_PlannedBytes;
}

bool PoolState::isAnswering(EngineIndex Engine,
                            const model::ArtifactId &Artifact,
                            model::TimePoint Now) const {
  if (!isUsable(Engine))
    return false;
  const EntryState *State = entry(Engine, Artifact);
  if (!State || !State->isLoad() || !State->m_Reported ||
      State->m_State != model::CopyState::Serving ||
      State->doubts(model::OrderKind::Unload))
    return false;
  const LedgerController &Ledger = m_Engines[Engine].m_Ledger;
  return !Ledger.mayHaveRestarted() &&
         Now <= Ledger.reportedAt() + m_Settings.m_ReportFreshness;
}

uint32_t PoolState::answeringCopies(const model::ArtifactId &Artifact,
                                    model::TimePoint Now,
                                    EngineIndex Except) const {
  auto Found = m_Groups.find(Artifact.base());
  if (Found == m_Groups.end())
    return 0;
  uint32_t Count = 0;
  for (EngineIndex Engine : Found->second.m_Engines)
    Count += Engine != Except && isAnswering(Engine, Artifact, Now);
  return Count;
}

bool PoolState::answersInOtherPool(const model::ArtifactId &Artifact,
                                   model::TimePoint Now) const {
  if (!m_OtherPools)
    return false;
  return std::any_of(
      m_OtherPools->begin(), m_OtherPools->end(), [&](const auto &Entry) {
        const OtherPoolCopies &Copies = Entry.second;
        return Now <= Copies.m_SeenAt + m_Settings.m_ReportFreshness &&
               std::binary_search(Copies.m_Serving.begin(),
                                  Copies.m_Serving.end(), Artifact);
      });
}

bool PoolState::mayUnload(EngineIndex Engine, const model::ArtifactId &Artifact,
                          model::TimePoint Now) const {
  if (!m_Catalog)
    return false;
  const GroupSpec *Spec = m_Catalog->find(Artifact.base());
  if (m_Catalog->declares(Artifact)) {
    if (Spec->m_Pool != m_Pool && !Spec->m_Pool.empty())
      return answersInOtherPool(Artifact, Now);
    const uint32_t Others = answeringCopies(Artifact, Now, Engine);
    return Others >= Spec->m_MinCopies;
  }
  if (Spec && (Artifact.isAdapter() || Spec->m_Retired))
    return true;
  return answeringCopies(Artifact, Now, Engine) > 0 ||
         successorAnswers(Artifact, Now);
}

bool PoolState::successorAnswers(const model::ArtifactId &Artifact,
                                 model::TimePoint Now) const {
  bool Declared = false;
  auto First = m_Catalog->groups().lower_bound({Artifact.m_Model, {}, {}});
  for (auto It = First;
       It != m_Catalog->groups().end() && It->first.m_Model == Artifact.m_Model;
       ++It) {
    model::ArtifactId Successor = It->first;
    Successor.m_Adapter = Artifact.m_Adapter;
    if (!m_Catalog->declares(Successor))
      continue;
    Declared = true;
    if (answeringCopies(Successor, Now) > 0 ||
        answersInOtherPool(Successor, Now))
      return true;
  }
  return !Declared;
}

void PoolState::reindex(EngineIndex Engine) {
  EngineInfo &Info = m_Engines[Engine];
  std::vector<model::ArtifactId> Groups;
  uint64_t Fingerprint =
      uint64_t(isUsable(Engine)) | uint64_t(isLeaving(Engine)) << 1;
  for (const EntryState &State : Info.m_Ledger.entries()) {
    const model::ArtifactId Base = State.m_Entry.m_Artifact.base();
    if (Groups.empty() || Groups.back() != Base)
      Groups.push_back(Base);
    const uint64_t Marks[] = {
        Fingerprint, std::hash<model::ArtifactId>()(State.m_Entry.m_Artifact),
        uint64_t(State.isLoad()) | uint64_t(State.m_Entry.m_Settled) << 1 |
            uint64_t(State.m_Reported) << 2 | uint64_t(State.m_State) << 3,
        State.m_Entry.m_UnsettledOrders.size()};
    Fingerprint = model::stableHash(
        {reinterpret_cast<const char *>(Marks), sizeof(Marks)});
  }
  if (Fingerprint == Info.m_Fingerprint && Groups == Info.m_Groups)
    return;
  Info.m_Fingerprint = Fingerprint;
  for (const model::ArtifactId &Base : Info.m_Groups) {
    std::vector<EngineIndex> &Engines = m_Groups[Base].m_Engines;
    Engines.erase(std::remove(Engines.begin(), Engines.end(), Engine),
                  Engines.end());
    m_DirtyGroups.insert(Base);
  }
  for (const model::ArtifactId &Base : Groups) {
    std::vector<EngineIndex> &Engines = m_Groups[Base].m_Engines;
    Engines.insert(std::lower_bound(Engines.begin(), Engines.end(), Engine),
                   Engine);
    m_DirtyGroups.insert(Base);
  }
  Info.m_Groups = std::move(Groups);
  m_DirtyGroups.insert(m_WaitingGroups.begin(), m_WaitingGroups.end());
}

void PoolState::queueLoad(const model::ArtifactId &Base, QueuedLoad Load) {
  m_Engines[Load.m_Engine].m_PlannedBytes +=
      static_cast<int64_t>(Load.m_MemoryBytes);
  m_Groups[Base].m_Queue.push_back(std::move(Load));
  m_QueuedGroups.insert(Base);
}

void PoolState::dropQueuedLoad(GroupState &Group, size_t Position) {
  const QueuedLoad &Load = Group.m_Queue[Position];
  m_Engines[Load.m_Engine].m_PlannedBytes -=
      static_cast<int64_t>(Load.m_MemoryBytes);
  Group.m_Queue.erase(Group.m_Queue.begin() +
                      static_cast<std::ptrdiff_t>(Position));
}

} // namespace bronzepass::core::placement
