#include "Core/Placement/Planner.h"

#include <algorithm>

namespace bronzepass::core::placement {

namespace {

/// Maximum number of groups moved to make room for one that lacks copies.
constexpr uint32_t MaxDisplacedGroups = 4;

bool contains(const std::vector<EngineIndex> &All, EngineIndex Wanted) {
  return std::find(All.begin(), All.end(), Wanted) != All.end();
}

} // namespace

void Planner::planDirty(model::TimePoint Now) {
  // Large groups first, since small ones fit into the remaining room.
  std::vector<std::pair<uint64_t, model::ArtifactId>> Order;
  for (const model::ArtifactId &Base : m_Pool.m_DirtyGroups) {
    const GroupSpec *Spec = m_Pool.assignedSpec(Base);
    Order.emplace_back(Spec ? Spec->totalBytes() : 0, Base);
  }
  m_Pool.m_DirtyGroups.clear();
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : A.second < B.second;
  });
  for (const auto &Entry : Order)
    planGroup(Entry.second, Now);
}

void Planner::planGroup(const model::ArtifactId &Base, model::TimePoint Now) {
  GroupState &Group = m_Pool.m_Groups[Base];
  const GroupSpec *Spec = m_Pool.assignedSpec(Base);
  Group.m_WaitReason.clear();
  dropStaleLoads(Base, Group, Spec, Now);
  if (!Spec) {
    planRemoval(Base, Group, Now);
  } else {
    Group.m_UndeclaredSince.reset();
    planCopies(*Spec, Group, Now);
    planAdapters(*Spec, Group, Now);
    planUnloads(*Spec, Group, Now);
  }
  if (Group.m_WaitReason.empty())
    m_Pool.m_WaitingGroups.erase(Base);
  else
    m_Pool.m_WaitingGroups.insert(Base);
  if (Group.m_Queue.empty())
    m_Pool.m_QueuedGroups.erase(Base);
  if (!Spec && Group.m_Engines.empty() && Group.m_Queue.empty())
    m_Pool.m_Groups.erase(Base);
}

void Planner::dropStaleLoads(const model::ArtifactId &Base, GroupState &Group,
                             const GroupSpec *Spec, model::TimePoint Now) {
  for (auto It = Group.m_EnginesToLeave.begin();
       It != Group.m_EnginesToLeave.end();) {
    const EntryState *State = m_Pool.entry(*It, Base);
    // The group may also stay if room was found another way.
    const bool MayStay = !State || !State->isLoad() || m_Pool.roomOn(*It) >= 0;
    It = MayStay ? Group.m_EnginesToLeave.erase(It) : std::next(It);
  }
  size_t Kept = keptEngines(Base, Group).size();
  for (size_t I = Group.m_Queue.size(); I-- > 0;) {
    const QueuedLoad &Load = Group.m_Queue[I];
    const bool Declared = Spec && m_Pool.m_Catalog->declares(Load.m_Artifact);
    const bool EngineOut =
        !m_Pool.isUsable(Load.m_Engine) || m_Pool.isLeaving(Load.m_Engine);
    const bool Expired =
        Now > Load.m_QueuedAt + m_Pool.m_Settings.m_ReplanAfter &&
        m_Pool.m_Engines[Load.m_Engine].m_Ledger.freeBytes() <
            int64_t(Load.m_MemoryBytes);
    // An engine with a copy came back, or demand has dropped.
    const bool Unneeded = Spec && !Load.m_Artifact.isAdapter() &&
                          Kept >= Spec->m_MinCopies + Group.m_ExtraCopies;
    const EntryState *BaseState = m_Pool.entry(Load.m_Engine, Base);
    const bool Orphaned = Load.m_Artifact.isAdapter() &&
                          !(BaseState && BaseState->isLoad()) &&
                          !contains(queuedEngines(Base, Group), Load.m_Engine);
    if (!Declared || EngineOut || Expired || Unneeded || Orphaned)
      m_Pool.dropQueuedLoad(Group, I);
  }
}

std::vector<EngineIndex> Planner::keptEngines(const model::ArtifactId &Base,
                                              const GroupState &Group) const {
  std::vector<EngineIndex> Kept;
  for (EngineIndex Engine : Group.m_Engines) {
    const EntryState *State = m_Pool.entry(Engine, Base);
    if (State && State->isLoad() && m_Pool.isUsable(Engine) &&
        !m_Pool.isLeaving(Engine) && !Group.m_EnginesToLeave.count(Engine))
      Kept.push_back(Engine);
  }
  return Kept;
}

std::vector<EngineIndex>
Planner::queuedEngines(const model::ArtifactId &Artifact,
                       const GroupState &Group) const {
  std::vector<EngineIndex> Queued;
  for (const QueuedLoad &Load : Group.m_Queue)
    if (Load.m_Artifact == Artifact)
      Queued.push_back(Load.m_Engine);
  return Queued;
}

void Planner::planCopies(const GroupSpec &Spec, GroupState &Group,
                         model::TimePoint Now) {
  const size_t Target = Spec.m_MinCopies + Group.m_ExtraCopies;
  size_t Copies = keptEngines(Spec.m_Base, Group).size() +
                  queuedEngines(Spec.m_Base, Group).size();
  for (; Copies < Target; ++Copies) {
    const bool Needed = Copies < Spec.m_MinCopies;
    CopyReason Reason = Needed ? CopyReason::Declared : CopyReason::Burst;
    if (Needed && m_Pool.answeringCopies(Spec.m_Base, Now) > 0)
      Reason = CopyReason::Moved;
    // A model below its minimum number of copies may displace several others.
    const uint32_t MaxMoves = Needed && !m_MakingRoom ? MaxDisplacedGroups : 0;
    if (placeCopy(Spec, Group, Reason, MaxMoves, Now))
      continue;
    if (Needed)
      Group.m_WaitReason = waitReason(Spec, Spec.totalBytes(), Now);
    else
      Group.m_ExtraCopies = static_cast<uint32_t>(
          Copies > Spec.m_MinCopies ? Copies - Spec.m_MinCopies : 0);
    return;
  }
}

void Planner::planAdapters(const GroupSpec &Spec, GroupState &Group,
                           model::TimePoint Now) {
  for (const GroupAdapter &Adapter : Spec.m_Adapters)
    planAdapter(Spec, Adapter, Group, Now);
}

void Planner::planAdapter(const GroupSpec &Spec, const GroupAdapter &Adapter,
                          GroupState &Group, model::TimePoint Now) {
  const std::vector<EngineIndex> Kept = keptEngines(Spec.m_Base, Group);
  std::vector<EngineIndex> Holders = queuedEngines(Adapter.m_Artifact, Group);
  for (EngineIndex Engine : Kept) {
    const EntryState *State = m_Pool.entry(Engine, Adapter.m_Artifact);
    if (State && State->isLoad() && !contains(Holders, Engine))
      Holders.push_back(Engine);
  }
  const bool InDemand =
      m_Pool.m_Demand.rate(Adapter.m_Artifact, Now).m_Arrivals > 0.01;
  const size_t Wanted =
      InDemand ? Kept.size() : std::min<size_t>(Kept.size(), Spec.m_MinCopies);
  for (EngineIndex Engine : Kept) {
    if (Holders.size() >= Wanted)
      return;
    if (contains(Holders, Engine) ||
        m_Pool.roomOn(Engine) < int64_t(Adapter.m_MemoryBytes) ||
        m_Pool.m_Engines[Engine].m_Ledger.refusesLoad(Adapter.m_Artifact))
      continue;
    const CopyReason Reason =
        Holders.empty() ? CopyReason::Declared : CopyReason::Burst;
    m_Pool.queueLoad(Spec.m_Base, {Adapter.m_Artifact, Adapter.m_MemoryBytes,
                                   Engine, Reason, Now});
    Holders.push_back(Engine);
  }
  if (!Holders.empty() || Kept.empty())
    return;
  // No engine with a copy of the model has room for the adapter, so one more
  // copy of the model is placed on another engine.
  if (queuedEngines(Spec.m_Base, Group).empty() &&
      placeCopy(Spec, Group, CopyReason::Declared, 2, Now))
    return;
  if (queuedEngines(Spec.m_Base, Group).empty())
    Group.m_WaitReason = model::toString(Adapter.m_Artifact) + ": " +
                         waitReason(Spec, Spec.totalBytes(), Now);
}

void Planner::planRemoval(const model::ArtifactId &Base, GroupState &Group,
                          model::TimePoint Now) {
  if (!Group.m_UndeclaredSince)
    Group.m_UndeclaredSince = Now;
  const DemandRate Demand = m_Pool.m_Demand.rate(Base, Now);
  const model::TimePoint IdleSince =
      std::max(*Group.m_UndeclaredSince, Demand.m_LastArrivalAt) +
      m_Pool.m_Settings.m_RetireIdleTime;
  const bool Replaced = m_Pool.successorAnswers(Base, Now);
  const std::vector<EngineIndex> Engines = Group.m_Engines;
  for (EngineIndex Engine : Engines) {
    if (Replaced && Now >= IdleSince)
      unloadFrom(Engine, Base, CopyReason::Retired, Now);
    // Copies other than the last one are unloaded for groups that wait for
    // memory, which may include its successor.
    if (!Replaced && !m_Pool.m_WaitingGroups.empty())
      unloadFrom(Engine, Base, CopyReason::Evicted, Now);
  }
}

bool Planner::holdsBase(EngineIndex Engine,
                        const model::ArtifactId &Base) const {
  const EntryState *State = m_Pool.entry(Engine, Base);
  return State && State->isLoad();
}

void Planner::planUnloads(const GroupSpec &Spec, GroupState &Group,
                          model::TimePoint Now) {
  const std::vector<EngineIndex> Engines = Group.m_Engines;
  for (EngineIndex Engine : Engines) {
    if (!m_Pool.isUsable(Engine))
      continue;
    if (m_Pool.isLeaving(Engine))
      unloadFrom(Engine, Spec.m_Base, CopyReason::Drained, Now);
    else if (Group.m_EnginesToLeave.count(Engine))
      unloadFrom(Engine, Spec.m_Base, CopyReason::Evicted, Now);
    else if (!holdsBase(Engine, Spec.m_Base) &&
             !contains(queuedEngines(Spec.m_Base, Group), Engine))
      // The engine lost the model but kept its adapters.
      unloadFrom(Engine, Spec.m_Base, CopyReason::Spare, Now);
    // Adapters that the intent no longer declares are unloaded.
    for (const EntryState &State :
         m_Pool.m_Engines[Engine].m_Ledger.entries()) {
      const model::ArtifactId &Id = State.m_Entry.m_Artifact;
      if (Id.isAdapter() && Id.base() == Spec.m_Base && State.isLoad() &&
          !m_Pool.m_Catalog->declares(Id)) {
        m_Pool.m_Engines[Engine].m_Ledger.recordUnload(
            Id, CopyReason::Retired, m_Pool.m_OrderTokens, Now);
        m_Pool.m_ChangedEngines.insert(Engine);
      }
    }
  }
}

bool Planner::unloadFrom(EngineIndex Engine, const model::ArtifactId &Base,
                         CopyReason Reason, model::TimePoint Now) {
  LedgerController &Ledger = m_Pool.m_Engines[Engine].m_Ledger;
  std::vector<model::ArtifactId> Leaving;
  for (const EntryState &State : Ledger.entries())
    if (State.m_Entry.m_Artifact.base() == Base && State.isLoad())
      Leaving.push_back(State.m_Entry.m_Artifact);
  // All or nothing: an adapter must not remain without its model.
  for (const model::ArtifactId &Artifact : Leaving)
    if (!m_Pool.mayUnload(Engine, Artifact, Now))
      return false;
  if (Leaving.empty() || !m_Pool.isUsable(Engine))
    return false;
  // Adapters sort after their model, and have to be unloaded before it.
  for (auto It = Leaving.rbegin(); It != Leaving.rend(); ++It) {
    Ledger.recordUnload(*It, Reason, m_Pool.m_OrderTokens, Now);
    ++m_Pool.m_Counts.m_Unloads;
  }
  m_Pool.m_ChangedEngines.insert(Engine);
  m_Pool.m_Decisions.push_back({.m_Kind = model::DecisionKind::Placement,
                                .m_Subject = model::toString(Base),
                                .m_Action = "unload",
                                .m_Chosen = Ledger.engine().m_Name.str(),
                                .m_Reason = toString(Reason)});
  return true;
}

std::string Planner::waitReason(const GroupSpec &Spec, uint64_t Bytes,
                                model::TimePoint Now) const {
  int64_t MaxRoom = 0;
  uint32_t EnginesTakingLoads = 0;
  std::string EngineName = "none";
  for (EngineIndex I = 0; I < m_Pool.m_Engines.size(); ++I) {
    if (!m_Pool.takesLoads(I, Now))
      continue;
    ++EnginesTakingLoads;
    if (m_Pool.roomOn(I) <= MaxRoom)
      continue;
    MaxRoom = m_Pool.roomOn(I);
    EngineName = m_Pool.m_Engines[I].m_Ledger.engine().m_Name.str();
  }
  return model::toString(Spec.m_Base) + " needs " + std::to_string(Bytes) +
         " bytes; " + std::to_string(EnginesTakingLoads) +
         " engines take loads, the most room is " + std::to_string(MaxRoom) +
         " bytes on " + EngineName;
}

} // namespace bronzepass::core::placement
