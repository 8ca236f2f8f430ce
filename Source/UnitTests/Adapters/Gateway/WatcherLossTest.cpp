#include "Core/Model/Hash.h"
#include "UnitTests/Adapters/Gateway/FeedNode.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr int NodeCount = 24;
constexpr size_t WatcherCount = 3;
constexpr core::model::Duration LeaveNotice = 3s;
constexpr core::model::Duration ContactTime = 4s;

json config(uint64_t Version) {
  return {{"Version", Version},
          {"Routes", json::array()},
          {"Services", json::array()}};
}

/// All nodes' names, those of the watchers first.
std::vector<std::string> nodeNames() {
  std::vector<std::string> Names;
  for (int Number = 0; Number < NodeCount; ++Number)
    Names.push_back("node-" + std::to_string(Number));
  std::sort(Names.begin(), Names.end(),
            [](const std::string &Left, const std::string &Right) {
              return core::model::rendezvousWeight("store-watcher", Left) >
                     core::model::rendezvousWeight("store-watcher", Right);
            });
  return Names;
}

} // namespace

// Guards against nodes that go by an old configuration since their watcher was
// cut off from the store, and then lost before it could say so.
TEST_CASE(
    "a change is known within the leave notice where watchers are cut off "
    "and then lost") {
  for (const std::chrono::milliseconds Until :
       {600ms, 900ms, 1050ms, 1200ms, 1700ms}) {
    CAPTURE(Until.count());
    RestorableStore Store;
    Store.write("config", "main", config(5));
    const std::vector<std::string> Names = nodeNames();
    std::vector<std::unique_ptr<FeedNode>> Nodes;
    for (size_t I = 0; I < Names.size(); ++I)
      Nodes.push_back(std::make_unique<FeedNode>(
          I < WatcherCount ? Store.otherPort() : Store.port(), Names[I].c_str(),
          core::model::Duration(0), LeaveNotice, ContactTime));
    // Nodes list each other each 5 s.
    std::this_thread::sleep_for(6s);
    Store.hold();
    // Each watcher is lost within Until of its last question to the store.
    for (size_t Lost = 0; Lost < WatcherCount; ++Lost) {
      while (Store.heldWatches() <= Lost)
        std::this_thread::sleep_for(1ms);
    }
    Store.write("config", "main", config(6));
    const auto Acknowledged = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(Until);
    for (size_t I = 0; I < WatcherCount; ++I)
      Nodes[I]->standStill(6s);
    core::model::Duration Latest{0};
    for (size_t I = WatcherCount; I < Nodes.size(); ++I)
      while (Nodes[I]->version() != 6 && Latest < 10s) {
        std::this_thread::sleep_for(5ms);
        Latest = std::chrono::duration_cast<core::model::Duration>(
            std::chrono::steady_clock::now() - Acknowledged);
      }
    CHECK(Latest < LeaveNotice);
    MESSAGE("the last node knew after " << Latest.count() / 1000 << " ms");
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
