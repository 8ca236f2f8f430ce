// The part of Planner that chooses engines for copies and makes room on them.
#include "Core/Placement/Planner.h"

#include <algorithm>

namespace bronzepass::core::placement {

namespace {

/// Weights in an engine's score, relative to full use of its slots, which is 1.
constexpr double LastRoomCost = 8;
constexpr double SameDomainCost = 4;
constexpr double TogetherGain = 2;
constexpr double MemoryCost = 1;
constexpr size_t MaxRunnersUp = 2;

} // namespace

bool Planner::anyGroupOn(EngineIndex Engine, const GroupTest &Test) const {
  const std::vector<model::ArtifactId> &Held =
      m_Pool.m_Engines[Engine].m_Groups;
  if (std::any_of(Held.begin(), Held.end(), Test))
    return true;
  return std::any_of(
      m_Pool.m_QueuedGroups.begin(), m_Pool.m_QueuedGroups.end(),
      [&](const model::ArtifactId &Base) {
        const std::vector<QueuedLoad> &Queue = m_Pool.m_Groups.at(Base).m_Queue;
        return Test(Base) && std::any_of(Queue.begin(), Queue.end(),
                                         [Engine](const QueuedLoad &Load) {
                                           return Load.m_Engine == Engine;
                                         });
      });
}

bool Planner::satisfiesApart(const GroupSpec &Spec, EngineIndex Engine) const {
  if (Spec.m_Apart.empty())
    return true;
  return !anyGroupOn(Engine, [&](const model::ArtifactId &Base) {
    const GroupSpec *Other = m_Pool.m_Catalog->find(Base);
    return Other && Base.m_Model != Spec.m_Base.m_Model &&
           intersects(Other->m_Apart, Spec.m_Apart);
  });
}

double Planner::score(const GroupSpec &Spec, EngineIndex Engine,
                      const std::vector<EngineIndex> &Excluded) const {
  const EngineInfo &Info = m_Pool.m_Engines[Engine];
  const model::EndpointSpec &Endpoint = Info.m_Ledger.engine();
  double Score = Info.m_UsedSlots / std::max<uint32_t>(Endpoint.m_Slots, 1);
  const double Capacity = double(Info.m_Ledger.capacityBytes());
  Score += MemoryCost * (1 - double(m_Pool.roomOn(Engine)) / Capacity);
  for (EngineIndex Other : Excluded)
    if (m_Pool.m_Engines[Other].m_Ledger.engine().m_Domain == Endpoint.m_Domain)
      Score += SameDomainCost;
  if (Spec.m_Together.empty())
    return Score;
  const bool HasOther = anyGroupOn(Engine, [&](const model::ArtifactId &Base) {
    const GroupSpec *Other = m_Pool.m_Catalog->find(Base);
    return Other && Base != Spec.m_Base &&
           intersects(Other->m_Together, Spec.m_Together);
  });
  return HasOther ? Score - TogetherGain : Score;
}

int64_t Planner::roomFor(EngineIndex Engine,
                         const model::ArtifactId &Base) const {
  int64_t Room = m_Pool.roomOn(Engine);
  // Memory promised because of a doubt can be used by the same artifact.
  for (const EntryState &State : m_Pool.m_Engines[Engine].m_Ledger.entries())
    if (State.isInDoubt() && State.m_Entry.m_Artifact.base() == Base)
      Room += static_cast<int64_t>(State.m_Entry.m_MemoryBytes);
  return Room;
}

std::optional<EngineIndex>
Planner::lastEngineWithRoom(model::TimePoint Now) const {
  std::optional<EngineIndex> LastWithRoom;
  for (EngineIndex I = 0; I < m_Pool.m_Engines.size(); ++I) {
    if (!m_Pool.takesLoads(I, Now) ||
        m_Pool.roomOn(I) < int64_t(m_Pool.m_LargestGroup))
      continue;
    if (LastWithRoom)
      return std::nullopt;
    LastWithRoom = I;
  }
  return LastWithRoom;
}

std::vector<Planner::Candidate>
Planner::candidates(const GroupSpec &Spec, uint64_t Bytes,
                    const std::vector<EngineIndex> &Excluded, bool NeedsRoom,
                    model::TimePoint Now) const {
  std::vector<Candidate> All;
  const std::optional<EngineIndex> LastWithRoom = lastEngineWithRoom(Now);
  for (EngineIndex I = 0; I < m_Pool.m_Engines.size(); ++I) {
    if (!m_Pool.takesLoads(I, Now) ||
        (NeedsRoom && roomFor(I, Spec.m_Base) < int64_t(Bytes)))
      continue;
    if (std::find(Excluded.begin(), Excluded.end(), I) != Excluded.end())
      continue;
    if (m_Pool.m_Engines[I].m_Ledger.refusesLoad(Spec.m_Base) ||
        !satisfiesApart(Spec, I))
      continue;
    All.push_back({I, score(Spec, I, Excluded)});
    if (LastWithRoom == I)
      All.back().m_Score += LastRoomCost;
  }
  std::stable_sort(All.begin(), All.end(),
                   [](const Candidate &A, const Candidate &B) {
                     return A.m_Score < B.m_Score;
                   });
  return All;
}

bool Planner::placeCopy(const GroupSpec &Spec, GroupState &Group,
                        CopyReason Reason, uint32_t MaxMoves,
                        model::TimePoint Now) {
  // An engine that holds only adapters of the group, or only promises memory to
  // it because of a doubt, can take the copy.
  std::vector<EngineIndex> Excluded = queuedEngines(Spec.m_Base, Group);
  for (EngineIndex Engine : Group.m_Engines) {
    const EntryState *State = m_Pool.entry(Engine, Spec.m_Base);
    if (State && !State->isInDoubt())
      Excluded.push_back(Engine);
  }
  const std::vector<Candidate> Fits =
      candidates(Spec, Spec.totalBytes(), Excluded, true, Now);
  if (!Fits.empty()) {
    queueCopy(Spec, Fits.front().m_Engine, Reason, Fits, Now);
    return true;
  }
  const std::optional<Eviction> Plan =
      findRoom(Spec, Spec.totalBytes(), Excluded, MaxMoves,
               Reason != CopyReason::Burst, Now);
  if (!Plan)
    return false;
  queueCopy(Spec, Plan->m_Engine, Reason, {}, Now);
  applyEviction(*Plan, Now);
  return true;
}

void Planner::queueCopy(const GroupSpec &Spec, EngineIndex Engine,
                        CopyReason Reason,
                        const std::vector<Candidate> &Candidates,
                        model::TimePoint Now) {
  m_Pool.queueLoad(Spec.m_Base,
                   {Spec.m_Base, Spec.m_MemoryBytes, Engine, Reason, Now});
  for (const GroupAdapter &Adapter : Spec.m_Adapters) {
    const EntryState *Known = m_Pool.entry(Engine, Adapter.m_Artifact);
    if (!Known || !Known->isLoad())
      m_Pool.queueLoad(Spec.m_Base, {Adapter.m_Artifact, Adapter.m_MemoryBytes,
                                     Engine, Reason, Now});
  }
  model::Decision Decision{
      .m_Kind = model::DecisionKind::Placement,
      .m_Subject = model::toString(Spec.m_Base),
      .m_Action = "queue",
      .m_Chosen = m_Pool.m_Engines[Engine].m_Ledger.engine().m_Name.str(),
      .m_Reason = toString(Reason)};
  for (size_t I = 1; I < Candidates.size() && I <= MaxRunnersUp; ++I)
    Decision.m_RunnersUp.push_back(
        {m_Pool.m_Engines[Candidates[I].m_Engine]
             .m_Ledger.engine()
             .m_Name.str(),
         "score " + std::to_string(Candidates[I].m_Score)});
  m_Pool.m_Decisions.push_back(std::move(Decision));
}

int64_t Planner::bytesOn(EngineIndex Engine,
                         const model::ArtifactId &Base) const {
  int64_t Sum = 0;
  for (const EntryState &State : m_Pool.m_Engines[Engine].m_Ledger.entries())
    if (State.m_Entry.m_Artifact.base() == Base && State.isLoad())
      Sum += static_cast<int64_t>(State.m_Entry.m_MemoryBytes);
  return Sum;
}

bool Planner::mayEvict(const GroupSpec &Spec, const GroupState &Group,
                       EngineIndex Engine, bool Needed,
                       model::TimePoint Now) const {
  if (keptEngines(Spec.m_Base, Group).size() <= Spec.m_MinCopies)
    return false;
  // An extra copy that demand uses is unloaded only for a copy that is needed
  // to reach a minimum number.
  if (!Needed && !Group.m_SpareSince)
    return false;
  const std::vector<EntryState> &Entries =
      m_Pool.m_Engines[Engine].m_Ledger.entries();
  return std::all_of(Entries.begin(), Entries.end(),
                     [&](const EntryState &State) {
                       const model::ArtifactId &Id = State.m_Entry.m_Artifact;
                       return Id.base() != Spec.m_Base || !State.isLoad() ||
                              m_Pool.mayUnload(Engine, Id, Now);
                     });
}

bool Planner::fitsElsewhere(const GroupSpec &Spec, EngineIndex Engine,
                            int64_t Bytes, model::TimePoint Now) const {
  for (EngineIndex I = 0; I < m_Pool.m_Engines.size(); ++I) {
    if (I == Engine || !m_Pool.takesLoads(I, Now) || m_Pool.roomOn(I) < Bytes)
      continue;
    const EntryState *State = m_Pool.entry(I, Spec.m_Base);
    if (State && !State->isInDoubt())
      continue;
    if (satisfiesApart(Spec, I))
      return true;
  }
  return false;
}

std::optional<Planner::Eviction>
Planner::evictionFrom(EngineIndex Engine, int64_t Need, uint32_t MaxMoves,
                      bool Needed, model::TimePoint Now) const {
  Eviction Plan{.m_Engine = Engine};
  std::vector<std::pair<int64_t, model::ArtifactId>> Movable;
  for (const model::ArtifactId &Base : m_Pool.m_Engines[Engine].m_Groups) {
    const GroupSpec *Spec = m_Pool.assignedSpec(Base);
    const GroupState &Group = m_Pool.m_Groups.at(Base);
    const EntryState *State = m_Pool.entry(Engine, Base);
    if (!Spec || !State || !State->isLoad() || State->isLoading() ||
        Group.m_EnginesToLeave.count(Engine) || !Group.m_Queue.empty())
      continue;
    const int64_t Bytes = bytesOn(Engine, Base);
    if (mayEvict(*Spec, Group, Engine, Needed, Now)) {
      Plan.m_Spare.push_back(Base);
      Need -= Bytes;
      if (Need <= 0)
        return Plan;
      continue;
    }
    if (MaxMoves > 0 && fitsElsewhere(*Spec, Engine, Bytes, Now))
      Movable.emplace_back(Bytes, Base);
  }
  // To keep moves few: the smallest group that suffices, else the largest.
  std::sort(Movable.begin(), Movable.end());
  while (Need > 0 && !Movable.empty() && Plan.m_Moved.size() < MaxMoves) {
    auto Enough =
        std::find_if(Movable.begin(), Movable.end(),
                     [Need](const auto &M) { return M.first >= Need; });
    auto Chosen = Enough == Movable.end() ? std::prev(Movable.end()) : Enough;
    Need -= Chosen->first;
    Plan.m_Moved.push_back(Chosen->second);
    Movable.erase(Chosen);
  }
  if (Need > 0)
    return std::nullopt;
  return Plan;
}

std::optional<Planner::Eviction>
Planner::findRoom(const GroupSpec &Spec, uint64_t Bytes,
                  const std::vector<EngineIndex> &Excluded, uint32_t MaxMoves,
                  bool Needed, model::TimePoint Now) const {
  std::optional<Eviction> Best;
  for (const Candidate &Place : candidates(Spec, Bytes, Excluded, false, Now)) {
    const int64_t Need = int64_t(Bytes) - m_Pool.roomOn(Place.m_Engine);
    if (Best && Best->m_Moved.empty())
      break;
    std::optional<Eviction> Plan =
        evictionFrom(Place.m_Engine, Need, MaxMoves, Needed, Now);
    if (!Plan || (Best && Best->m_Moved.size() <= Plan->m_Moved.size()))
      continue;
    Best = std::move(Plan);
  }
  return Best;
}

void Planner::applyEviction(const Eviction &Plan, model::TimePoint Now) {
  for (const model::ArtifactId &Base : Plan.m_Spare) {
    GroupState &Group = m_Pool.m_Groups.at(Base);
    Group.m_ExtraCopies -= std::min<uint32_t>(Group.m_ExtraCopies, 1);
    unloadFrom(Plan.m_Engine, Base, CopyReason::Evicted, Now);
  }
  m_MakingRoom = true;
  for (const model::ArtifactId &Base : Plan.m_Moved) {
    GroupState &Group = m_Pool.m_Groups.at(Base);
    Group.m_EnginesToLeave.insert(Plan.m_Engine);
    planCopies(*m_Pool.assignedSpec(Base), Group, Now);
  }
  m_MakingRoom = false;
}

} // namespace bronzepass::core::placement
