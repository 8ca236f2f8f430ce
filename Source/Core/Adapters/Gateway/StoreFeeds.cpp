#include "Core/Adapters/Gateway/StoreFeeds.h"

#include <optional>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr model::Duration RegisterTimeout = std::chrono::milliseconds(1500);
constexpr model::Duration RegisterRetry = std::chrono::milliseconds(1500);
/// Endpoints that could not renew their entries have them back by then.
constexpr model::Duration LapsedKept = std::chrono::milliseconds(2150);
/// A fifth of the time in which an endpoint's leaving is to be known.
constexpr model::Duration EndpointGather = std::chrono::milliseconds(400);
/// Nodes come and go rarely and tell each other themselves.
constexpr model::Duration NodeListPeriod = std::chrono::seconds(5);

gateway::FeedSettings nodeFeedSettings() {
  gateway::FeedSettings Settings;
  Settings.m_ListPeriod = NodeListPeriod;
  return Settings;
}

gateway::FeedSettings endpointFeedSettings() {
  gateway::FeedSettings Settings;
  // Adapters that come and go change entries often; what has to be known at
  // once is told between nodes.
  Settings.m_BatchDelay = EndpointGather;
  return Settings;
}

} // namespace

StoreFeeds::StoreFeeds(const model::Address &Store, gateway::NodeEntry Self,
                       const gateway::Dialect &Dialect, ControlCalls &Calls,
                       const ports::Clock &Clock, ports::Random &Dice,
                       GatewayLog &Log, StoreEvents &Events)
    : m_Store(Store), m_Self(std::move(Self)), m_Dialect(Dialect),
      m_Calls(Calls), m_Clock(Clock), m_Log(Log), m_Events(Events),
      m_Registry(LapsedKept),
      m_ConfigFeed(gateway::FeedKind::Config, "config", {}, Dice),
      m_EndpointFeed(gateway::FeedKind::Endpoints, "endpoints",
                     endpointFeedSettings(), Dice),
      m_NodeFeed(gateway::FeedKind::Nodes, "nodes", nodeFeedSettings(), Dice) {}

void StoreFeeds::tick() {
  run(m_ConfigFeed);
  run(m_EndpointFeed);
  run(m_NodeFeed);
  if (m_Registry.dropLapsed(m_Health, m_Clock.now()))
    publishEndpoints();
  registerSelf();
}

void StoreFeeds::run(Feed &Each) {
  const std::optional<gateway::FeedCall> Due =
      Each.m_Feed.nextCall(m_Clock.now());
  if (!Due)
    return;
  m_Calls.call(m_Store, m_Dialect.feedCall(Each.m_Kind, *Due), Due->m_Timeout,
               [this, &Each, Due](const gateway::HttpResult &Result) {
                 answered(Each, *Due, Result);
               });
}

void StoreFeeds::answered(Feed &Each, const gateway::FeedCall &Call,
                          const gateway::HttpResult &Result) {
  const model::TimePoint Now = m_Clock.now();
  const gateway::FeedAnswer Answer = m_Dialect.readFeed(Call, Result);
  const bool WasComplete = Each.m_Feed.isComplete();
  const std::vector<gateway::FeedChange> Changes =
      Each.m_Feed.handleAnswer(Answer, Now);
  if (Answer.m_Status == gateway::FeedStatus::Failed)
    m_Health.recordFailure();
  else if (m_Health.recordAnswer(Now))
    for (Feed *const Other : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
      Other->m_Feed.onStoreRecovered(Now);
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
  run(Each);
}

void StoreFeeds::takeChange(const Feed &From,
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
    takeNode(Change);
    return;
  }
}

void StoreFeeds::takeConfig(const std::string &Content) {
  gateway::Decoded<gateway::GatewayConfig> Reading =
      m_Dialect.readConfig(Content);
  m_Log.writeFindings("config", "config", Reading.m_Findings);
  if (!Reading.m_Value || Reading.m_Value->m_Version <= m_ConfigVersion)
    return;
  m_ConfigVersion = Reading.m_Value->m_Version;
  m_Events.tableCame(
      std::make_shared<gateway::RouteTable>(std::move(*Reading.m_Value)));
}

void StoreFeeds::takeEndpoint(const gateway::FeedChange &Change) {
  const model::EndpointId Id(Change.m_Name);
  if (!Change.m_Content) {
    m_Registry.remove(Id, m_Health, m_Clock.now());
    m_Log.write("endpoint", m_Registry.find(Id) ? "lapsed" : "gone",
                {{"endpoint", Change.m_Name}});
    return;
  }
  gateway::Decoded<gateway::EndpointEntry> Reading =
      m_Dialect.readEndpoint(Change.m_Name, *Change.m_Content);
  m_Log.writeFindings("endpoint", Change.m_Name, Reading.m_Findings);
  if (!Reading.m_Value) {
    // Whoever wrote it, no endpoint is named there any more.
    m_Registry.remove(Id, gateway::StoreHealth(), m_Clock.now());
    return;
  }
  const gateway::EndpointEntry *const Old = m_Registry.find(Id);
  if (!Old || Old->m_Draining != Reading.m_Value->m_Draining ||
      Old->m_StartedAtMs != Reading.m_Value->m_StartedAtMs)
    m_Log.write("endpoint", Reading.m_Value->m_Draining ? "draining" : "ready",
                {{"endpoint", Change.m_Name},
                 {"service", Reading.m_Value->m_Service},
                 {"born_ms", Reading.m_Value->m_StartedAtMs}});
  if (!m_Registry.set(std::move(*Reading.m_Value)))
    m_Log.write("endpoint", "stale", {{"endpoint", Change.m_Name}});
}

void StoreFeeds::takeNode(const gateway::FeedChange &Change) {
  m_Nodes.erase(model::NodeId(Change.m_Name));
  if (!Change.m_Content)
    return;
  const gateway::Decoded<gateway::NodeEntry> Reading =
      m_Dialect.readNode(Change.m_Name, *Change.m_Content);
  m_Log.writeFindings("node", Change.m_Name, Reading.m_Findings);
  if (Reading.m_Value)
    m_Nodes[Reading.m_Value->m_Node] = *Reading.m_Value;
}

void StoreFeeds::publishEndpoints() {
  m_Events.endpointsCame(m_Registry.entries());
}

void StoreFeeds::publishNodes() {
  std::vector<gateway::NodeEntry> Nodes;
  for (const auto &Each : m_Nodes)
    Nodes.push_back(Each.second);
  m_Events.nodesCame(Nodes);
}

void StoreFeeds::registerSelf() {
  const model::TimePoint Now = m_Clock.now();
  if (m_Registered || m_Registering || m_Leaving || Now < m_RegisterAt ||
      !m_NodeFeed.m_Feed.isComplete())
    return;
  const auto Known = m_Nodes.find(m_Self.m_Node);
  if (Known != m_Nodes.end() && Known->second == m_Self) {
    m_Registered = true;
    return;
  }
  m_Registering = true;
  const bool Create = m_RegisterAsNew && Known == m_Nodes.end();
  m_Calls.call(m_Store, m_Dialect.writeNode(m_Self, Create), RegisterTimeout,
               [this, Create](const gateway::HttpResult &Result) {
                 constexpr int FirstFailure = 300;
                 constexpr int Conflict = 409;
                 m_Registering = false;
                 m_Registered =
                     Result.m_Status > 0 && Result.m_Status < FirstFailure;
                 // There already, or gone meanwhile: the other way round next
                 // time.
                 m_RegisterAsNew = Create ? Result.m_Status != Conflict : true;
                 m_RegisterAt = m_Clock.now() + RegisterRetry;
               });
}

void StoreFeeds::leave() {
  m_Leaving = true;
  if (!m_Registered)
    return;
  // The others are not to send notices to it for ever.
  m_Calls.call(
      m_Store, m_Dialect.removeNode(m_Self.m_Node), RegisterTimeout,
      [this](const gateway::HttpResult &Result) {
        if (Result.m_Status == 0)
          m_Log.write("dependency", "entry_left", {{"reason", "no answer"}});
      });
}

} // namespace bronzepass::core::adapters::gateway
