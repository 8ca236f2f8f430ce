#include "Core/Placement/PoolShard.h"

#include <algorithm>

namespace bronzepass::core::placement {

PoolShard::PoolShard(model::NodeId Self, const StoreGateway &Gateway,
                     const PlacementSettings &Settings,
                     const model::PoolId &Pool, const model::HeldLease &Lease,
                     const ElsewhereMap &Elsewhere, model::TimePoint Now)
    : m_Self(std::move(Self)), m_Gateway(Gateway), m_Lease(Lease),
      m_State(Settings, Lease.m_Token), m_Planner(m_State),
      m_Loads(m_State, Now) {
  m_State.m_Pool = Pool;
  m_State.m_Elsewhere = &Elsewhere;
  // What this node itself sent under an older tenancy has ended.
  m_Fences.acknowledged(m_Self, Lease.m_Token, Now);
}

std::optional<EngineIndex>
PoolShard::indexOf(const model::EndpointId &Endpoint) const {
  auto Found = m_Index.find(Endpoint);
  if (Found == m_Index.end())
    return std::nullopt;
  return Found->second;
}

void PoolShard::intentChanged(std::shared_ptr<const Catalog> Value,
                              const LivenessMap &Liveness,
                              model::TimePoint Now) {
  const std::shared_ptr<const Catalog> Before = std::move(m_State.m_Catalog);
  m_State.m_Catalog = std::move(Value);
  describeEngines(Liveness, Now);
  // Only groups that differ are planned anew; engines mark theirs themselves.
  m_State.m_LargestGroup = 0;
  for (const auto &Entry : m_State.m_Catalog->groups()) {
    if (Entry.second.m_Pool == m_State.m_Pool)
      m_State.m_LargestGroup =
          std::max(m_State.m_LargestGroup, Entry.second.totalBytes());
    const GroupSpec *Old = Before ? Before->find(Entry.first) : nullptr;
    const bool Concerned = Entry.second.m_Pool == m_State.m_Pool ||
                           m_State.m_Groups.count(Entry.first) != 0;
    if (Concerned && (!Old || *Old != Entry.second))
      m_State.m_Dirty.insert(Entry.first);
  }
  for (const auto &Entry : m_State.m_Groups)
    if (!m_State.m_Catalog->find(Entry.first))
      m_State.m_Dirty.insert(Entry.first);
  m_State.m_Dirty.insert(m_State.m_Waiting.begin(), m_State.m_Waiting.end());
}

void PoolShard::describeEngines(const LivenessMap &Liveness,
                                model::TimePoint Now) {
  for (EngineSlot &Slot : m_State.m_Engines)
    Slot.m_Declared = false;
  for (const model::PoolSpec &Pool : m_State.m_Catalog->intent().m_Pools) {
    if (Pool.m_Name != m_State.m_Pool)
      continue;
    for (const model::EndpointSpec &Engine : Pool.m_Endpoints) {
      if (!m_Index.count(Engine.m_Name)) {
        m_Index[Engine.m_Name] =
            static_cast<EngineIndex>(m_State.m_Engines.size());
        m_State.m_Engines.push_back(
            {LedgerBook(m_Self, Pool.m_Name, m_State.m_Settings)});
        auto Known = Liveness.find(Engine.m_Name);
        if (Known != Liveness.end())
          m_State.m_Engines.back().m_Health.livenessChanged(
              Known->second, m_State.m_Settings, Now);
      }
      EngineSlot &Slot = m_State.m_Engines[m_Index[Engine.m_Name]];
      Slot.m_Book.describe(Engine, Pool);
      Slot.m_Declared = true;
    }
  }
  for (const auto &Entry : m_Index) {
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
  EngineSlot &Slot = m_State.m_Engines[*Engine];
  if (!Slot.m_Book.reportReceived(Report, m_State.m_Numbers, Now))
    return;
  Slot.m_Health.reportReceived(m_State.m_Settings, Now);
  serve(*Engine, true, Now, Effects);
  plan(Now, Effects);
}

void PoolShard::reportMissed(const ports::ReportMissed &Missed,
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
  m_State.m_Engines[*Engine].m_Book.orderAnswered(Answer, m_State.m_Numbers,
                                                  Now);
  serve(*Engine, true, Now, Effects);
  plan(Now, Effects);
}

bool PoolShard::storeAnswered(const ports::StoreAnswer &Answer,
                              model::TimePoint Now,
                              ports::EffectList &Effects) {
  auto Found = m_Calls.find(Answer.m_Id);
  if (Found == m_Calls.end())
    return false;
  const EngineIndex Engine = Found->second;
  m_Calls.erase(Found);
  if (Engine == AllEngines) {
    ledgersSeen(Answer, Now);
    tick(Now, Effects);
    return true;
  }
  m_State.m_Engines[Engine].m_Book.storeAnswered(Answer, m_State.m_Numbers,
                                                 Now);
  serve(Engine, true, Now, Effects);
  if (isValid(Now) && !m_Ready)
    callStore(Now);
  plan(Now, Effects);
  return true;
}

void PoolShard::demandReceived(const model::DemandSample &Sample,
                               model::TimePoint Now) {
  if (knows(Sample.m_Artifact.base()))
    m_State.m_Demand.add(Sample, Now);
}

bool PoolShard::knows(const model::ArtifactId &Base) const {
  return m_State.m_Groups.count(Base) != 0;
}

void PoolShard::listLedgers(model::TimePoint Now) {
  if (m_ListOut || Now < m_ListRetryAt)
    return;
  m_ListOut = true;
  const model::CallId Id = m_Gateway(
      {.m_Verb = ports::StoreVerb::List,
       .m_Key = {ports::ObjectKind::Ledger, m_State.m_Pool.str() + "."},
       .m_Priority = ports::StorePriority::Ledger,
       .m_Timeout = m_State.m_Settings.m_StoreTimeout});
  m_Calls[Id] = AllEngines;
}

void PoolShard::ledgersSeen(const ports::StoreAnswer &Answer,
                            model::TimePoint Now) {
  m_ListOut = false;
  if (Answer.m_Status != ports::StoreStatus::Ok) {
    m_ListRetryAt = Now + m_State.m_Settings.m_StoreRetry;
    return;
  }
  std::map<std::string, const ports::StoredObject *> ByName;
  for (const ports::StoredObject &Object : Answer.m_Objects)
    ByName[Object.m_Key.m_Name] = &Object;
  for (EngineSlot &Slot : m_State.m_Engines) {
    auto Found = ByName.find(Slot.m_Book.key().m_Name);
    std::optional<ports::StoredObject> Stored;
    if (Found != ByName.end())
      Stored = *Found->second;
    Slot.m_Book.claim(Stored, m_State.m_Numbers, Now);
  }
  m_Listed = true;
  m_ListedAt = Now;
}

void PoolShard::serve(EngineIndex Engine, bool Settle, model::TimePoint Now,
                      ports::EffectList &Effects) {
  LedgerBook &Book = m_State.m_Engines[Engine].m_Book;
  if (Settle)
    Book.settle(m_Fences, m_State.m_Numbers, Now);
  if (!isValid(Now) || !m_Listed) {
    m_State.reindex(Engine);
    return;
  }
  if (Book.phase() == LedgerBook::Phase::Held &&
      Book.role() != Book.engine().m_Role)
    Book.recordRole(Book.engine().m_Role, m_State.m_Numbers);
  const auto MayUnload = [&](const model::ArtifactId &Artifact) {
    return m_State.mayUnload(Engine, Artifact, Now);
  };
  if (std::optional<model::EngineOrder> Order =
          Book.nextOrder(MayUnload, m_State.m_Numbers, Now))
    Effects.push_back(
        ports::OrderSend{std::move(*Order), Book.engine().m_Address});
  if (m_Calls.size() < m_State.m_Settings.m_StoreCallsAtOnce)
    if (std::optional<ports::StoreCall> Call = Book.nextCall(Now))
      m_Calls[m_Gateway(std::move(*Call))] = Engine;
  m_State.reindex(Engine);
}

void PoolShard::callStore(model::TimePoint Now) {
  const EngineIndex Count = static_cast<EngineIndex>(m_State.m_Engines.size());
  for (EngineIndex I = 0;
       I < Count && m_Calls.size() < m_State.m_Settings.m_StoreCallsAtOnce;
       ++I) {
    m_NextCaller = (m_NextCaller + 1) % Count;
    LedgerBook &Book = m_State.m_Engines[m_NextCaller].m_Book;
    if (std::optional<ports::StoreCall> Call = Book.nextCall(Now))
      m_Calls[m_Gateway(std::move(*Call))] = m_NextCaller;
  }
}

bool PoolShard::isReady(model::TimePoint Now) {
  if (m_Ready)
    return true;
  const bool AllKnown = std::all_of(
      m_State.m_Engines.begin(), m_State.m_Engines.end(),
      [](const EngineSlot &Slot) {
        return !Slot.m_Declared ||
               (Slot.m_Book.phase() == LedgerBook::Phase::Held &&
                (Slot.m_Health.isUp() || Slot.m_Health.downSince()));
      });
  m_Ready = AllKnown || Now >= m_ListedAt + m_State.m_Settings.m_StartGrace;
  return m_Ready;
}

void PoolShard::plan(model::TimePoint Now, ports::EffectList &Effects) {
  if (!isValid(Now) || !m_Listed || !m_State.m_Catalog || !isReady(Now))
    return;
  if (Now >= m_ReviewAt) {
    m_Planner.reviewDemand(Now);
    m_ReviewAt = Now + m_State.m_Settings.m_PlanPeriod;
  }
  m_Planner.planDirty(Now);
  m_Loads.admit(Now);
  const std::set<EngineIndex> Touched = std::move(m_State.m_Touched);
  m_State.m_Touched.clear();
  for (EngineIndex Engine : Touched)
    serve(Engine, false, Now, Effects);
  flushDecisions(Effects);
}

void PoolShard::flushDecisions(ports::EffectList &Effects) {
  for (model::Decision &Line : m_State.m_Decisions)
    Effects.push_back(std::move(Line));
  m_State.m_Decisions.clear();
}

void PoolShard::tick(model::TimePoint Now, ports::EffectList &Effects) {
  if (!isValid(Now) || !m_State.m_Catalog)
    return;
  if (!m_Listed) {
    listLedgers(Now);
    return;
  }
  for (EngineIndex I = 0; I < m_State.m_Engines.size(); ++I)
    serve(I, m_State.m_Engines[I].m_Book.isOpen(), Now, Effects);
  plan(Now, Effects);
}

} // namespace bronzepass::core::placement
