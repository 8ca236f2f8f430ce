#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_FEEDNODE_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_FEEDNODE_H

#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/StoreFeeds.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "platform/PlatformDialect.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

/// The platform's store over HTTP: lists, watches that end after a moment, and
/// writes; can be restored from a backup.
class RestorableStore {
public:
  RestorableStore()
      : m_Endpoint([this](ScriptConnection &Connection,
                          const std::string &Request,
                          int /*Number*/) { answer(Connection, Request); }),
        m_Other([this](ScriptConnection &Connection, const std::string &Request,
                       int /*Number*/) { answerOther(Connection, Request); }) {}

  uint16_t port() const { return m_Endpoint.port(); }
  /// Another way to the store, which hold() closes.
  uint16_t otherPort() const { return m_Other.port(); }
  /// Each connection of the other way brings no more answers from its next
  /// watch of the configuration on.
  void hold() { m_Holding = true; }
  /// Watches of the configuration that hold() keeps open, by the order in which
  /// they came.
  size_t heldWatches() const { return m_HeldWatches; }

  void write(const std::string &Kind, const std::string &Name,
             nlohmann::json Spec) {
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
    nlohmann::json m_Spec;
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

  static nlohmann::json toJson(const std::string &Name, const Object &Each) {
    return {{"Metadata", {{"Name", Name}, {"Revision", Each.m_Revision}}},
            {"Spec", Each.m_Spec}};
  }

  nlohmann::json list(const std::string &Kind) {
    nlohmann::json Items = nlohmann::json::array();
    for (const auto &Each : m_State.m_Objects[Kind])
      Items.push_back(toJson(Each.first, Each.second));
    return {{"items", Items}, {"At", m_State.m_Revision}};
  }

  nlohmann::json watch(const std::string &Kind, uint64_t From) {
    nlohmann::json Events = nlohmann::json::array();
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

  void answerOther(ScriptConnection &Connection, const std::string &Request) {
    if (!m_Holding) {
      answer(Connection, Request);
      return;
    }
    if (Request.find("/config?") != std::string::npos &&
        Request.find("Watch=") != std::string::npos)
      ++m_HeldWatches;
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
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const std::scoped_lock Lock(m_Mutex);
    if (Watch != std::string::npos)
      m_WatchingConnections.insert(&Connection);
    int Status = 200;
    nlohmann::json Body;
    if (Method == "POST") {
      const nlohmann::json Sent =
          nlohmann::json::parse(Request.substr(Request.find("\r\n\r\n") + 4));
      m_State.m_Objects[Kind][Sent["Metadata"]["Name"]] = {++m_State.m_Revision,
                                                           Sent["Spec"]};
      Status = 201;
      Body = nlohmann::json::object();
    } else if (Watch == std::string::npos) {
      Body = list(Kind);
    } else {
      const uint64_t From = std::stoull(Target.substr(Watch + 6));
      Status = From > m_State.m_Revision ? 410 : 200;
      Body = Status == 200 ? watch(Kind, From) : nlohmann::json::object();
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
  std::atomic<std::chrono::milliseconds> m_Delay = std::chrono::milliseconds(0);
  std::atomic<bool> m_Holding = false;
  std::atomic<size_t> m_HeldWatches = 0;
  ScriptedEndpoint m_Endpoint;
  ScriptedEndpoint m_Other;
};

/// The feeds of a node, on a control thread of their own.
class FeedNode : private core::adapters::gateway::StoreEvents,
                 private core::adapters::gateway::StoreEraEvents {
public:
  explicit FeedNode(
      uint16_t StorePort, const char *Name = "self",
      core::model::Duration RevocationTime = {},
      core::model::Duration LeaveNotice = std::chrono::milliseconds(100),
      core::model::Duration ContactTime = std::chrono::seconds(3))
      : m_Log("test"), m_Calls(m_Thread.loop()),
        m_Store({"127.0.0.1", StorePort}, m_Dialect, m_Calls, m_Log, *this),
        m_Relay(m_Thread.loop(), m_Calls, m_Clock),
        m_Feeds(m_Store, m_Relay,
                {LeaveNotice, ContactTime, RevocationTime, LeaveNotice},
                {core::model::NodeId(Name),
                 {"127.0.0.1", listeningPort(m_Relay)},
                 core::model::DomainId("d")},
                m_Dialect, m_Clock, m_Random, m_Log, *this) {
    m_Thread.loop().post([this] { tick(); });
    m_Thread.start();
  }
  ~FeedNode() override { m_Thread.stop(); }

  /// The node does nothing for \p Span, and answers nobody.
  void standStill(std::chrono::milliseconds Span) {
    m_Thread.loop().post([Span] { std::this_thread::sleep_for(Span); });
  }
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
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
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
  core::gateway::FeedReply published(uint64_t Revision) {
    std::promise<core::gateway::FeedReply> Reply;
    m_Thread.loop().post([&] {
      m_Relay.publisher(core::gateway::FeedKind::Config)
          .ask({core::gateway::FeedKind::Config, Revision, m_Store.era(),
                std::chrono::seconds(0)},
               m_Clock.now(), [&](const core::gateway::FeedReply &Told) {
                 Reply.set_value(Told);
               });
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
  void onRouteTableChanged(
      std::shared_ptr<const core::gateway::RouteTable> Table) override {
    const std::scoped_lock Lock(m_Mutex);
    m_WentBack = m_WentBack || Table->config().m_Version <= m_Version;
    m_Version = Table->config().m_Version;
  }
  void onEndpointsChanged(
      const std::vector<core::gateway::EndpointEntry> &Entries) override {
    const std::scoped_lock Lock(m_Mutex);
    m_Draining.clear();
    for (const core::gateway::EndpointEntry &Each : Entries)
      m_Draining[Each.m_Id.str()] = Each.m_Draining;
  }
  void onNodesChanged(
      const std::vector<core::gateway::NodeEntry> & /*Nodes*/) override {}
  void
  onStoreReachChanged(const core::gateway::StoreReach & /*Reach*/) override {}
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
    m_Thread.loop().runAfter(std::chrono::milliseconds(20), [this] { tick(); });
    m_Feeds.tick();
  }

  mutable std::mutex m_Mutex;
  std::map<std::string, bool> m_Draining;
  uint64_t m_Version = 0;
  bool m_WentBack = false;
  int m_Restores = 0;
  std::optional<core::model::TimePoint> m_ProvenAt;
  core::model::Duration m_YoungestProof = std::chrono::hours(1);
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

} // namespace bronzepass::unit_tests::adapters::gateway

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_FEEDNODE_H
