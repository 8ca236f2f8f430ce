// The part of Planner that adds copies for bursts and unloads spare ones.
#include "Core/Placement/Planner.h"

#include <algorithm>

namespace bronzepass::core::placement {

namespace {

/// Unserved requests per second above which demand counts as a burst.
constexpr double MinUnservedPerSecond = 0.02;

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

void Planner::reviewDemand(model::TimePoint Now) {
  m_Pool.m_Demand.forget(Now);
  updateUsedSlots(Now);
  std::vector<model::ArtifactId> Bases;
  for (const auto &Entry : m_Pool.m_Groups)
    Bases.push_back(Entry.first);
  for (const model::ArtifactId &Base : Bases)
    reviewGroup(Base, m_Pool.m_Groups.at(Base), Now);
}

void Planner::updateUsedSlots(model::TimePoint Now) {
  for (EngineInfo &Info : m_Pool.m_Engines)
    Info.m_UsedSlots = 0;
  for (const auto &Entry : m_Pool.m_Groups) {
    const std::vector<EngineIndex> Kept =
        keptEngines(Entry.first, Entry.second);
    if (Kept.empty())
      continue;
    const double Share =
        m_Pool.m_Demand.rate(Entry.first, Now).m_Slots / double(Kept.size());
    for (EngineIndex Engine : Kept)
      m_Pool.m_Engines[Engine].m_UsedSlots += Share;
  }
}

void Planner::reviewGroup(const model::ArtifactId &Base, GroupState &Group,
                          model::TimePoint Now) {
  const GroupSpec *Spec = m_Pool.assignedSpec(Base);
  const size_t Copies = keptEngines(Base, Group).size();
  const bool Unfinished =
      !Spec || !Group.m_WaitReason.empty() || !Group.m_Queue.empty() ||
      !Group.m_EnginesToLeave.empty() || Copies < Spec->m_MinCopies;
  if (Unfinished || Copies != Group.m_Engines.size())
    m_Pool.m_DirtyGroups.insert(Base);
  if (Unfinished)
    return;
  const DemandRate Demand = m_Pool.m_Demand.rate(Base, Now);
  if (Demand.m_Unserved > MinUnservedPerSecond) {
    Group.m_SpareSince.reset();
    considerBurstCopy(*Spec, Group, Demand, Now);
    return;
  }
  considerSpareCopy(*Spec, Group, Demand, Now);
}

void Planner::considerBurstCopy(const GroupSpec &Spec, GroupState &Group,
                                const DemandRate &Demand,
                                model::TimePoint Now) {
  const std::vector<EngineIndex> Kept = keptEngines(Spec.m_Base, Group);
  for (EngineIndex Engine : Kept)
    if (m_Pool.entry(Engine, Spec.m_Base)->isLoading())
      return;
  // Slots that a further copy could add on the least loaded engine.
  double MaxSpareSlots = 0;
  for (EngineIndex I = 0; I < m_Pool.m_Engines.size(); ++I) {
    if (!m_Pool.takesLoads(I, Now) ||
        std::find(Kept.begin(), Kept.end(), I) != Kept.end())
      continue;
    const EngineInfo &Info = m_Pool.m_Engines[I];
    const double Spare = Info.m_Ledger.engine().m_Slots *
                             m_Pool.m_Settings.m_MaxSlotUtilization -
                         Info.m_UsedSlots;
    MaxSpareSlots = std::max(MaxSpareSlots, Spare);
  }
  const double SlotsPerRequest =
      Demand.m_Arrivals > 0 ? std::max(Demand.m_Slots, 0.1) / Demand.m_Arrivals
                            : 1;
  const double Served =
      std::min(Demand.m_Unserved, MaxSpareSlots / SlotsPerRequest);
  const model::Duration UsefulTime =
      m_Pool.m_Settings.m_BurstHorizon - Spec.m_LoadTime;
  const model::PolicyWeights &Weights = m_Pool.m_Catalog->intent().m_Weights;
  const double Gain =
      Weights.m_Attainment * Served * std::max(0.0, seconds(UsefulTime));
  const double Cost = Weights.m_Move * m_Pool.m_Settings.m_MoveMargin;
  if (Gain <= Cost)
    return;
  // Gain beyond the cost of the copy's own load may justify moving others.
  const double ExtraMoves = Weights.m_Move > 0 ? Gain / Cost - 1 : 1;
  const uint32_t MaxMoves =
      static_cast<uint32_t>(std::clamp(ExtraMoves, 0.0, 1.0));
  if (placeCopy(Spec, Group, CopyReason::Burst, MaxMoves, Now))
    Group.m_ExtraCopies = static_cast<uint32_t>(
        Kept.size() + 1 - std::min<size_t>(Kept.size(), Spec.m_MinCopies));
}

void Planner::considerSpareCopy(const GroupSpec &Spec, GroupState &Group,
                                const DemandRate &Demand,
                                model::TimePoint Now) {
  const std::vector<EngineIndex> Kept = keptEngines(Spec.m_Base, Group);
  if (Kept.size() <= Spec.m_MinCopies) {
    Group.m_SpareSince.reset();
    return;
  }
  // Checks whether the other copies could take over the load of one copy and
  // still have slots to spare.
  const double Share = Demand.m_Slots / double(Kept.size());
  EngineIndex MostLoaded = Kept.front();
  double Room = 0;
  for (EngineIndex Engine : Kept) {
    const EngineInfo &Info = m_Pool.m_Engines[Engine];
    Room += Info.m_Ledger.engine().m_Slots *
                m_Pool.m_Settings.m_SpareSlotUtilization -
            Info.m_UsedSlots + Share;
    if (Info.m_UsedSlots > m_Pool.m_Engines[MostLoaded].m_UsedSlots)
      MostLoaded = Engine;
  }
  Room -= Room / double(Kept.size());
  if (Room < Demand.m_Slots) {
    Group.m_SpareSince.reset();
    return;
  }
  if (!Group.m_SpareSince)
    Group.m_SpareSince = Now;
  if (Now < *Group.m_SpareSince + m_Pool.m_Settings.m_SpareCopyHold)
    return;
  // Unloading is pointless while the engine has enough free memory.
  if (m_Pool.roomOn(MostLoaded) > int64_t(Spec.totalBytes()))
    return;
  Group.m_ExtraCopies -= std::min<uint32_t>(Group.m_ExtraCopies, 1);
  if (unloadFrom(MostLoaded, Spec.m_Base, CopyReason::Spare, Now))
    Group.m_SpareSince = Now;
}

} // namespace bronzepass::core::placement
