#include "Core/Residency/ResidencyCore.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::residency {

using gateway::CopyChange;
using gateway::EngineSpec;
using gateway::ModelRef;
using gateway::OrderReply;
using gateway::OrderVerb;

namespace {

/// Between two announcements of the same change.
constexpr model::Duration RepeatPeriod = std::chrono::milliseconds(200);

} // namespace

ResidencyCore::ResidencyCore(const ResidencySettings &Settings,
                             model::NodeId Self)
    : m_Settings(Settings), m_Self(std::move(Self)),
      m_Adapters(Settings.m_AdapterMinIdle) {}

void ResidencyCore::setTable(std::shared_ptr<const gateway::RouteTable> Table) {
  m_Table = std::move(Table);
  for (const gateway::ServiceSpec &Each : m_Table->config().m_Services)
    if (Each.m_Engine)
      m_LoadLimiters[Each.m_Name].setRate(m_Settings.m_LoadRateShare *
                                          Each.m_Engine->m_LoadsPerSecond);
}

void ResidencyCore::setEndpoints(
    const std::vector<gateway::EndpointEntry> &Entries, model::TimePoint Now,
    ResidencyEffectList &Out) {
  size_t Added = 0;
  for (auto &Known : m_Engines)
    Known.second.m_Listed = false;
  for (const gateway::EndpointEntry &Entry : Entries) {
    const auto Found = m_Engines.find(Entry.m_Id);
    if (Found == m_Engines.end()) {
      m_Engines.emplace(Entry.m_Id, Engine(Entry));
      ++Added;
      continue;
    }
    Engine &Known = Found->second;
    Known.m_Listed = true;
    if (Known.m_Record.entry() == Entry)
      continue;
    if (Known.m_Record.entry().m_StartedAtMs != Entry.m_StartedAtMs)
      Known.m_HasSaidLeaving = false;
    const std::optional<OpenOrder> Before = Known.m_Record.openOrder();
    if (Known.m_Record.setEntry(Entry) && Before && !Known.m_Record.openOrder())
      onOrderDone(Known, Before->m_Order, Now, Out);
  }
  std::erase_if(m_Engines, [&](const auto &Known) {
    if (Known.second.m_Listed)
      return false;
    m_ReservedFor.erase(Known.first);
    return true;
  });
  onEnginesAdded(Added, Now);
}

void ResidencyCore::setLease(const std::optional<model::HeldLease> &Lease,
                             model::TimePoint Now, ResidencyEffectList &Out) {
  const bool IsNew = Lease && (!m_Lease || m_Lease->m_Token != Lease->m_Token);
  const bool IsLost = !Lease && m_Lease;
  m_Lease = Lease;
  if (IsNew) {
    m_TermStart = Now;
    m_IsSettled = false;
    m_ReservedFor.clear();
    for (auto &Each : m_Engines) {
      Each.second.m_Record.startTerm();
      Each.second.m_NextReportAt = Now;
      Each.second.m_ReportOpen = false;
      Each.second.m_RoomFor.clear();
    }
    m_OrderEndpoints.clear();
    for (auto &Each : m_LoadLimiters)
      Each.second.startEmpty(Now);
    Out.push_back(ResidencyLogEntry{"lease", "", "", Lease->m_Token.m_Value, 0,
                                    "this node places models from now on"});
  }
  if (IsLost)
    Out.push_back(ResidencyLogEntry{"lease", "", "", 0, 0,
                                    "this node places models no longer"});
}

void ResidencyCore::onDemandReport(
    const model::NodeId &Node, uint64_t NodeStart,
    const std::vector<gateway::UsageCounter> &Uses, model::TimePoint Now) {
  m_Demand.markNodeSeen(Node, NodeStart, Now);
  for (const gateway::UsageCounter &Each : Uses) {
    m_Demand.addCount(Node, NodeStart, Each, Now);
    if (!Each.m_ModelRef.m_Adapter.empty())
      m_Adapters.recordUse(Each.m_ModelRef, Now);
  }
}

void ResidencyCore::onCopyRequest(const gateway::CopyRequest &Wanted,
                                  model::TimePoint Now,
                                  ResidencyEffectList &Out) {
  if (!m_Lease || Wanted.m_ModelRef.m_Adapter.empty())
    return;
  m_AdapterServices[Wanted.m_ModelRef] = Wanted.m_Service;
  m_Adapters.request(Wanted.m_ModelRef,
                     Now + m_Settings.m_AdapterRequestLifetime);
  serveAdapterRequests(Now, Out);
  sendAnnouncements(Now, Out);
}

const EngineSpec *ResidencyCore::specOf(const std::string &Service) const {
  const gateway::ServiceSpec *const Found =
      m_Table ? m_Table->service(Service) : nullptr;
  return Found && Found->m_Engine ? &*Found->m_Engine : nullptr;
}

std::vector<const EngineRecord *>
ResidencyCore::enginesOf(const std::string &Service,
                         model::TimePoint Now) const {
  std::vector<const EngineRecord *> Engines;
  for (const auto &Each : m_Engines)
    if (Each.second.m_Record.entry().m_Service == Service &&
        !Each.second.m_Record.entry().m_Draining &&
        !Each.second.m_HasSaidLeaving && Now >= Each.second.m_UnreachableUntil)
      Engines.push_back(&Each.second.m_Record);
  return Engines;
}

void ResidencyCore::onStatementChange(const gateway::StatementChange &Change) {
  const auto Found = m_Engines.find(Change.m_Endpoint);
  if (Found == m_Engines.end())
    return;
  // An engine that leaves does not come back under this start.
  Found->second.m_HasSaidLeaving |= Change.m_Statement.m_IsLeaving;
}

void ResidencyCore::onPauseBegun(const gateway::PauseBegun &Pause,
                                 model::TimePoint Now) {
  const auto Found = m_Engines.find(Pause.m_Endpoint);
  if (Found != m_Engines.end())
    Found->second.m_PausedUntil =
        std::max(Found->second.m_PausedUntil, Now + Pause.m_Length);
}

void ResidencyCore::onEnginesAdded(size_t Added, model::TimePoint Now) {
  const double Share =
      static_cast<double>(Added) / static_cast<double>(m_Engines.size());
  if (Added > 0 && (!m_IsSettled || Share > m_Settings.m_MassJoinShare))
    m_EngineAddedAt = Now;
}

bool ResidencyCore::isSettled(model::TimePoint Now) {
  // Engines register one after the other: a model that no known engine holds
  // may be on the next one.
  if (Now < m_EngineAddedAt + m_Settings.m_SettleTime)
    return false;
  // Engines that don't report are not waited for without end.
  if (!m_IsSettled)
    m_IsSettled =
        Now >= std::max(m_TermStart, m_EngineAddedAt) +
                   2 * m_Settings.m_SettleTime ||
        std::all_of(m_Engines.begin(), m_Engines.end(), [&](const auto &Each) {
          return Each.second.m_Record.isStateKnown() ||
                 !specOf(Each.second.m_Record.entry().m_Service);
        });
  return m_IsSettled;
}

void ResidencyCore::tick(model::TimePoint Now, ResidencyEffectList &Out) {
  if (!m_Lease || !m_Table)
    return;
  if (Now >= m_Lease->m_ValidUntil)
    return;
  requestDueReports(Now, Out);
  m_Adapters.expire(Now);
  std::erase_if(m_AdapterServices, [&](const auto &Each) {
    return !m_Adapters.isRequested(Each.first);
  });
  serveAdapterRequests(Now, Out);
  if (Now >= m_NextPlanAt && isSettled(Now)) {
    m_NextPlanAt = Now + m_Settings.m_PlanPeriod;
    for (const gateway::ServiceSpec &Each : m_Table->config().m_Services)
      if (Each.m_Engine)
        planService(Each, Now, Out);
  }
  sendAnnouncements(Now, Out);
}

/// Engines with open orders come first, since their memory stays promised; then
/// engines that can load a requested adapter, which can only be ordered once
/// their state is known.
uint32_t ResidencyCore::reportRank(const EngineRecord &Record) const {
  if (Record.openOrder())
    return 0;
  const bool IsWanted =
      std::any_of(m_AdapterServices.begin(), m_AdapterServices.end(),
                  [&](const auto &Each) {
                    return Record.holds({Each.first.m_Model, ""});
                  });
  return IsWanted ? 1 : 2;
}

void ResidencyCore::requestDueReports(model::TimePoint Now,
                                      ResidencyEffectList &Out) {
  std::vector<DueReport> Due;
  size_t UnderWay = 0;
  for (auto &Each : m_Engines) {
    Engine &Target = Each.second;
    Target.m_Record.expireUnanswered(Now);
    if (!specOf(Target.m_Record.entry().m_Service) ||
        Target.m_Record.entry().m_Draining || Now < Target.m_PausedUntil)
      continue;
    if (!Target.m_NextReportAt) {
      const std::optional<OpenOrder> &Open = Target.m_Record.openOrder();
      const bool AwaitsReport = Open && Open->m_Phase != OrderPhase::Sent;
      const bool IsDropping =
          !Open && !Target.m_Record.leavingAdapters().empty();
      if (!AwaitsReport && !IsDropping &&
          (Target.m_Record.isStateKnown() || Open))
        continue;
      // The engine's entry shows the end of a running order, too.
      const bool IsRunning = Open && Open->m_Phase == OrderPhase::Running;
      model::Duration Delay = m_Settings.m_ReportDelay;
      if (IsRunning)
        Delay = m_Settings.m_RunningReportPeriod;
      else if (IsDropping && Target.m_Record.isStateKnown())
        Delay = m_Settings.m_DroppingReportPeriod;
      Target.m_NextReportAt = Now + Delay;
    }
    if (Target.m_ReportOpen)
      ++UnderWay;
    else if (Now >= *Target.m_NextReportAt)
      Due.push_back({reportRank(Target.m_Record), &Target});
  }
  std::stable_sort(Due.begin(), Due.end(),
                   [](const DueReport &Left, const DueReport &Right) {
                     return Left.m_Rank < Right.m_Rank;
                   });
  for (const DueReport &Each : Due) {
    if (UnderWay++ >= m_Settings.m_MaxOpenReports)
      return;
    const gateway::EndpointEntry &Entry = Each.m_Engine->m_Record.entry();
    Each.m_Engine->m_ReportOpen = true;
    Out.push_back(RequestReport{Entry.m_Id, Entry.m_Address});
  }
}

void ResidencyCore::planService(const gateway::ServiceSpec &Service,
                                model::TimePoint Now,
                                ResidencyEffectList &Out) {
  LoadRateLimiter &Limiter = m_LoadLimiters[Service.m_Name];
  // Each step changes the inputs of the next one.
  for (;;) {
    PlanInputs Inputs;
    Inputs.m_Spec = &*Service.m_Engine;
    Inputs.m_Engines = enginesOf(Service.m_Name, Now);
    for (const gateway::ServedModel &Each : Service.m_Engine->m_Models) {
      Inputs.m_Demand[Each.m_Name] = m_Demand.perSecond({Each.m_Name, ""}, Now);
      Inputs.m_DemandSamples += m_Demand.samples({Each.m_Name, ""}, Now);
    }
    Inputs.m_ReservedFor = m_ReservedFor;
    for (const auto &Each : m_Engines)
      for (const auto &Loaded : Each.second.m_LoadedAt)
        if (Now - Loaded.second < m_Settings.m_MinResidentTime)
          Inputs.m_RecentLoads[Each.first].push_back(Loaded.first);
    Inputs.m_StoreLoadAllowed = Limiter.hasToken(Now);
    const std::optional<PlanStep> Step = planStep(Inputs);
    if (!Step)
      return;
    Engine &Target = m_Engines.at(Step->m_Endpoint);
    if (Now < Target.m_PausedUntil)
      return;
    if (Step->m_Verb == OrderVerb::Load) {
      m_ReservedFor.erase(Step->m_Endpoint);
      if (!Target.m_Record.hasLocalWeights(Step->m_Model))
        Limiter.takeToken();
    } else {
      m_ReservedFor[Step->m_Endpoint] = Step->m_ForModel;
      announce({Step->m_Endpoint, {Step->m_Model, ""}, true}, Now);
    }
    sendOrder(Target, Step->m_Verb, {Step->m_Model, ""}, Step->m_Reason, Now,
              Out);
  }
}

void ResidencyCore::sendOrder(Engine &Target, OrderVerb Verb,
                              const ModelRef &Use, const std::string &Reason,
                              model::TimePoint Now, ResidencyEffectList &Out) {
  gateway::PlacementOrder Order;
  Order.m_Verb = Verb;
  Order.m_Endpoint = Target.m_Record.entry().m_Id;
  Order.m_Address = Target.m_Record.entry().m_Address;
  Order.m_ModelRef = Use;
  Order.m_ExpectedOrderCount = Target.m_Record.orderCount();
  Order.m_Holder = m_Self;
  Order.m_Token = m_Lease->m_Token;
  if (Verb == OrderVerb::Unload && !Use.m_Adapter.empty())
    announce({Order.m_Endpoint, Use, true}, Now);
  const uint64_t Number = ++m_LastOrderNumber;
  m_OrderEndpoints[Number] = Order.m_Endpoint;
  Target.m_Record.onOrderSent(Number, Order, Now);
  Target.m_NextReportAt.reset();
  logOrder(Verb == OrderVerb::Load ? "load" : "unload", Order, Reason, Out);
  Out.push_back(SendOrder{Number, std::move(Order)});
}

/// Sends an unanswered order again that the engine has not counted. Both name
/// the same expected count, so that the engine carries out only one of them.
void ResidencyCore::resendOrder(Engine &Target, model::TimePoint Now,
                                ResidencyEffectList &Out) {
  gateway::PlacementOrder Order = Target.m_Record.openOrder()->m_Order;
  Order.m_Token = m_Lease->m_Token;
  const uint64_t Number = ++m_LastOrderNumber;
  m_OrderEndpoints[Number] = Order.m_Endpoint;
  Target.m_Record.onOrderSent(Number, Order, Now);
  logOrder("again", Order, "no answer, and the engine's count has not risen",
           Out);
  Out.push_back(SendOrder{Number, std::move(Order)});
}

void ResidencyCore::onOrderReply(uint64_t Number, OrderReply Reply,
                                 model::TimePoint Now,
                                 ResidencyEffectList &Out) {
  const auto SentTo = m_OrderEndpoints.find(Number);
  if (SentTo == m_OrderEndpoints.end())
    return;
  const auto Found = m_Engines.find(SentTo->second);
  m_OrderEndpoints.erase(SentTo);
  if (Found == m_Engines.end())
    return;
  Engine &Target = Found->second;
  const std::optional<OpenOrder> Open = Target.m_Record.openOrder();
  if (!Open || Open->m_Number != Number)
    return;
  logOrder("answered", Open->m_Order, gateway::toString(Reply), Out);
  if (Reply == OrderReply::NotSent)
    Target.m_UnreachableUntil = Now + m_Settings.m_UnreachableTime;
  if (Reply == OrderReply::StaleToken)
    Out.push_back(TokenRefused{Open->m_Order.m_Token});
  if (!Target.m_Record.onOrderReply(Reply))
    return;
  if (Reply == OrderReply::Accepted || Reply == OrderReply::AlreadySatisfied)
    onOrderDone(Target, Open->m_Order, Now, Out);
  else if (Open->m_Order.m_Verb == OrderVerb::Unload)
    m_ReservedFor.erase(Found->first);
  serveAdapterRequests(Now, Out);
  sendAnnouncements(Now, Out);
}

void ResidencyCore::onOrderDone(Engine &Target,
                                const gateway::PlacementOrder &Order,
                                model::TimePoint Now,
                                ResidencyEffectList &Out) {
  const bool Holds = Target.m_Record.holds(Order.m_ModelRef);
  const bool IsDropping = Target.m_Record.isDropping(Order.m_ModelRef);
  logOrder(IsDropping ? "dropping" : "done", Order, Holds ? "held" : "not held",
           Out);
  const bool IsAdapter = !Order.m_ModelRef.m_Adapter.empty();
  if (Order.m_Verb == OrderVerb::Load && Holds) {
    announce({Order.m_Endpoint, Order.m_ModelRef, false},
             IsAdapter ? Now + m_Settings.m_AdapterLoadTime : Now);
    if (IsAdapter)
      m_Adapters.removeRequest(Order.m_ModelRef);
    else
      Target.m_LoadedAt[Order.m_ModelRef.m_Model] = Now;
  }
  Target.m_NextReportAt.reset();
}

void ResidencyCore::onReport(const model::EndpointId &Endpoint,
                             const std::optional<gateway::EngineState> &State,
                             model::TimePoint Now, ResidencyEffectList &Out) {
  const auto Found = m_Engines.find(Endpoint);
  if (Found == m_Engines.end())
    return;
  Engine &Target = Found->second;
  Target.m_ReportOpen = false;
  Target.m_NextReportAt = Now + m_Settings.m_ReportRetryDelay;
  if (!State || !m_Lease)
    return;
  Out.push_back(ResidencyLogEntry{"report", Endpoint.str(), "",
                                  m_Lease->m_Token.m_Value, State->m_OrderCount,
                                  State->m_Busy ? "busy" : "not busy"});
  const std::optional<OpenOrder> Before = Target.m_Record.openOrder();
  const bool Ended = Target.m_Record.onReport(*State);
  if (!Target.m_Record.openOrder())
    std::erase_if(Target.m_RoomFor, [&](const auto &Room) {
      return !Target.m_Record.isDropping(Room.first);
    });
  // The engine's entry lists them until they are dropped.
  for (const ModelRef &Each : Target.m_Record.leavingAdapters())
    announce({Endpoint, Each, true}, Now);
  if (Ended && Before)
    onOrderDone(Target, Before->m_Order, Now, Out);
  const std::optional<OpenOrder> &Open = Target.m_Record.openOrder();
  if (Open && Open->m_Phase == OrderPhase::Unanswered &&
      Now < m_Lease->m_ValidUntil && Now >= Target.m_PausedUntil)
    resendOrder(Target, Now, Out);
  const bool IsRunning = Open && Open->m_Phase == OrderPhase::Running;
  const bool Settled = Target.m_Record.isStateKnown() && !Open &&
                       !Target.m_Record.runsUnknownOrder();
  if (IsRunning || Settled)
    Target.m_NextReportAt.reset();
}

void ResidencyCore::announce(const CopyChange &Change, model::TimePoint From) {
  std::erase_if(m_Announcements, [&](const Announcement &Each) {
    return Each.m_Change.m_Endpoint == Change.m_Endpoint &&
           Each.m_Change.m_ModelRef == Change.m_ModelRef;
  });
  m_Announcements.push_back(
      {Change, From, From + m_Settings.m_AnnounceTime, false});
}

void ResidencyCore::sendAnnouncements(model::TimePoint Now,
                                      ResidencyEffectList &Out) {
  std::erase_if(m_Announcements,
                [&](const Announcement &Each) { return Now >= Each.m_EndsAt; });
  const bool RepeatDue = Now >= m_LastRepeatAt + RepeatPeriod;
  AnnounceCopies Announced;
  for (Announcement &Each : m_Announcements) {
    if (Now < Each.m_StartsAt || (Each.m_Sent && !RepeatDue))
      continue;
    Each.m_Sent = true;
    Announced.m_Changes.push_back(Each.m_Change);
  }
  if (RepeatDue)
    m_LastRepeatAt = Now;
  if (!Announced.m_Changes.empty())
    Out.push_back(std::move(Announced));
}

void ResidencyCore::logOrder(const char *Action,
                             const gateway::PlacementOrder &Order,
                             const std::string &Reason,
                             ResidencyEffectList &Out) const {
  Out.push_back(ResidencyLogEntry{
      Action, Order.m_Endpoint.str(),
      Order.m_ModelRef.m_Adapter.empty()
          ? Order.m_ModelRef.m_Model
          : Order.m_ModelRef.m_Model + "/" + Order.m_ModelRef.m_Adapter,
      Order.m_Token.m_Value, Order.m_ExpectedOrderCount, Reason});
}

} // namespace bronzepass::core::residency
