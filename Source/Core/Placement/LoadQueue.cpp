#include "Core/Placement/LoadQueue.h"

#include <algorithm>

namespace bronzepass::core::placement {

namespace {
/// How long a load on an engine that went down may still use the weight store.
constexpr model::Duration LostLoadDuration = std::chrono::seconds(90);
} // namespace

void LoadQueue::refill(model::TimePoint Now) {
  const double Rate = m_Pool.m_Catalog->loadsPerSecond(m_Pool.m_Pool);
  const double Passed =
      std::chrono::duration<double>(Now - m_RefilledAt).count();
  m_Tokens = std::min(1.0, m_Tokens + std::max(0.0, Passed) * Rate);
  m_RefilledAt = std::max(m_RefilledAt, Now);
}

uint32_t LoadQueue::inFlight(model::TimePoint Now) const {
  uint32_t Count = 0;
  for (const EngineInfo &Info : m_Pool.m_Engines) {
    const std::optional<model::TimePoint> Down = Info.m_Health.downSince();
    if (!Down || Now < *Down + LostLoadDuration)
      Count += Info.m_Ledger.loadingCount();
  }
  return Count;
}

bool LoadQueue::mayStart(const QueuedLoad &Load, model::TimePoint Now) const {
  const LedgerController &Ledger = m_Pool.m_Engines[Load.m_Engine].m_Ledger;
  if (!m_Pool.isUsable(Load.m_Engine) || m_Pool.isLeaving(Load.m_Engine) ||
      Now < Ledger.noMemoryUntil() || Ledger.refusesLoad(Load.m_Artifact))
    return false;
  const EntryState *Known = Ledger.find(Load.m_Artifact);
  const int64_t Held = Known ? int64_t(Known->m_Entry.m_MemoryBytes) : 0;
  if (Ledger.freeBytes() + Held < int64_t(Load.m_MemoryBytes))
    return false;
  if (!Load.m_Artifact.isAdapter())
    return true;
  const EntryState *Base = Ledger.find(Load.m_Artifact.base());
  return Base && Base->isLoad() && !Base->isLoading();
}

LoadQueue::Rank LoadQueue::rank(const QueuedLoad &Load,
                                model::TimePoint Now) const {
  Rank Value{.m_QueuedAt = Load.m_QueuedAt,
             .m_Artifact = Load.m_Artifact,
             .m_Engine = Load.m_Engine};
  if (m_Pool.answeringCopies(Load.m_Artifact, Now) == 0)
    Value.m_Urgency = LoadUrgency::NoCopy;
  else if (Load.m_Reason != CopyReason::Burst)
    Value.m_Urgency = LoadUrgency::BelowMinCopies;
  const DemandRate Demand = m_Pool.m_Demand.rate(Load.m_Artifact, Now);
  Value.m_NegatedDemand = -(Demand.m_Waiting + Demand.m_Unserved);
  return Value;
}

std::optional<LoadQueue::Choice>
LoadQueue::mostUrgent(model::TimePoint Now) const {
  std::optional<Choice> Best;
  for (const model::ArtifactId &Base : m_Pool.m_QueuedGroups) {
    const std::vector<QueuedLoad> &Queue = m_Pool.m_Groups.at(Base).m_Queue;
    for (size_t I = 0; I < Queue.size(); ++I) {
      if (!mayStart(Queue[I], Now))
        continue;
      Rank Value = rank(Queue[I], Now);
      if (!Best || Value < Best->m_Rank)
        Best = Choice{std::move(Value), Base, I};
    }
  }
  return Best;
}

bool LoadQueue::start(const Choice &Chosen, model::TimePoint Now) {
  GroupState &Group = m_Pool.m_Groups.at(Chosen.m_Base);
  const QueuedLoad Load = Group.m_Queue[Chosen.m_Position];
  LedgerController &Ledger = m_Pool.m_Engines[Load.m_Engine].m_Ledger;
  m_Pool.dropQueuedLoad(Group, Chosen.m_Position);
  if (Group.m_Queue.empty())
    m_Pool.m_QueuedGroups.erase(Chosen.m_Base);
  m_Pool.m_DirtyGroups.insert(Chosen.m_Base);
  m_Pool.m_ChangedEngines.insert(Load.m_Engine);
  if (!Ledger.recordLoad(Load.m_Artifact, Load.m_MemoryBytes, Load.m_Reason,
                         m_Pool.m_OrderTokens, Now))
    return false;
  if (Load.m_Artifact.isAdapter())
    ++m_Pool.m_Counts.m_AdapterLoads;
  else
    ++m_Pool.m_Counts.m_ModelLoads;
  m_Pool.m_Decisions.push_back({.m_Kind = model::DecisionKind::Placement,
                                .m_Subject = model::toString(Load.m_Artifact),
                                .m_Action = "load",
                                .m_Chosen = Ledger.engine().m_Name.str(),
                                .m_Reason = toString(Load.m_Reason)});
  return true;
}

void LoadQueue::admit(model::TimePoint Now) {
  if (!m_Pool.m_Catalog)
    return;
  refill(Now);
  if (m_Tokens < 1 || m_Pool.m_QueuedGroups.empty())
    return;
  if (inFlight(Now) >= m_Pool.m_Catalog->concurrentLoads(m_Pool.m_Pool))
    return;
  const std::optional<Choice> Chosen = mostUrgent(Now);
  if (Chosen && start(*Chosen, Now))
    m_Tokens -= 1;
}

} // namespace bronzepass::core::placement
