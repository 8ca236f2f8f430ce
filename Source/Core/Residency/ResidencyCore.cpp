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

/// Between two tellings of the same news.
constexpr model::Duration TellPeriod = std::chrono::milliseconds(200);

} // namespace

ResidencyCore::ResidencyCore(const ResidencySettings &Settings,
                             model::NodeId Self)
    : m_Settings(Settings), m_Self(std::move(Self)),
      m_Adapters(Settings.m_AdapterInUse) {}

void ResidencyCore::setTable(std::shared_ptr<const gateway::RouteTable> Table) {
  m_Table = std::move(Table);
  for (const gateway::ServiceSpec &Each : m_Table->config().m_Services)
    if (Each.m_Engine)
      m_LoadRates[Each.m_Name].setRate(m_Settings.m_LoadRateShare *
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
    if (Known.m_Book.entry() == Entry)
      continue;
    const std::optional<OpenOrder> Before = Known.m_Book.open();
    if (Known.m_Book.setEntry(Entry) && Before && !Known.m_Book.open())
      orderEnded(Known, Before->m_Order, Now, Out);
  }
  std::erase_if(m_Engines, [&](const auto &Known) {
    if (Known.second.m_Listed)
      return false;
    m_Reserved.erase(Known.first);
    return true;
  });
  enginesAdded(Added, Now);
}

void ResidencyCore::setLease(const std::optional<model::HeldLease> &Lease,
                             model::TimePoint Now, ResidencyEffectList &Out) {
  const bool IsNew = Lease && (!m_Lease || m_Lease->m_Token != Lease->m_Token);
  const bool IsLost = !Lease && m_Lease;
  m_Lease = Lease;
  if (IsNew) {
    m_LeaseSince = Now;
    m_HasSettled = false;
    m_Reserved.clear();
    for (auto &Each : m_Engines) {
      Each.second.m_Book.restart();
      Each.second.m_ReportAt = Now;
      Each.second.m_ReportAsked = false;
    }
    m_Orders.clear();
    for (auto &Each : m_LoadRates)
      Each.second.restart(Now);
    Out.push_back(ResidencyNote{"lease", "", "", Lease->m_Token.m_Value, 0,
                                "this node places models from now on"});
  }
  if (IsLost)
    Out.push_back(ResidencyNote{"lease", "", "", 0, 0,
                                "this node places models no longer"});
}

void ResidencyCore::demandSeen(const model::NodeId &Node, uint64_t Start,
                               const std::vector<gateway::UsageCounter> &Uses,
                               model::TimePoint Now) {
  m_Demand.heard(Node, Start, Now);
  for (const gateway::UsageCounter &Each : Uses) {
    m_Demand.add(Node, Start, Each, Now);
    if (!Each.m_ModelRef.m_Adapter.empty())
      m_Adapters.used(Each.m_ModelRef, Now);
  }
}

void ResidencyCore::copyWanted(const gateway::CopyRequest &Wanted,
                               model::TimePoint Now, ResidencyEffectList &Out) {
  if (!m_Lease || Wanted.m_ModelRef.m_Adapter.empty())
    return;
  m_WantedService[Wanted.m_ModelRef] = Wanted.m_Service;
  m_Adapters.want(Wanted.m_ModelRef, Now + m_Settings.m_WantLifetime);
  serveWants(Now, Out);
  tellAnnouncements(Now, Out);
}

const EngineSpec *ResidencyCore::specOf(const std::string &Service) const {
  const gateway::ServiceSpec *const Found =
      m_Table ? m_Table->service(Service) : nullptr;
  return Found && Found->m_Engine ? &*Found->m_Engine : nullptr;
}

std::vector<const EngineBook *>
ResidencyCore::enginesOf(const std::string &Service) const {
  std::vector<const EngineBook *> Engines;
  for (const auto &Each : m_Engines)
    if (Each.second.m_Book.entry().m_Service == Service &&
        !Each.second.m_Book.entry().m_Draining)
      Engines.push_back(&Each.second.m_Book);
  return Engines;
}

void ResidencyCore::enginesAdded(size_t Added, model::TimePoint Now) {
  const double Share =
      static_cast<double>(Added) / static_cast<double>(m_Engines.size());
  if (Added > 0 && (!m_HasSettled || Share > m_Settings.m_PauseShare))
    m_EngineAddedAt = Now;
}

bool ResidencyCore::isSettled(model::TimePoint Now) {
  // Engines register one after the other: a model that none of them is known to
  // hold may lie on the next one.
  if (Now < m_EngineAddedAt + m_Settings.m_SettleTime)
    return false;
  // One that does not report is not waited for.
  if (!m_HasSettled)
    m_HasSettled =
        Now >= std::max(m_LeaseSince, m_EngineAddedAt) +
                   2 * m_Settings.m_SettleTime ||
        std::all_of(m_Engines.begin(), m_Engines.end(), [&](const auto &Each) {
          return Each.second.m_Book.isKnown() ||
                 !specOf(Each.second.m_Book.entry().m_Service);
        });
  return m_HasSettled;
}

void ResidencyCore::tick(model::TimePoint Now, ResidencyEffectList &Out) {
  if (!m_Lease || !m_Table)
    return;
  if (Now >= m_Lease->m_ValidUntil)
    return;
  askDueReports(Now, Out);
  m_Adapters.expire(Now);
  std::erase_if(m_WantedService, [&](const auto &Each) {
    return !m_Adapters.isWanted(Each.first);
  });
  serveWants(Now, Out);
  if (Now >= m_PlanAt && isSettled(Now)) {
    m_PlanAt = Now + m_Settings.m_PlanPeriod;
    for (const gateway::ServiceSpec &Each : m_Table->config().m_Services)
      if (Each.m_Engine)
        planService(Each, Now, Out);
  }
  tellAnnouncements(Now, Out);
}

/// Orders in doubt hold memory back; adapters that callers wait for can only be
/// ordered from engines that are known.
uint32_t ResidencyCore::reportRank(const EngineBook &Book) const {
  if (Book.open())
    return 0;
  const bool IsWanted = std::any_of(
      m_WantedService.begin(), m_WantedService.end(), [&](const auto &Each) {
        return Book.holds({Each.first.m_Model, ""});
      });
  return IsWanted ? 1 : 2;
}

void ResidencyCore::askDueReports(model::TimePoint Now,
                                  ResidencyEffectList &Out) {
  std::vector<DueReport> Due;
  size_t UnderWay = 0;
  for (auto &Each : m_Engines) {
    Engine &Target = Each.second;
    Target.m_Book.expireLate(Now);
    if (!specOf(Target.m_Book.entry().m_Service) ||
        Target.m_Book.entry().m_Draining)
      continue;
    if (!Target.m_ReportAt) {
      const std::optional<OpenOrder> &Open = Target.m_Book.open();
      const bool Doubtful = Open && Open->m_Phase != OrderPhase::Asked;
      if (!Doubtful && (Target.m_Book.isKnown() || Open))
        continue;
      // The end of a running order shows in the engine's entry.
      const bool Runs = Open && Open->m_Phase == OrderPhase::Running;
      Target.m_ReportAt = Now + (Runs ? m_Settings.m_RunningReportPeriod
                                      : m_Settings.m_ReportDelay);
    }
    if (Target.m_ReportAsked)
      ++UnderWay;
    else if (Now >= *Target.m_ReportAt)
      Due.push_back({reportRank(Target.m_Book), &Target});
  }
  std::stable_sort(Due.begin(), Due.end(),
                   [](const DueReport &Left, const DueReport &Right) {
                     return Left.m_Rank < Right.m_Rank;
                   });
  for (const DueReport &Each : Due) {
    if (UnderWay++ >= m_Settings.m_MostReports)
      return;
    const gateway::EndpointEntry &Entry = Each.m_Engine->m_Book.entry();
    Each.m_Engine->m_ReportAsked = true;
    Out.push_back(ReportAsk{Entry.m_Id, Entry.m_Address});
  }
}

void ResidencyCore::serveWants(model::TimePoint Now, ResidencyEffectList &Out) {
  if (!m_Lease || Now >= m_Lease->m_ValidUntil)
    return;
  for (const ModelRef &Use : m_Adapters.wanted()) {
    const std::string &Service = m_WantedService[Use];
    const EngineSpec *const Spec = specOf(Service);
    if (!Spec)
      continue;
    const std::vector<const EngineBook *> Engines = enginesOf(Service);
    bool Found = false;
    for (const EngineBook *const Each : Engines) {
      if (!Each->holds(Use))
        continue;
      announce({Each->entry().m_Id, Use, false}, Now);
      Found = true;
    }
    const bool OnItsWay =
        std::any_of(Engines.begin(), Engines.end(), [&](const EngineBook *E) {
          // One that was not answered may come much later: ask elsewhere too.
          return E->open() && E->open()->m_Order.m_ModelRef == Use &&
                 E->open()->m_Order.m_Verb == OrderVerb::Load &&
                 E->open()->m_Phase != OrderPhase::Doubtful;
        });
    if (Found) {
      m_Adapters.granted(Use);
      continue;
    }
    if (OnItsWay)
      continue;
    const std::optional<AdapterStep> Step =
        m_Adapters.stepFor(Use, *Spec, Engines, Now);
    if (Step)
      order(m_Engines.at(Step->m_Endpoint), Step->m_Verb, Step->m_ModelRef,
            "adapter " + Use.m_Model + "/" + Use.m_Adapter + " is wanted", Now,
            Out);
  }
}

void ResidencyCore::planService(const gateway::ServiceSpec &Service,
                                model::TimePoint Now,
                                ResidencyEffectList &Out) {
  LoadRate &Rate = m_LoadRates[Service.m_Name];
  // Each step changes what the next one is planned from.
  for (;;) {
    PlanInputs Inputs;
    Inputs.m_Spec = &*Service.m_Engine;
    Inputs.m_Engines = enginesOf(Service.m_Name);
    for (const gateway::ServedModel &Each : Service.m_Engine->m_Models)
      Inputs.m_Demand[Each.m_Name] = m_Demand.perSecond({Each.m_Name, ""}, Now);
    Inputs.m_Reserved = m_Reserved;
    for (const auto &Each : m_Engines)
      for (const auto &Loaded : Each.second.m_LoadedAt)
        if (Now - Loaded.second < m_Settings.m_YoungFor)
          Inputs.m_Young[Each.first].push_back(Loaded.first);
    Inputs.m_StoreLoadAllowed = Rate.canTake(Now);
    const std::optional<PlanStep> Step = planStep(Inputs);
    if (!Step)
      return;
    Engine &Target = m_Engines.at(Step->m_Endpoint);
    if (Step->m_Verb == OrderVerb::Load) {
      m_Reserved.erase(Step->m_Endpoint);
      if (!Target.m_Book.hasLocalWeights(Step->m_Model))
        Rate.take();
    } else {
      m_Reserved[Step->m_Endpoint] = Step->m_For;
      announce({Step->m_Endpoint, {Step->m_Model, ""}, true}, Now);
    }
    order(Target, Step->m_Verb, {Step->m_Model, ""}, Step->m_Reason, Now, Out);
  }
}

void ResidencyCore::order(Engine &Target, OrderVerb Verb, const ModelRef &Use,
                          const std::string &Reason, model::TimePoint Now,
                          ResidencyEffectList &Out) {
  gateway::PlacementOrder Order;
  Order.m_Verb = Verb;
  Order.m_Endpoint = Target.m_Book.entry().m_Id;
  Order.m_Address = Target.m_Book.entry().m_Address;
  Order.m_ModelRef = Use;
  Order.m_ExpectedOrderCount = Target.m_Book.orderCount();
  Order.m_Holder = m_Self;
  Order.m_Token = m_Lease->m_Token;
  if (Verb == OrderVerb::Unload && !Use.m_Adapter.empty())
    announce({Order.m_Endpoint, Use, true}, Now);
  const uint64_t Number = ++m_LastOrder;
  m_Orders[Number] = Order.m_Endpoint;
  Target.m_Book.orderSent(Number, Order, Now);
  Target.m_ReportAt.reset();
  note(Verb == OrderVerb::Load ? "load" : "unload", Order, Reason, Out);
  Out.push_back(OrderSend{Number, std::move(Order)});
}

/// An order that nobody answered and no count shows is sent once more with the
/// same expected count: of the two, the engine carries out one.
void ResidencyCore::sendAgain(Engine &Target, model::TimePoint Now,
                              ResidencyEffectList &Out) {
  gateway::PlacementOrder Order = Target.m_Book.open()->m_Order;
  Order.m_Token = m_Lease->m_Token;
  const uint64_t Number = ++m_LastOrder;
  m_Orders[Number] = Order.m_Endpoint;
  Target.m_Book.orderSent(Number, Order, Now);
  note("again", Order, "no answer, and the engine's count has not risen", Out);
  Out.push_back(OrderSend{Number, std::move(Order)});
}

void ResidencyCore::orderAnswered(uint64_t Number, OrderReply Reply,
                                  model::TimePoint Now,
                                  ResidencyEffectList &Out) {
  const auto Asked = m_Orders.find(Number);
  if (Asked == m_Orders.end())
    return;
  const auto Found = m_Engines.find(Asked->second);
  m_Orders.erase(Asked);
  if (Found == m_Engines.end())
    return;
  Engine &Target = Found->second;
  const std::optional<OpenOrder> Open = Target.m_Book.open();
  if (!Open || Open->m_Number != Number)
    return;
  note("answered", Open->m_Order, gateway::toString(Reply), Out);
  if (Reply == OrderReply::StaleToken)
    Out.push_back(TokenRefused{Open->m_Order.m_Token});
  if (!Target.m_Book.orderAnswered(Reply))
    return;
  if (Reply == OrderReply::Accepted || Reply == OrderReply::AlreadySatisfied)
    orderEnded(Target, Open->m_Order, Now, Out);
  else if (Open->m_Order.m_Verb == OrderVerb::Unload)
    m_Reserved.erase(Found->first);
  serveWants(Now, Out);
  tellAnnouncements(Now, Out);
}

void ResidencyCore::orderEnded(Engine &Target,
                               const gateway::PlacementOrder &Order,
                               model::TimePoint Now, ResidencyEffectList &Out) {
  const bool Holds = Target.m_Book.holds(Order.m_ModelRef);
  note("done", Order, Holds ? "held" : "not held", Out);
  const bool IsAdapter = !Order.m_ModelRef.m_Adapter.empty();
  if (Order.m_Verb == OrderVerb::Load && Holds) {
    announce({Order.m_Endpoint, Order.m_ModelRef, false},
             IsAdapter ? Now + m_Settings.m_AdapterLoadTime : Now);
    if (IsAdapter)
      m_Adapters.granted(Order.m_ModelRef);
    else
      Target.m_LoadedAt[Order.m_ModelRef.m_Model] = Now;
  }
  Target.m_ReportAt.reset();
}

void ResidencyCore::reported(const model::EndpointId &Endpoint,
                             const std::optional<gateway::EngineState> &State,
                             model::TimePoint Now, ResidencyEffectList &Out) {
  const auto Found = m_Engines.find(Endpoint);
  if (Found == m_Engines.end())
    return;
  Engine &Target = Found->second;
  Target.m_ReportAsked = false;
  Target.m_ReportAt = Now + m_Settings.m_ReportRepeat;
  if (!State || !m_Lease)
    return;
  Out.push_back(ResidencyNote{"report", Endpoint.str(), "",
                              m_Lease->m_Token.m_Value, State->m_OrderCount,
                              State->m_Busy ? "busy" : "not busy"});
  const std::optional<OpenOrder> Before = Target.m_Book.open();
  const bool Ended = Target.m_Book.reported(*State);
  if (Ended && Before)
    orderEnded(Target, Before->m_Order, Now, Out);
  const std::optional<OpenOrder> &Open = Target.m_Book.open();
  if (Open && Open->m_Phase == OrderPhase::Doubtful &&
      Now < m_Lease->m_ValidUntil)
    sendAgain(Target, Now, Out);
  const bool Runs = Open && Open->m_Phase == OrderPhase::Running;
  const bool Settled =
      Target.m_Book.isKnown() && !Open && !Target.m_Book.isBusyElsewhere();
  if (Runs || Settled)
    Target.m_ReportAt.reset();
}

void ResidencyCore::announce(const CopyChange &News, model::TimePoint From) {
  std::erase_if(m_Announcements, [&](const Announcement &Each) {
    return Each.m_News.m_Endpoint == News.m_Endpoint &&
           Each.m_News.m_ModelRef == News.m_ModelRef;
  });
  m_Announcements.push_back(
      {News, From, From + m_Settings.m_TellCopiesFor, false});
}

void ResidencyCore::tellAnnouncements(model::TimePoint Now,
                                      ResidencyEffectList &Out) {
  std::erase_if(m_Announcements,
                [&](const Announcement &Each) { return Now >= Each.m_Until; });
  const bool RepeatDue = Now >= m_ToldAt + TellPeriod;
  CopiesTold Told;
  for (Announcement &Each : m_Announcements) {
    if (Now < Each.m_From || (Each.m_Told && !RepeatDue))
      continue;
    Each.m_Told = true;
    Told.m_News.push_back(Each.m_News);
  }
  if (RepeatDue)
    m_ToldAt = Now;
  if (!Told.m_News.empty())
    Out.push_back(std::move(Told));
}

void ResidencyCore::note(const char *Action,
                         const gateway::PlacementOrder &Order,
                         const std::string &Reason,
                         ResidencyEffectList &Out) const {
  Out.push_back(ResidencyNote{
      Action, Order.m_Endpoint.str(),
      Order.m_ModelRef.m_Adapter.empty()
          ? Order.m_ModelRef.m_Model
          : Order.m_ModelRef.m_Model + "/" + Order.m_ModelRef.m_Adapter,
      Order.m_Token.m_Value, Order.m_ExpectedOrderCount, Reason});
}

} // namespace bronzepass::core::residency
