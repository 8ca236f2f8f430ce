#include "Core/Placement/PoolShard.h"

#include <algorithm>

namespace bronzepass::core::placement {

PoolShard::PoolShard(model::NodeId Self, const StoreCallSender &SendStoreCall,
                     const PlacementSettings &Settings,
                     const model::PoolId &Pool, const model::HeldLease &Lease,
                     const OtherPoolMap &OtherPools, model::TimePoint Now)
    : m_Self(std::move(Self)), m_SendStoreCall(SendStoreCall), m_Lease(Lease),
      m_State(Settings, Lease.m_Token), m_Planner(m_State),
      m_LoadQueue(m_State, Now) {
  m_State.m_Pool = Pool;
  m_State.m_OtherPools = &OtherPools;
  // This node itself sends no more orders under its older lease tokens.
  m_FencedNodes.acknowledged(m_Self, Lease.m_Token, Now);
}

std::optional<EngineIndex>
PoolShard::indexOf(const model::EndpointId &Endpoint) const {
  auto Found = m_EngineIndices.find(Endpoint);
  if (Found == m_EngineIndices.end())
    return std::nullopt;
  return Found->second;
}

void PoolShard::intentChanged(std::shared_ptr<const Catalog> Value,
                              const LivenessMap &Liveness,
                              model::TimePoint Now) {
  const std::shared_ptr<const Catalog> Before = std::move(m_State.m_Catalog);
  m_State.m_Catalog = std::move(Value);
  applyEngineSpecs(Liveness, Now);
  // Only groups that changed are planned again. Groups affected by a change of
  // their engines were marked dirty by reindex.
  m_State.m_LargestGroup = 0;
  for (const auto &Entry : m_State.m_Catalog->groups()) {
    if (Entry.second.m_Pool == m_State.m_Pool)
      m_State.m_LargestGroup =
          std::max(m_State.m_LargestGroup, Entry.second.totalBytes());
    const GroupSpec *Old = Before ? Before->find(Entry.first) : nullptr;
    const bool Affected = Entry.second.m_Pool == m_State.m_Pool ||
                          m_State.m_Groups.count(Entry.first) != 0;
    if (Affected && (!Old || *Old != Entry.second))
      m_State.m_DirtyGroups.insert(Entry.first);
  }
  for (const auto &Entry : m_State.m_Groups)
    if (!m_State.m_Catalog->find(Entry.first))
      m_State.m_DirtyGroups.insert(Entry.first);
  m_State.m_DirtyGroups.insert(m_State.m_WaitingGroups.begin(),
                               m_State.m_WaitingGroups.end());
}

void PoolShard::applyEngineSpecs(const LivenessMap &Liveness,
                                 model::TimePoint Now) {
  for (EngineInfo &Info : m_State.m_Engines)
    Info.m_Declared = false;
  for (const model::PoolSpec &Pool : m_State.m_Catalog->intent().m_Pools) {
    if (Pool.m_Name != m_State.m_Pool)
      continue;
    for (const model::EndpointSpec &Engine : Pool.m_Endpoints) {
      if (!m_EngineIndices.count(Engine.m_Name)) {
        m_EngineIndices[Engine.m_Name] =
            static_cast<EngineIndex>(m_State.m_Engines.size());
        m_State.m_Engines.push_back(
            {LedgerController(m_Self, Pool.m_Name, m_State.m_Settings)});
        auto Known = Liveness.find(Engine.m_Name);
        if (Known != Liveness.end())
          m_State.m_Engines.back().m_Health.livenessChanged(
              Known->second, m_State.m_Settings, Now);
      }
      EngineInfo &Info = m_State.m_Engines[m_EngineIndices[Engine.m_Name]];
      Info.m_Ledger.configure(Engine, Pool);
      Info.m_Declared = true;
    }
  }
  for (const auto &Entry : m_EngineIndices) {
    m_State.m_Engines[Entry.second].m_Drained =
        m_State.m_Catalog->drains(Entry.first);
    m_State.reindex(Entry.second);
  }
}

void PoolShard::reportReceived(const model::EngineReport &Report,
                               model::TimePoint Now,
                               ports::EffectList &Effects) {
  const std::optional<EngineIndex> Engine = indexOf(Report.m_Endpoint);
  if (!Engine)
    return;
  EngineInfo &Info = m_State.m_Engines[*Engine];
  if (!Info.m_Ledger.reportReceived(Report, m_State.m_OrderTokens, Now))
    return;
  Info.m_Health.reportReceived(m_State.m_Settings, Now);
  updateEngine(*Engine, true, Now, Effects);
  plan(Now, Effects);
}

void PoolShard::reportMissed(const ports::ReportFailed &Missed,
                             model::TimePoint Now, ports::EffectList &Effects) {
  const std::optional<EngineIndex> Engine = indexOf(Missed.m_Endpoint);
  if (!Engine)
    return;
  m_State.m_Engines[*Engine].m_Health.reportMissed(Missed.m_Refused,
                                                   m_State.m_Settings, Now);
  m_State.reindex(*Engine);
  plan(Now, Effects);
}

void PoolShard::livenessChanged(const model::EndpointState &State,
                                model::TimePoint Now,
                                ports::EffectList &Effects) {
  const std::optional<EngineIndex> Engine = indexOf(State.m_Endpoint);
  if (!Engine)
    return;
  m_State.m_Engines[*Engine].m_Health.livenessChanged(State.m_Liveness,
                                                      m_State.m_Settings, Now);
  m_State.reindex(*Engine);
  plan(Now, Effects);
}

void PoolShard::orderAnswered(const model::OrderAnswer &Answer,
                              model::TimePoint Now,
                              ports::EffectList &Effects) {
  const std::optional<EngineIndex> Engine = indexOf(Answer.m_Endpoint);
  if (!Engine)
    return;
  m_State.m_Engines[*Engine].m_Ledger.orderAnswered(Answer,
                                                    m_State.m_OrderTokens, Now);
  updateEngine(*Engine, true, Now, Effects);
  plan(Now, Effects);
}

bool PoolShard::storeAnswered(const ports::StoreAnswer &Answer,
                              model::TimePoint Now,
                              ports::EffectList &Effects) {
  auto Found = m_StoreCalls.find(Answer.m_Id);
  if (Found == m_StoreCalls.end())
    return false;
  const EngineIndex Engine = Found->second;
  m_StoreCalls.erase(Found);
  if (Engine == ListCall) {
    ledgersListed(Answer, Now);
    tick(Now, Effects);
    return true;
  }
  m_State.m_Engines[Engine].m_Ledger.storeAnswered(Answer,
                                                   m_State.m_OrderTokens, Now);
  updateEngine(Engine, true, Now, Effects);
  if (holdsLease(Now) && !m_ReadyToPlan)
    startStoreCalls(Now);
  plan(Now, Effects);
  return true;
}

void PoolShard::demandReceived(const model::DemandSample &Sample,
                               model::TimePoint Now) {
  if (hasGroup(Sample.m_Artifact.base()))
    m_State.m_Demand.add(Sample, Now);
}

bool PoolShard::hasGroup(const model::ArtifactId &Base) const {
  return m_State.m_Groups.count(Base) != 0;
}

void PoolShard::listLedgers(model::TimePoint Now) {
  if (m_ListPending || Now < m_ListRetryAt)
    return;
  m_ListPending = true;
  const model::CallId Id = m_SendStoreCall(
      {.m_Verb = ports::StoreVerb::List,
       .m_Key = {ports::ObjectKind::Ledger, m_State.m_Pool.str() + "."},
       .m_Priority = ports::StorePriority::Ledger,
       .m_Timeout = m_State.m_Settings.m_StoreTimeout});
  m_StoreCalls[Id] = ListCall;
}

void PoolShard::ledgersListed(const ports::StoreAnswer &Answer,
                              model::TimePoint Now) {
  m_ListPending = false;
  if (Answer.m_Status != ports::StoreStatus::Ok) {
    m_ListRetryAt = Now + m_State.m_Settings.m_StoreRetryDelay;
    return;
  }
  std::map<std::string, const ports::StoredObject *> ByName;
  for (const ports::StoredObject &Object : Answer.m_Objects)
    ByName[Object.m_Key.m_Name] = &Object;
  for (EngineInfo &Info : m_State.m_Engines) {
    auto Found = ByName.find(Info.m_Ledger.key().m_Name);
    std::optional<ports::StoredObject> Stored;
    if (Found != ByName.end())
      Stored = *Found->second;
    Info.m_Ledger.claim(Stored, m_State.m_OrderTokens, Now);
  }
  m_LedgersListed = true;
  m_LedgersListedAt = Now;
}

void PoolShard::updateEngine(EngineIndex Engine, bool Settle,
                             model::TimePoint Now, ports::EffectList &Effects) {
  LedgerController &Ledger = m_State.m_Engines[Engine].m_Ledger;
  if (Settle)
    Ledger.settle(m_FencedNodes, m_State.m_OrderTokens, Now);
  if (!holdsLease(Now) || !m_LedgersListed) {
    m_State.reindex(Engine);
    return;
  }
  if (Ledger.phase() == LedgerController::Phase::Held &&
      Ledger.role() != Ledger.engine().m_Role)
    Ledger.recordRole(Ledger.engine().m_Role, m_State.m_OrderTokens);
  const auto MayUnload = [&](const model::ArtifactId &Artifact) {
    return m_State.mayUnload(Engine, Artifact, Now);
  };
  if (std::optional<model::EngineOrder> Order =
          Ledger.nextOrder(MayUnload, m_State.m_OrderTokens, Now))
    Effects.push_back(
        ports::OrderSend{std::move(*Order), Ledger.engine().m_Address});
  if (m_StoreCalls.size() < m_State.m_Settings.m_MaxStoreCalls)
    if (std::optional<ports::StoreCall> Call = Ledger.nextCall(Now))
      m_StoreCalls[m_SendStoreCall(std::move(*Call))] = Engine;
  m_State.reindex(Engine);
}

void PoolShard::startStoreCalls(model::TimePoint Now) {
  const EngineIndex Count = static_cast<EngineIndex>(m_State.m_Engines.size());
  for (EngineIndex I = 0;
       I < Count && m_StoreCalls.size() < m_State.m_Settings.m_MaxStoreCalls;
       ++I) {
    m_LastPolled = (m_LastPolled + 1) % Count;
    LedgerController &Ledger = m_State.m_Engines[m_LastPolled].m_Ledger;
    if (std::optional<ports::StoreCall> Call = Ledger.nextCall(Now))
      m_StoreCalls[m_SendStoreCall(std::move(*Call))] = m_LastPolled;
  }
}

bool PoolShard::isReadyToPlan(model::TimePoint Now) {
  if (m_ReadyToPlan)
    return true;
  const bool AllKnown = std::all_of(
      m_State.m_Engines.begin(), m_State.m_Engines.end(),
      [](const EngineInfo &Info) {
        return !Info.m_Declared ||
               (Info.m_Ledger.phase() == LedgerController::Phase::Held &&
                (Info.m_Health.isUp() || Info.m_Health.downSince()));
      });
  m_ReadyToPlan =
      AllKnown || Now >= m_LedgersListedAt + m_State.m_Settings.m_StartGrace;
  return m_ReadyToPlan;
}

void PoolShard::plan(model::TimePoint Now, ports::EffectList &Effects) {
  if (!holdsLease(Now) || !m_LedgersListed || !m_State.m_Catalog ||
      !isReadyToPlan(Now))
    return;
  if (Now >= m_ReviewAt) {
    m_Planner.reviewDemand(Now);
    m_ReviewAt = Now + m_State.m_Settings.m_ReviewPeriod;
  }
  m_Planner.planDirty(Now);
  m_LoadQueue.admit(Now);
  const std::set<EngineIndex> Changed = std::move(m_State.m_ChangedEngines);
  m_State.m_ChangedEngines.clear();
  for (EngineIndex Engine : Changed)
    updateEngine(Engine, false, Now, Effects);
  flushDecisions(Effects);
}

void PoolShard::flushDecisions(ports::EffectList &Effects) {
  for (model::Decision &Decision : m_State.m_Decisions)
    Effects.push_back(std::move(Decision));
  m_State.m_Decisions.clear();
}

void PoolShard::tick(model::TimePoint Now, ports::EffectList &Effects) {
  if (!holdsLease(Now) || !m_State.m_Catalog)
    return;
  if (!m_LedgersListed) {
    listLedgers(Now);
    return;
  }
  for (EngineIndex I = 0; I < m_State.m_Engines.size(); ++I)
    updateEngine(I, m_State.m_Engines[I].m_Ledger.hasUnsettledEntries(), Now,
                 Effects);
  plan(Now, Effects);
}

} // namespace bronzepass::core::placement
