#include "Core/Adapters/Gateway/GatewayControl.h"

#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr std::chrono::milliseconds TickPeriod(20);
constexpr long MaxIdleConnections = 64;
constexpr std::chrono::milliseconds StoreConnectTimeout(700);
/// Orders and reports are answered within some milliseconds. An order that is
/// not is settled by the engine's count: the sooner, the better.
constexpr model::Duration OrderTimeout = std::chrono::milliseconds(300);
constexpr model::Duration ReportTimeout = std::chrono::milliseconds(800);
constexpr model::Duration RegisterTimeout = std::chrono::milliseconds(1500);
constexpr model::Duration RegisterRetry = std::chrono::milliseconds(1500);
/// Endpoints that could not renew their entries have them back by then.
constexpr model::Duration LapsedKept = std::chrono::milliseconds(2150);
/// A fifth of the time in which an endpoint's leaving is to be known.
constexpr model::Duration EndpointGather = std::chrono::milliseconds(400);
const std::string NoAnswer = "no answer";
/// Nodes come and go rarely and tell each other themselves.
constexpr model::Duration NodeListPeriod = std::chrono::seconds(5);
/// A connection that may have been closed for idling is not used again.
constexpr std::chrono::seconds IdleAge(8);
/// A holder whose token was refused leaves the matter alone for this many
/// terms of its lease.
constexpr int RefusedTerms = 2;
const model::LeaseName PlacementLease{"placement"};

gateway::FeedSettings nodeFeedSettings() {
  gateway::FeedSettings Settings;
  Settings.m_ListPeriod = NodeListPeriod;
  return Settings;
}

gateway::FeedSettings endpointFeedSettings() {
  gateway::FeedSettings Settings;
  // Adapters that come and go change entries often; what has to be known at
  // once is told between nodes.
  Settings.m_Gather = EndpointGather;
  return Settings;
}

leases::GovernorSettings governorSettings() {
  leases::GovernorSettings Settings;
  // A write that is refused is looked at anew, not repeated blindly.
  Settings.m_MaxTries = 2;
  return Settings;
}

/// Collects one call's answer.
class CallListener : public curl::TransferListener {
public:
  explicit CallListener(std::function<void(const gateway::HttpResult &)> OnDone)
      : m_OnDone(std::move(OnDone)) {}

  void onHead(const curl::TransferHead &Head) override {
    m_Result.m_Status = Head.m_Status;
  }
  void onPiece(std::string_view Piece) override {
    m_Result.m_Body.append(Piece);
  }
  void onDone(const curl::TransferResult &Result) override {
    if (!Result.m_Whole)
      m_Result.m_Status = 0;
    m_Result.m_NotSent = Result.m_BytesSent == 0 && !Result.m_Whole;
    m_OnDone(m_Result);
  }

private:
  std::function<void(const gateway::HttpResult &)> m_OnDone;
  gateway::HttpResult m_Result;
};

} // namespace

GatewayControl::GatewayControl(ControlOptions Options,
                               const gateway::Dialect &Dialect,
                               const ports::Clock &Clock, GatewayLog &Log)
    : m_Options(std::move(Options)), m_Dialect(Dialect), m_Clock(Clock),
      m_Log(Log), m_Dice(std::make_unique<daemon::SystemRandom>()),
      m_Governor(governorSettings(), *m_Dice),
      m_Keeper(m_Options.m_Lease, m_Options.m_Self.m_Node, m_Governor, *m_Dice),
      m_Residency(m_Options.m_Residency, m_Options.m_Self.m_Node),
      m_Registry(LapsedKept),
      m_ConfigFeed(gateway::FeedKind::Config, "config", {}, *m_Dice),
      m_EndpointFeed(gateway::FeedKind::Endpoints, "endpoints",
                     endpointFeedSettings(), *m_Dice),
      m_NodeFeed(gateway::FeedKind::Nodes, "nodes", nodeFeedSettings(),
                 *m_Dice),
      m_Curl(m_Thread.loop(), MaxIdleConnections) {}

GatewayControl::~GatewayControl() { join(); }

void GatewayControl::start(GatewayTraffic &Traffic) {
  m_Traffic = &Traffic;
  m_Thread.loop().post([this] { tick(); });
  m_Thread.start();
}

void GatewayControl::tick() {
  m_Thread.loop().runAfter(TickPeriod, [this] { tick(); });
  runFeed(m_ConfigFeed);
  runFeed(m_EndpointFeed);
  runFeed(m_NodeFeed);
  if (m_Registry.dropLapsed(m_Store, m_Clock.now()))
    publishEndpoints();
  registerSelf();
  tickLease();
  decide([](residency::ResidencyCore &Core, model::TimePoint Now,
            residency::ResidencyEffectList &Out) { Core.tick(Now, Out); });
}

void GatewayControl::call(const model::Address &To,
                          const gateway::HttpCall &Call,
                          model::Duration Timeout, CallDone OnDone) {
  curl::TransferRequest Request;
  Request.m_Method = Call.m_Method;
  Request.m_Address = To;
  Request.m_Path = Call.m_Target;
  Request.m_Body = Call.m_Body;
  for (const gateway::HeaderLine &Each : Call.m_Headers)
    Request.m_Headers.push_back(Each.first + ": " + Each.second);
  Request.m_ConnectTimeout = StoreConnectTimeout;
  Request.m_Timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout);
  Request.m_MaxIdleAge = IdleAge;
  m_Curl.start(std::move(Request),
               std::make_shared<CallListener>(std::move(OnDone)));
}

// Configuration, endpoints and nodes.

void GatewayControl::runFeed(Feed &Each) {
  const std::optional<gateway::FeedCall> Due =
      Each.m_Feed.nextCall(m_Clock.now());
  if (!Due)
    return;
  call(m_Options.m_Store, m_Dialect.feedCall(Each.m_Kind, *Due), Due->m_Timeout,
       [this, &Each, Due](const gateway::HttpResult &Result) {
         feedAnswered(Each, *Due, Result);
       });
}

void GatewayControl::feedAnswered(Feed &Each, const gateway::FeedCall &Call,
                                  const gateway::HttpResult &Result) {
  const model::TimePoint Now = m_Clock.now();
  const gateway::FeedAnswer Answer = m_Dialect.readFeed(Call, Result);
  const bool WasComplete = Each.m_Feed.isComplete();
  const std::vector<gateway::FeedChange> Changes =
      Each.m_Feed.answered(Answer, Now);
  if (Answer.m_Status == gateway::FeedStatus::Failed)
    m_Store.failed();
  else if (m_Store.answered(Now))
    for (Feed *const Other : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
      Other->m_Feed.storeAnswers(Now);
  if (Each.m_Feed.isFailing() != Each.m_ToldFailing) {
    Each.m_ToldFailing = Each.m_Feed.isFailing();
    m_Log.write("dependency", Each.m_ToldFailing ? "lost" : "regained",
                {{"dependency", std::string("store/") + Each.m_Name},
                 {"reason", Answer.m_Reason}});
  }
  for (const gateway::FeedChange &Change : Changes)
    takeChange(Each, Change);
  const bool IsNews =
      !Changes.empty() || (Each.m_Feed.isComplete() && !WasComplete);
  if (IsNews && Each.m_Kind == gateway::FeedKind::Endpoints &&
      Each.m_Feed.isComplete())
    publishEndpoints();
  if (IsNews && Each.m_Kind == gateway::FeedKind::Nodes)
    publishNodes();
  runFeed(Each);
}

void GatewayControl::takeChange(const Feed &From,
                                const gateway::FeedChange &Change) {
  switch (From.m_Kind) {
  case gateway::FeedKind::Config:
    if (Change.m_Content)
      takeConfig(*Change.m_Content);
    return;
  case gateway::FeedKind::Endpoints:
    takeEndpoint(Change);
    return;
  case gateway::FeedKind::Nodes:
    m_Nodes.erase(model::NodeId(Change.m_Name));
    if (!Change.m_Content)
      return;
    const gateway::Decoded<gateway::NodeEntry> Reading =
        m_Dialect.readNode(Change.m_Name, *Change.m_Content);
    logFindings("node", Change.m_Name, Reading.m_Findings);
    if (Reading.m_Value)
      m_Nodes[Reading.m_Value->m_Node] = *Reading.m_Value;
    return;
  }
}

void GatewayControl::takeConfig(const std::string &Content) {
  gateway::Decoded<gateway::GatewayConfig> Reading =
      m_Dialect.readConfig(Content);
  logFindings("config", "config", Reading.m_Findings);
  if (!Reading.m_Value || Reading.m_Value->m_Version <= m_ConfigVersion)
    return;
  m_ConfigVersion = Reading.m_Value->m_Version;
  const std::shared_ptr<const gateway::RouteTable> Table =
      std::make_shared<gateway::RouteTable>(std::move(*Reading.m_Value));
  m_Residency.setTable(Table);
  m_Traffic->setTable(Table);
}

void GatewayControl::takeEndpoint(const gateway::FeedChange &Change) {
  const model::EndpointId Id(Change.m_Name);
  if (!Change.m_Content) {
    m_Registry.remove(Id, m_Store, m_Clock.now());
    m_Log.write("endpoint", m_Registry.find(Id) ? "lapsed" : "gone",
                {{"endpoint", Change.m_Name}});
    return;
  }
  gateway::Decoded<gateway::EndpointEntry> Reading =
      m_Dialect.readEndpoint(Change.m_Name, *Change.m_Content);
  logFindings("endpoint", Change.m_Name, Reading.m_Findings);
  if (!Reading.m_Value) {
    // Whoever wrote it, no endpoint is named there any more.
    m_Registry.remove(Id, gateway::StoreHealth(), m_Clock.now());
    return;
  }
  const gateway::EndpointEntry *const Old = m_Registry.find(Id);
  if (!Old || Old->m_Draining != Reading.m_Value->m_Draining ||
      Old->m_BornMs != Reading.m_Value->m_BornMs)
    m_Log.write("endpoint", Reading.m_Value->m_Draining ? "draining" : "ready",
                {{"endpoint", Change.m_Name},
                 {"service", Reading.m_Value->m_Service},
                 {"born_ms", Reading.m_Value->m_BornMs}});
  if (!m_Registry.set(std::move(*Reading.m_Value)))
    m_Log.write("endpoint", "stale", {{"endpoint", Change.m_Name}});
}

void GatewayControl::publishEndpoints() {
  const std::vector<gateway::EndpointEntry> Entries = m_Registry.entries();
  decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
             residency::ResidencyEffectList &Out) {
    Core.setEndpoints(Entries, Now, Out);
  });
  m_Traffic->setEndpoints(Entries);
}

void GatewayControl::publishNodes() {
  std::vector<gateway::NodeEntry> Nodes;
  for (const auto &Each : m_Nodes)
    Nodes.push_back(Each.second);
  m_Traffic->setPeers(std::move(Nodes));
}

void GatewayControl::registerSelf() {
  const model::TimePoint Now = m_Clock.now();
  if (m_Registered || m_Registering || m_OnStopped || Now < m_RegisterAt ||
      !m_NodeFeed.m_Feed.isComplete())
    return;
  const model::NodeId &Self = m_Options.m_Self.m_Node;
  const auto Known = m_Nodes.find(Self);
  if (Known != m_Nodes.end() && Known->second == m_Options.m_Self) {
    m_Registered = true;
    return;
  }
  m_Registering = true;
  const bool Create = m_RegisterAsNew && Known == m_Nodes.end();
  call(m_Options.m_Store, m_Dialect.writeNode(m_Options.m_Self, Create),
       RegisterTimeout, [this, Create](const gateway::HttpResult &Result) {
         constexpr int FirstFailure = 300;
         constexpr int Conflict = 409;
         m_Registering = false;
         m_Registered = Result.m_Status > 0 && Result.m_Status < FirstFailure;
         // There already, or gone meanwhile: the other way round next time.
         m_RegisterAsNew = Create ? Result.m_Status != Conflict : true;
         m_RegisterAt = m_Clock.now() + RegisterRetry;
       });
}

void GatewayControl::logFindings(const char *Category, const std::string &Name,
                                 const model::FindingList &Findings) {
  for (const model::Finding &Each : Findings)
    m_Log.write(Category, "unreadable",
                {{"name", Name},
                 {"reason", Each.m_Place.m_File + " " + Each.m_Message}});
}

// The placement lease.

void GatewayControl::tickLease() {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  for (const leases::RoutedAnswer &Each : m_Governor.tick(Now, Effects))
    noteLease(m_Keeper.onStoreAnswer(Each.m_Answer, Now, Effects));
  noteLease(m_Keeper.tick(Now, Effects));
  submit(Effects);
  syncLease();
  if (m_OnStopped && m_Keeper.isStopped())
    finishStop();
}

void GatewayControl::submit(const ports::EffectList &Effects) {
  for (const ports::Effect &Each : Effects) {
    const ports::StoreCall *const Call = std::get_if<ports::StoreCall>(&Each);
    if (!Call)
      continue;
    const std::optional<gateway::HttpCall> Made = m_Dialect.storeCall(*Call);
    if (!Made) {
      m_Thread.loop().post([this, Id = Call->m_Id] {
        takeStoreAnswer({.m_Id = Id, .m_Status = ports::StoreStatus::Rejected});
      });
      continue;
    }
    call(m_Options.m_Store, *Made, Call->m_Timeout,
         [this, Call = *Call](const gateway::HttpResult &Result) {
           takeStoreAnswer(m_Dialect.readStore(Call, Result));
         });
  }
}

void GatewayControl::takeStoreAnswer(const ports::StoreAnswer &Answer) {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  const std::optional<leases::RoutedAnswer> Final =
      m_Governor.onAnswer(Answer, Now, Effects);
  if (Final)
    noteLease(m_Keeper.onStoreAnswer(Final->m_Answer, Now, Effects));
  submit(Effects);
  syncLease();
}

void GatewayControl::noteLease(
    const std::vector<leases::LeaseNotice> &Notices) {
  for (const leases::LeaseNotice &Each : Notices)
    m_Log.write("placement",
                Each.m_Change == leases::LeaseChange::Gained ? "lease_gained"
                                                             : "lease_lost",
                {{"token", static_cast<int64_t>(Each.m_Lease.m_Token.m_Value)},
                 {"reason", Each.m_Reason}});
}

void GatewayControl::syncLease() {
  const model::TimePoint Now = m_Clock.now();
  std::optional<model::HeldLease> Held = m_Keeper.find(PlacementLease, Now);
  if (m_SuspendedUntil && Now < *m_SuspendedUntil)
    Held.reset();
  decide([&](residency::ResidencyCore &Core, model::TimePoint At,
             residency::ResidencyEffectList &Out) {
    Core.setLease(Held, At, Out);
  });
  if (Held.has_value() != m_HoldsLease) {
    m_HoldsLease = Held.has_value();
    m_Traffic->setHoldsLease(m_HoldsLease);
  }
}

void GatewayControl::peersHeard(std::vector<model::NodeId> Nodes) {
  m_Thread.loop().post([this, Nodes = std::move(Nodes)] {
    if (m_OnStopped)
      return;
    const std::string &Self = m_Options.m_Self.m_Node.str();
    const uint64_t Own = model::rendezvousWeight(PlacementLease.m_Duty, Self);
    uint32_t Rank = 0;
    for (const model::NodeId &Each : Nodes)
      if (model::rendezvousWeight(PlacementLease.m_Duty, Each.str()) > Own)
        ++Rank;
    ports::EffectList Effects;
    m_Keeper.setDuties({{PlacementLease, Rank}}, m_Clock.now(), Effects);
    submit(Effects);
  });
}

// Placement.

void GatewayControl::decide(
    const std::function<void(residency::ResidencyCore &, model::TimePoint,
                             residency::ResidencyEffectList &)> &Decide) {
  residency::ResidencyEffectList Effects;
  Decide(m_Residency, m_Clock.now(), Effects);
  for (const residency::ResidencyEffect &Each : Effects)
    std::visit([this](const auto &Effect) { on(Effect); }, Each);
}

void GatewayControl::on(const residency::OrderSend &Effect) {
  call(Effect.m_Order.m_Address, m_Dialect.orderCall(Effect.m_Order),
       OrderTimeout,
       [this, Number = Effect.m_Number](const gateway::HttpResult &Result) {
         decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
                    residency::ResidencyEffectList &Out) {
           Core.orderAnswered(Number, m_Dialect.readOrder(Result), Now, Out);
         });
       });
}

void GatewayControl::on(const residency::ReportAsk &Effect) {
  call(Effect.m_Address, m_Dialect.reportCall(Effect.m_Endpoint), ReportTimeout,
       [this, Endpoint = Effect.m_Endpoint](const gateway::HttpResult &Result) {
         const gateway::Decoded<gateway::EngineState> Reading =
             m_Dialect.readReport(Result);
         logFindings("endpoint", Endpoint.str(), Reading.m_Findings);
         decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
                    residency::ResidencyEffectList &Out) {
           Core.reported(Endpoint, Reading.m_Value, Now, Out);
         });
       });
}

void GatewayControl::on(const residency::CopiesTold &Effect) {
  m_Traffic->tellCopies(Effect.m_News);
}

void GatewayControl::on(const residency::TokenRefused &Effect) {
  m_Log.write("placement", "token_refused",
              {{"token", static_cast<int64_t>(Effect.m_Token.m_Value)}});
  // The engine has seen a newer holder: this one has lost the lease, whatever
  // it believes.
  m_SuspendedUntil = m_Clock.now() + RefusedTerms * m_Options.m_Lease.m_Term;
}

void GatewayControl::on(const residency::ResidencyNote &Effect) {
  m_Log.write(Effect);
}

void GatewayControl::demandSeen(const model::NodeId &Node, uint64_t Start,
                                std::vector<gateway::UseCount> Uses) {
  m_Thread.loop().post([this, Node, Start, Uses = std::move(Uses)] {
    m_Residency.demandSeen(Node, Start, Uses, m_Clock.now());
  });
}

void GatewayControl::copyWanted(const gateway::CopyWanted &Wanted) {
  m_Thread.loop().post([this, Wanted] {
    decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
               residency::ResidencyEffectList &Out) {
      Core.copyWanted(Wanted, Now, Out);
    });
  });
}

// Stopping.

void GatewayControl::stop(std::function<void()> OnStopped) {
  m_Thread.loop().post([this, OnStopped = std::move(OnStopped)] {
    m_OnStopped = OnStopped;
    ports::EffectList Effects;
    m_Keeper.stop(m_Clock.now(), Effects);
    submit(Effects);
    syncLease();
  });
}

void GatewayControl::finishStop() {
  if (std::exchange(m_StopFinished, true))
    return;
  // The others are not to send notices to it for ever.
  if (m_Registered)
    call(m_Options.m_Store, m_Dialect.removeNode(m_Options.m_Self.m_Node),
         RegisterTimeout, [this](const gateway::HttpResult &Result) {
           if (Result.m_Status == 0)
             m_Log.write("dependency", "entry_left", {{"reason", NoAnswer}});
         });
  m_OnStopped();
}

} // namespace bronzepass::core::adapters::gateway
