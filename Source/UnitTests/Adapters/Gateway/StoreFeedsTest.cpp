#include "Core/Model/Hash.h"
#include "UnitTests/Adapters/Gateway/FeedNode.h"
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
