#include "Core/Adapters/Gateway/StoreFeeds.h"

#include "Core/Gateway/WatchTimes.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// After a restore of the store each node waits a random part of this before it
/// reads and registers again, so that not all nodes call at once.
constexpr model::Duration RestoreSpread = std::chrono::milliseconds(300);
/// Nodes rarely join or leave, and they also notify each other directly.
constexpr model::Duration NodeListPeriod = std::chrono::seconds(5);
/// Nodes that start together have registered by then.
constexpr model::Duration SecondNodeListDelay = std::chrono::seconds(1);

int64_t toMillis(model::Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

gateway::WatchTimes endpointWatchTimes(const StoreFeedTimes &Times,
                                       bool Relays) {
  return gateway::endpointWatchTimes(Times.m_LeaveNotice, Times.m_ContactTime,
                                     Relays);
}

gateway::WatchTimes configWatchTimes(const StoreFeedTimes &Times, bool Relays) {
  return gateway::configWatchTimes(Times.m_ConfigNotice, Times.m_ContactTime,
                                   Times.m_KeyRevocationTime, Relays);
}

gateway::FeedSettings configFeedSettings(const StoreFeedTimes &Times) {
  const gateway::WatchTimes Watch = configWatchTimes(Times, false);
  gateway::FeedSettings Settings;
  Settings.m_WatchTimeout = Watch.m_WatchTimeout;
  Settings.m_AnswerTimeout = Watch.m_AnswerTimeout;
  Settings.m_BatchDelay = Watch.m_BatchDelay;
  return Settings;
}

gateway::FeedSettings endpointFeedSettings(const StoreFeedTimes &Times) {
  const gateway::WatchTimes Watch = endpointWatchTimes(Times, false);
  gateway::FeedSettings Settings;
  Settings.m_WatchTimeout = Watch.m_WatchTimeout;
  Settings.m_BatchDelay = Watch.m_BatchDelay;
  return Settings;
}

gateway::FeedSettings nodeFeedSettings() {
  gateway::FeedSettings Settings;
  Settings.m_ListPeriod = NodeListPeriod;
  Settings.m_SecondListDelay = SecondNodeListDelay;
  return Settings;
}

} // namespace

StoreFeeds::StoreFeeds(StoreClient &Store, FeedRelay &Relay,
                       const StoreFeedTimes &Times, gateway::NodeEntry Self,
                       const gateway::Dialect &Dialect,
                       const ports::Clock &Clock, ports::Random &Random,
                       GatewayLog &Log, StoreEvents &Events)
    : m_Store(Store), m_Relay(Relay), m_Times(Times),
      m_Sources(Self.m_Node, gateway::FeedSourceSettings()),
      m_Self(std::move(Self)), m_Dialect(Dialect), m_Clock(Clock),
      m_Random(Random), m_Log(Log), m_Events(Events),
      m_StaleNodes(gateway::StaleNodeSettings()),
      m_Registry(gateway::lapsedRetention(Times.m_ContactTime)),
      m_ConfigFeed(gateway::FeedKind::Config, "config",
                   configFeedSettings(Times), Random),
      m_EndpointFeed(gateway::FeedKind::Endpoints, "endpoints",
                     endpointFeedSettings(Times), Random),
      m_NodeFeed(gateway::FeedKind::Nodes, "nodes", nodeFeedSettings(),
                 Random) {}

void StoreFeeds::tick() {
  m_Relay.tick();
  startDueCall(m_ConfigFeed);
  startDueCall(m_EndpointFeed);
  startDueCall(m_NodeFeed);
  if (m_Registry.dropLapsed(m_Health, m_Clock.now()))
    publishEndpoints();
  if (m_ConfirmsAgain)
    confirmEndpoints();
  probeStore();
  updateReach();
  registerSelf();
  removeStaleNode();
}

bool StoreFeeds::isHeldBack(const Feed &Source) const {
  for (const Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
    if (Each->m_Feed.isFailing())
      return Source.m_Feed.isFailing() && Each != &Source;
  return false;
}

void StoreFeeds::startDueCall(Feed &Source) {
  // While the store does not answer, one feed finds out for all when it does.
  if (isHeldBack(Source))
    return;
  const model::TimePoint Now = m_Clock.now();
  std::optional<gateway::FeedCall> Due = Source.m_Feed.nextCall(Now);
  if (!Due)
    return;
  Source.m_AskedAt = Now;
  std::optional<gateway::NodeEntry> Watcher;
  if (!Source.m_AsksStoreNext)
    Watcher = nodeToAsk(*Due);
  if (Source.m_AsksStoreNext) {
    // The failed question has cost time, which the proof may not have; and
    // others may wait to hear who reads the store.
    Due->m_Timeout -= Due->m_Wait;
    Due->m_Wait = model::Duration::zero();
  }
  Source.m_AsksStoreNext = false;
  if (Watcher)
    askWatcher(Source, *Due, *Watcher);
  else
    askStore(Source, *Due);
}

void StoreFeeds::askStore(Feed &Source, const gateway::FeedCall &Call) {
  logSource(Source, model::NodeId(), "");
  m_Store.call(m_Dialect.feedCall(Source.m_Kind, Call), Call.m_Timeout,
               Call.m_MayBeStale,
               [this, &Source, Call](const gateway::HttpResult &Result) {
                 onStoreAnswer(Source, m_Dialect.readFeed(Call, Result));
               });
}

void StoreFeeds::logSource(Feed &Source, const model::NodeId &Node,
                           const std::string &Reason) {
  if (std::exchange(Source.m_AskedNode, Node) == Node)
    return;
  m_Log.write("dependency", "source",
              {{"dependency", std::string("store/") + Source.m_Name},
               {"source", Node.str().empty() ? "store" : Node.str()},
               {"reason", Reason}});
}

void StoreFeeds::onStoreRestored() {
  const model::TimePoint Now = m_Clock.now();
  m_Health.recordRestore(Now);
  m_StaleNodes.onStoreRestored(Now);
  for (const Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
    m_Relay.publisher(Each->m_Kind).clear();
  m_Registry.onStoreRestored(Now);
  for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
    Each->m_Feed.onStoreRestored(Now, RestoreSpread);
  m_Registered = false;
  m_RegisterAsNew = true;
  m_RegisterAgain = true;
  updateStandings();
  // The answer to a registration in flight is in doubt.
  ++m_Registration;
  m_Registering = false;
}

void StoreFeeds::onStoreAnswer(Feed &Source,
                               const gateway::FeedAnswer &Answer) {
  const bool IsAnswered = Answer.m_Status != gateway::FeedStatus::Failed;
  Source.m_ReadsStore = IsAnswered;
  onStoreCallEnded(IsAnswered);
  applyAnswer(Source, Answer, Source.m_AskedAt);
}

void StoreFeeds::logUnreadable(Feed &Source,
                               const gateway::FeedAnswer &Answer) {
  if (Answer.m_Unreadable == Source.m_Unreadable)
    return;
  Source.m_Unreadable = Answer.m_Unreadable;
  for (const std::string &Place : Answer.m_Unreadable)
    m_Log.write(
        "dependency", "unreadable",
        {{"dependency", std::string("store/") + Source.m_Name},
         {"reason", Place + " is no object with a name and a revision"}});
}

void StoreFeeds::applyAnswer(Feed &Source, const gateway::FeedAnswer &Answer,
                             std::optional<model::TimePoint> ProvenAt) {
  logUnreadable(Source, Answer);
  const bool WasComplete = Source.m_Feed.isComplete();
  const std::vector<gateway::FeedChange> Changes =
      Source.m_Feed.handleAnswer(Answer, m_Clock.now());
  // A list of several pages shows different moments, and one from before a
  // restore shows nothing.
  const bool ShowsAll = Answer.m_Status == gateway::FeedStatus::Ok &&
                        !Answer.m_HasMore && Source.m_Feed.isCurrent();
  if (!ShowsAll || !needsProof(Source))
    ProvenAt.reset();
  if (Source.m_Kind == gateway::FeedKind::Config &&
      !Answer.m_Unreadable.empty())
    m_IsConfigReadable = false;
  publishToNodes(Source, Answer, Changes, ProvenAt);
  if (Source.m_Feed.isFailing() != Source.m_FailureLogged) {
    Source.m_FailureLogged = Source.m_Feed.isFailing();
    m_Log.write("dependency", Source.m_FailureLogged ? "lost" : "regained",
                {{"dependency", std::string("store/") + Source.m_Name},
                 {"reason", Answer.m_Reason}});
  }
  passOn(Source, Changes, WasComplete);
  if (ProvenAt && m_IsConfigReadable)
    m_Events.onConfigProven(*ProvenAt);
  startDueCall(Source);
}

void StoreFeeds::passOn(Feed &Source,
                        const std::vector<gateway::FeedChange> &Changes,
                        bool WasComplete) {
  for (const gateway::FeedChange &Change : Changes)
    handleChange(Source, Change);
  const bool HasUpdates =
      !Changes.empty() || (Source.m_Feed.isComplete() && !WasComplete);
  if (HasUpdates && Source.m_Kind == gateway::FeedKind::Endpoints &&
      Source.m_Feed.isComplete())
    publishEndpoints();
  if (HasUpdates && Source.m_Kind == gateway::FeedKind::Nodes)
    publishNodes();
}

void StoreFeeds::handleChange(const Feed &Source,
                              const gateway::FeedChange &Change) {
  switch (Source.m_Kind) {
  case gateway::FeedKind::Config:
    if (Change.m_Content && Change.m_Name == m_Dialect.configName())
      handleConfig(*Change.m_Content);
    return;
  case gateway::FeedKind::Endpoints:
    handleEndpoint(Change);
    return;
  case gateway::FeedKind::Nodes:
    handleNode(Change);
    return;
  }
}

void StoreFeeds::handleConfig(const std::string &Content) {
  const model::TimePoint ReceivedAt = m_Clock.now();
  gateway::Decoded<gateway::GatewayConfig> Parsed =
      m_Dialect.readConfig(Content);
  m_Log.writeFindings("config", "config", Parsed.m_Findings);
  m_IsConfigReadable = Parsed.m_Value.has_value();
  if (!Parsed.m_Value || Parsed.m_Value->m_Version <= m_ConfigVersion)
    return;
  m_ConfigVersion = Parsed.m_Value->m_Version;
  const std::shared_ptr<const gateway::RouteTable> Table =
      std::make_shared<gateway::RouteTable>(std::move(*Parsed.m_Value),
                                            ReceivedAt);
  const std::string Source = m_ConfigFeed.m_AskedNode.str();
  m_Log.write("config", "received",
              {{"config", static_cast<int64_t>(m_ConfigVersion)},
               {"bytes", static_cast<int64_t>(Content.size())},
               {"source", Source.empty() ? "store" : Source},
               {"asked_ms", toMillis(ReceivedAt - m_ConfigFeed.m_AskedAt)},
               {"read_ms", toMillis(m_Clock.now() - ReceivedAt)}});
  m_Events.onRouteTableChanged(Table);
}

void StoreFeeds::handleEndpoint(const gateway::FeedChange &Change) {
  const model::EndpointId Id(Change.m_Name);
  if (!Change.m_Content) {
    m_Registry.remove(Id, m_Health, m_Clock.now());
    m_Log.write("endpoint", m_Registry.find(Id) ? "lapsed" : "gone",
                {{"endpoint", Change.m_Name}});
    return;
  }
  gateway::Decoded<gateway::EndpointEntry> Parsed =
      m_Dialect.readEndpoint(Change.m_Name, *Change.m_Content);
  m_Log.writeFindings("endpoint", Change.m_Name, Parsed.m_Findings);
  if (!Parsed.m_Value) {
    // An unreadable entry no longer describes an endpoint, so it is removed
    // whatever the health of the store.
    m_Registry.remove(Id, gateway::StoreHealth(), m_Clock.now());
    return;
  }
  const gateway::EndpointEntry Entry = std::move(*Parsed.m_Value);
  const gateway::EndpointEntry *const Old = m_Registry.find(Id);
  const bool IsNews = !Old || Old->m_Draining != Entry.m_Draining ||
                      Old->m_StartedAtMs != Entry.m_StartedAtMs;
  if (!m_Registry.set(Entry, m_Clock.now()))
    m_Log.write("endpoint", "stale", {{"endpoint", Change.m_Name}});
  else if (IsNews)
    m_Log.write("endpoint", Entry.m_Draining ? "draining" : "ready",
                {{"endpoint", Change.m_Name},
                 {"service", Entry.m_Service},
                 {"born_ms", Entry.m_StartedAtMs}});
}

void StoreFeeds::publishEndpoints() {
  m_Events.onEndpointsChanged(m_Registry.entries());
}

void StoreFeeds::updateSources(const std::vector<gateway::NodeEntry> &Nodes) {
  m_Sources.setNodes(Nodes);
  const bool Relays = m_Sources.hasFollowers();
  const gateway::WatchTimes Config = configWatchTimes(m_Times, Relays);
  m_ConfigFeed.m_Feed.setWatchTimes(
      Config.m_WatchTimeout, Config.m_AnswerTimeout, Config.m_BatchDelay);
  const gateway::WatchTimes Endpoints = endpointWatchTimes(m_Times, Relays);
  m_EndpointFeed.m_Feed.setWatchTimes(Endpoints.m_WatchTimeout,
                                      Endpoints.m_AnswerTimeout,
                                      Endpoints.m_BatchDelay);
  const model::Duration MaxBackoff =
      m_Sources.isWatcher()
          ? gateway::FeedSettings().m_MaxBackoff
          : gateway::followerMaxBackoff(m_Times.m_ContactTime);
  for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
    Each->m_Feed.setMaxBackoff(MaxBackoff);
  updateStandings();
}

} // namespace bronzepass::core::adapters::gateway
