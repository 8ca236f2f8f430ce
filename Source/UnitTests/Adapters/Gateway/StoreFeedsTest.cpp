#include "Core/Adapters/Gateway/StoreFeeds.h"

#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Model/Hash.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "platform/PlatformDialect.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

namespace relay = core::gateway;
using nlohmann::json;
using namespace std::chrono_literals;

/// The platform's store over HTTP: lists, watches that end after a moment, and
/// writes; can be restored from a backup.
class RestorableStore {
public:
  RestorableStore()
      : m_Endpoint([this](ScriptConnection &Connection,
                          const std::string &Request,
                          int /*Number*/) { answer(Connection, Request); }) {}

  uint16_t port() const { return m_Endpoint.port(); }

  void write(const std::string &Kind, const std::string &Name, json Spec) {
    const std::scoped_lock Lock(m_Mutex);
    m_State.m_Objects[Kind][Name] = {++m_State.m_Revision, std::move(Spec)};
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const std::scoped_lock Lock(m_Mutex);
    m_State.m_Objects[Kind].erase(Name);
    m_Removals.push_back({Kind, Name, ++m_State.m_Revision});
  }
  bool holds(const std::string &Kind, const std::string &Name) const {
    const std::scoped_lock Lock(m_Mutex);
    const auto Found = m_State.m_Objects.find(Kind);
    return Found != m_State.m_Objects.end() && Found->second.contains(Name);
  }
  void backUp() {
    const std::scoped_lock Lock(m_Mutex);
    m_Backup = m_State;
  }
  void restore() {
    const std::scoped_lock Lock(m_Mutex);
    m_State = m_Backup;
    m_Removals.clear();
    ++m_Era;
  }
  uint64_t revision() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_State.m_Revision;
  }
  /// How long answers are on their way from now on.
  void setDelay(std::chrono::milliseconds Delay) { m_Delay = Delay; }
  /// Connections on which something was watched since the last call.
  size_t takeWatchingConnections() {
    const std::scoped_lock Lock(m_Mutex);
    return std::exchange(m_WatchingConnections, {}).size();
  }

private:
  struct Object {
    uint64_t m_Revision = 0;
    json m_Spec;
  };
  struct State {
    std::map<std::string, std::map<std::string, Object>> m_Objects;
    uint64_t m_Revision = 0;
  };
  struct Removal {
    std::string m_Kind;
    std::string m_Name;
    uint64_t m_Revision = 0;
  };

  static json toJson(const std::string &Name, const Object &Each) {
    return {{"Metadata", {{"Name", Name}, {"Revision", Each.m_Revision}}},
            {"Spec", Each.m_Spec}};
  }

  json list(const std::string &Kind) {
    json Items = json::array();
    for (const auto &Each : m_State.m_Objects[Kind])
      Items.push_back(toJson(Each.first, Each.second));
    return {{"items", Items}, {"At", m_State.m_Revision}};
  }

  json watch(const std::string &Kind, uint64_t From) {
    json Events = json::array();
    for (const auto &Each : m_State.m_Objects[Kind])
      if (Each.second.m_Revision > From)
        Events.push_back({{"Tombstone", false},
                          {"Object", toJson(Each.first, Each.second)}});
    for (const Removal &Each : m_Removals)
      if (Each.m_Kind == Kind && Each.m_Revision > From)
        Events.push_back(
            {{"Tombstone", true},
             {"Object", toJson(Each.m_Name, {Each.m_Revision, {}})}});
    return {{"events", Events}, {"At", m_State.m_Revision}};
  }

  void answer(ScriptConnection &Connection, const std::string &Request) {
    const std::string Method = Request.substr(0, Request.find(' '));
    const size_t Start = Method.size() + 1;
    const std::string Target =
        Request.substr(Start, Request.find(' ', Start) - Start);
    const std::string Path = Target.substr(0, Target.find('?'));
    const std::string Kind = Path.substr(std::string("/objects/").size());
    const size_t Watch = Target.find("Watch=");
    if (Watch != std::string::npos)
      std::this_thread::sleep_for(30ms);
    const std::scoped_lock Lock(m_Mutex);
    if (Watch != std::string::npos)
      m_WatchingConnections.insert(&Connection);
    int Status = 200;
    json Body;
    if (Method == "POST") {
      const json Sent =
          json::parse(Request.substr(Request.find("\r\n\r\n") + 4));
      m_State.m_Objects[Kind][Sent["Metadata"]["Name"]] = {++m_State.m_Revision,
                                                           Sent["Spec"]};
      Status = 201;
      Body = json::object();
    } else if (Watch == std::string::npos) {
      Body = list(Kind);
    } else {
      const uint64_t From = std::stoull(Target.substr(Watch + 6));
      Status = From > m_State.m_Revision ? 410 : 200;
      Body = Status == 200 ? watch(Kind, From) : json::object();
    }
    const std::string Text = Body.dump();
    std::this_thread::sleep_for(m_Delay.load());
    Connection.write("HTTP/1.1 " + std::to_string(Status) +
                     " X\r\nStore-Era: " + std::to_string(m_Era) +
                     "\r\nContent-Length: " + std::to_string(Text.size()) +
                     "\r\n\r\n" + Text);
  }

  mutable std::mutex m_Mutex;
  std::set<const ScriptConnection *> m_WatchingConnections;
  State m_State;
  State m_Backup;
  std::vector<Removal> m_Removals;
  uint64_t m_Era = 3;
  std::atomic<std::chrono::milliseconds> m_Delay = 0ms;
  ScriptedEndpoint m_Endpoint;
};

/// The feeds of a node, on a control thread of their own.
class FeedNode : private core::adapters::gateway::StoreEvents,
                 private core::adapters::gateway::StoreEraEvents {
public:
  explicit FeedNode(uint16_t StorePort, const char *Name = "self",
                    core::model::Duration RevocationTime = 0s)
      : m_Log("test"), m_Calls(m_Thread.loop()),
        m_Store({"127.0.0.1", StorePort}, m_Dialect, m_Calls, m_Log, *this),
        m_Relay(m_Thread.loop(), m_Calls, m_Clock),
        m_Feeds(m_Store, m_Relay, {100ms, 3s, RevocationTime},
                {core::model::NodeId(Name),
                 {"127.0.0.1", listeningPort(m_Relay)},
                 core::model::DomainId("d")},
                m_Dialect, m_Clock, m_Random, m_Log, *this) {
    m_Thread.loop().post([this] { tick(); });
    m_Thread.start();
  }
  ~FeedNode() override { m_Thread.stop(); }

  std::map<std::string, bool> draining() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Draining;
  }
  uint64_t version() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Version;
  }
  bool wentBack() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_WentBack;
  }
  /// Asks the store for the endpoints, and returns how many are known once it
  /// has answered a call made since; nullopt if it does not answer.
  std::optional<size_t> confirmedEndpoints() {
    const core::model::TimePoint AskedAt = m_Clock.now();
    m_Thread.loop().post([this] { m_Feeds.confirmEndpoints(); });
    for (int I = 0; I < 100; ++I) {
      std::this_thread::sleep_for(10ms);
      const std::scoped_lock Lock(m_Mutex);
      const auto Found = m_Confirmed.lower_bound(AskedAt);
      if (Found != m_Confirmed.end())
        return Found->second;
    }
    return std::nullopt;
  }
  /// Age of the last proof of the configuration; nullopt if there was none.
  std::optional<core::model::Duration> proofAge() const {
    const std::scoped_lock Lock(m_Mutex);
    if (!m_ProvenAt)
      return std::nullopt;
    return m_Clock.now() - *m_ProvenAt;
  }
  /// The youngest that a proof was when it was told.
  core::model::Duration youngestProof() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_YoungestProof;
  }
  /// What another node that knows the store up to \p Revision is told of the
  /// configuration.
  relay::FeedReply published(uint64_t Revision) {
    std::promise<relay::FeedReply> Reply;
    m_Thread.loop().post([&] {
      m_Relay.publisher(relay::FeedKind::Config)
          .ask({relay::FeedKind::Config, Revision, m_Store.era(), 0s},
               m_Clock.now(),
               [&](const relay::FeedReply &Told) { Reply.set_value(Told); });
    });
    return Reply.get_future().get();
  }
  int restores() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Restores;
  }

private:
  static uint16_t listeningPort(core::adapters::gateway::FeedRelay &Relay) {
    REQUIRE_FALSE(Relay.listen({"127.0.0.1", 0}));
    return Relay.port();
  }
  void
  onRouteTableChanged(std::shared_ptr<const relay::RouteTable> Table) override {
    const std::scoped_lock Lock(m_Mutex);
    m_WentBack = m_WentBack || Table->config().m_Version <= m_Version;
    m_Version = Table->config().m_Version;
  }
  void onEndpointsChanged(
      const std::vector<relay::EndpointEntry> &Entries) override {
    const std::scoped_lock Lock(m_Mutex);
    m_Draining.clear();
    for (const relay::EndpointEntry &Each : Entries)
      m_Draining[Each.m_Id.str()] = Each.m_Draining;
  }
  void
  onNodesChanged(const std::vector<relay::NodeEntry> & /*Nodes*/) override {}
  void onEndpointsConfirmed(core::model::TimePoint AskedAt) override {
    const std::scoped_lock Lock(m_Mutex);
    m_Confirmed[AskedAt] = m_Draining.size();
  }
  void onConfigProven(core::model::TimePoint At) override {
    const std::scoped_lock Lock(m_Mutex);
    m_YoungestProof = std::min(m_YoungestProof, m_Clock.now() - At);
    m_ProvenAt = At;
  }
  void onStoreEraChanged(std::optional<core::model::StoreEra> Old,
                         core::model::StoreEra /*New*/) override {
    if (!Old)
      return;
    m_Feeds.onStoreRestored();
    const std::scoped_lock Lock(m_Mutex);
    ++m_Restores;
  }
  void tick() {
    m_Thread.loop().runAfter(20ms, [this] { tick(); });
    m_Feeds.tick();
  }

  mutable std::mutex m_Mutex;
  std::map<std::string, bool> m_Draining;
  uint64_t m_Version = 0;
  bool m_WentBack = false;
  int m_Restores = 0;
  std::optional<core::model::TimePoint> m_ProvenAt;
  core::model::Duration m_YoungestProof = 1h;
  /// The number of endpoints that were known at each confirmation.
  std::map<core::model::TimePoint, size_t> m_Confirmed;
  core::adapters::daemon::SystemRandom m_Random;
  core::adapters::gateway::BootClock m_Clock;
  core::adapters::gateway::GatewayLog m_Log;
  platform::PlatformDialect m_Dialect;
  core::adapters::net::LoopThread m_Thread;
  core::adapters::gateway::ControlCalls m_Calls;
  core::adapters::gateway::StoreClient m_Store;
  core::adapters::gateway::FeedRelay m_Relay;
  core::adapters::gateway::StoreFeeds m_Feeds;
};

json endpoint(uint64_t Sequence, const char *State = "ready") {
  return {{"Service", "s"}, {"Address", "10.0.0.1:80"}, {"Zone", "z"},
          {"Slots", 4},     {"State", State},           {"Sequence", Sequence},
          {"born", 1700}};
}

json config(uint64_t Version) {
  return {{"Version", Version},
          {"Routes", json::array()},
          {"Services", json::array()}};
}

template <typename ConditionT> bool becomesTrue(ConditionT Condition) {
  for (int I = 0; I < 500; ++I) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

TEST_CASE("a store that is restored twice brings back no left endpoint and no "
          "older configuration, and gets the node's entry again") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  for (const char *const Name : {"stays", "drains", "leaves"})
    Store.write("servers", Name, endpoint(1));
  FeedNode Node(Store.port());
  REQUIRE(becomesTrue([&] { return Node.draining().size() == 3; }));
  for (int Round = 1; Round <= 2; ++Round) {
    CAPTURE(Round);
    if (Round == 1)
      Store.backUp();
    Store.write("servers", "drains", endpoint(2, "draining"));
    Store.remove("servers", "leaves");
    Store.write("servers", "added", endpoint(1));
    Store.write("config", "main", config(7));
    REQUIRE(becomesTrue([&] {
      const std::map<std::string, bool> Known = Node.draining();
      return Known.size() == 3 && Known.contains("added") &&
             Known.at("drains") && Node.version() == 7;
    }));
    REQUIRE(
        becomesTrue([&] { return Store.holds("bronzepass-nodes", "self"); }));
    Store.restore();
    REQUIRE(becomesTrue([&] { return Node.restores() == Round; }));
    CHECK(becomesTrue([&] { return Store.holds("bronzepass-nodes", "self"); }));
    // The endpoint that the backup lacks writes its entry again.
    Store.write("servers", "added", endpoint(2));
    std::this_thread::sleep_for(2500ms);
    const std::map<std::string, bool> Known = Node.draining();
    CHECK(Known.contains("stays"));
    CHECK(Known.contains("added"));
    CHECK_FALSE(Known.contains("leaves"));
    CHECK(Known.at("drains"));
    CHECK(Node.version() == 7);
    CHECK_FALSE(Node.wentBack());
  }
}

TEST_CASE("a confirmation names all endpoints that the store had when it was "
          "asked, also of several at once") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  Store.write("servers", "first", endpoint(1));
  FeedNode Node(Store.port());
  REQUIRE(becomesTrue([&] { return Node.draining().size() == 1; }));
  for (size_t Known = 2; Known < 6; ++Known) {
    Store.write("servers", "e" + std::to_string(Known), endpoint(1));
    std::future<std::optional<size_t>> Other = std::async(
        std::launch::async, [&] { return Node.confirmedEndpoints(); });
    CHECK(Node.confirmedEndpoints() == Known);
    CHECK(Other.get() == Known);
  }
  Store.remove("servers", "first");
  CHECK(Node.confirmedEndpoints() == 4);
}

TEST_CASE("the store's answers prove the configuration from when they were "
          "asked for, while the newest one can be read") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  SUBCASE("no proof is needed") {
    FeedNode Node(Store.port());
    REQUIRE(becomesTrue([&] { return Node.version() == 5; }));
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(Node.proofAge());
  }
  SUBCASE("an answer that is late") {
    Store.setDelay(100ms);
    FeedNode Node(Store.port(), "self", 5s);
    REQUIRE(becomesTrue([&] { return Node.proofAge().has_value(); }));
    std::this_thread::sleep_for(500ms);
    CHECK(Node.youngestProof() >= 100ms);
    CHECK(*Node.proofAge() < 2s);
  }
  SUBCASE("a store that answers no more") {
    FeedNode Node(Store.port(), "self", 2s);
    REQUIRE(becomesTrue([&] { return Node.proofAge().has_value(); }));
    Store.setDelay(10s);
    std::this_thread::sleep_for(1s);
    CHECK(*Node.proofAge() >= 900ms);
    Store.setDelay(0ms);
  }
  SUBCASE("a configuration that can't be read") {
    FeedNode Node(Store.port(), "self", 5s);
    REQUIRE(becomesTrue([&] { return Node.proofAge().has_value(); }));
    Store.write("config", "main", {{"Version", "?"}});
    std::this_thread::sleep_for(1s);
    CHECK(*Node.proofAge() >= 800ms);
    Store.write("config", "main", config(6));
    CHECK(becomesTrue([&] { return *Node.proofAge() < 300ms; }));
    CHECK(Node.version() == 6);
  }
  SUBCASE("a store that was restored") {
    Store.backUp();
    FeedNode Node(Store.port(), "self", 5s);
    REQUIRE(becomesTrue([&] { return Node.proofAge().has_value(); }));
    Store.restore();
    REQUIRE(becomesTrue([&] { return Node.restores() == 1; }));
    CHECK(becomesTrue([&] { return *Node.proofAge() < 200ms; }));
  }
}

TEST_CASE("what other nodes are told of the configuration holds no keys") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  FeedNode Node(Store.port(), "self", 5s);
  REQUIRE(becomesTrue([&] { return Node.version() == 5; }));
  const uint64_t Known = Store.revision();
  json Keyed = config(6);
  Keyed["Tenants"] = {{{"Name", "lab"}, {"ApiKeys", {"secret-1"}}}};
  Store.write("config", "main", Keyed);
  REQUIRE(becomesTrue([&] { return Node.version() == 6; }));
  const relay::FeedReply Told = Node.published(Known);
  REQUIRE(Told.m_IsAvailable);
  REQUIRE(Told.m_Objects.size() == 1);
  const std::string &Content = Told.m_Objects[0].m_Content;
  CHECK(Content.find("secret") == std::string::npos);
  const platform::PlatformDialect Dialect;
  CHECK(*Dialect.readConfig(Content).m_Value ==
        *Dialect.readConfig(Keyed.dump()).m_Value);
  CHECK(Told.m_ProofOffset);
}

TEST_CASE("nodes that learn through a watcher have its proof, and one of their "
          "own while it is gone") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  constexpr core::model::Duration RevocationTime = 5s;
  std::vector<std::string> Names;
  for (int Number = 0; Number < 12; ++Number)
    Names.push_back("node-" + std::to_string(Number));
  std::map<std::string, std::unique_ptr<FeedNode>> Nodes;
  for (const std::string &Name : Names)
    Nodes[Name] =
        std::make_unique<FeedNode>(Store.port(), Name.c_str(), RevocationTime);
  // Nodes list each other each 5 s.
  std::this_thread::sleep_for(6s);
  const auto OldestWithin = [&](core::model::Duration Span) {
    core::model::Duration Oldest{0};
    const auto End = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < End) {
      for (const auto &Each : Nodes)
        Oldest = std::max(Oldest, Each.second->proofAge().value_or(1h));
      std::this_thread::sleep_for(20ms);
    }
    return Oldest;
  };
  Store.takeWatchingConnections();
  CHECK(OldestWithin(2s) < 0.4 * RevocationTime);
  CHECK(Store.takeWatchingConnections() <= 6);
  std::sort(Names.begin(), Names.end(),
            [](const std::string &Left, const std::string &Right) {
              return core::model::rendezvousWeight("store-watcher", Left) >
                     core::model::rendezvousWeight("store-watcher", Right);
            });
  for (int Watcher = 0; Watcher < 3; ++Watcher)
    Nodes.erase(Names[Watcher]);
  CHECK(OldestWithin(3s) < 0.8 * RevocationTime);
}

// Pattern: the store's load grows with the fleet.
TEST_CASE("most nodes learn of changes through a few that watch the store, and "
          "from the store once these are gone") {
  RestorableStore Store;
  Store.write("config", "main", config(5));
  Store.write("servers", "stays", endpoint(1));
  std::vector<std::string> Names;
  for (int Number = 0; Number < 12; ++Number)
    Names.push_back("node-" + std::to_string(Number));
  std::map<std::string, std::unique_ptr<FeedNode>> Nodes;
  for (const std::string &Name : Names)
    Nodes[Name] = std::make_unique<FeedNode>(Store.port(), Name.c_str());
  const auto AllKnow = [&](uint64_t Version) {
    return becomesTrue([&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
        return Each.second->version() == Version;
      });
    });
  };
  REQUIRE(AllKnow(5));
  // Nodes list each other each 5 s.
  std::this_thread::sleep_for(6s);
  Store.takeWatchingConnections();
  Store.write("config", "main", config(6));
  CHECK(AllKnow(6));
  std::this_thread::sleep_for(500ms);
  // Of the configuration and of the endpoints, by three nodes.
  CHECK(Store.takeWatchingConnections() <= 6);
  // Removes nodes in rendezvous order of the watchers' duty.
  std::sort(Names.begin(), Names.end(),
            [](const std::string &Left, const std::string &Right) {
              return core::model::rendezvousWeight("store-watcher", Left) >
                     core::model::rendezvousWeight("store-watcher", Right);
            });
  for (int Watcher = 0; Watcher < 3; ++Watcher)
    Nodes.erase(Names[Watcher]);
  Store.write("config", "main", config(7));
  CHECK(AllKnow(7));
  Store.backUp();
  Store.restore();
  Store.write("config", "main", config(8));
  CHECK(AllKnow(8));
  CHECK(std::none_of(Nodes.begin(), Nodes.end(),
                     [](const auto &Each) { return Each.second->wentBack(); }));
}

} // namespace bronzepass::unit_tests::adapters::gateway
