#include "Core/Gateway/FeedSourceChooser.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

std::vector<NodeEntry> fleet(size_t Count) {
  std::vector<NodeEntry> Nodes;
  for (size_t Number = 0; Number < Count; ++Number)
    Nodes.push_back({model::NodeId("node-" + std::to_string(Number)),
                     {"10.0.0.1", static_cast<uint16_t>(1000 + Number)},
                     model::DomainId("d"),
                     Number % 3 == 0 ? 50U : 12U});
  return Nodes;
}

/// How many nodes ask each source; an empty id is the store.
std::map<model::NodeId, size_t> sourcesOf(const std::vector<NodeEntry> &Nodes) {
  std::map<model::NodeId, size_t> Sources;
  for (const NodeEntry &Each : Nodes) {
    FeedSourceChooser Chooser(Each.m_Node, {});
    Chooser.setNodes(Nodes);
    const std::optional<NodeEntry> Source = Chooser.choose(at(0s));
    ++Sources[Source ? Source->m_Node : model::NodeId()];
  }
  return Sources;
}

} // namespace

// Pattern: the store's load grows with the fleet.
TEST_CASE("few nodes of a large fleet ask the store, the others are spread "
          "over them") {
  for (const size_t Count : {18U, 64U, 195U, 380U}) {
    CAPTURE(Count);
    std::map<model::NodeId, size_t> Sources = sourcesOf(fleet(Count));
    const size_t Watchers = Sources[model::NodeId()];
    Sources.erase(model::NodeId());
    CHECK(Watchers <= std::max<size_t>(3, Count / 40 + 1));
    CHECK(Sources.size() == Watchers);
    for (const auto &Each : Sources) {
      CHECK(Each.second < 80);
      // The strong ones watch.
      CHECK(std::stoi(Each.first.str().substr(5)) % 3 == 0);
    }
  }
}

TEST_CASE("a node that is not registered, and every node of a small fleet, "
          "asks the store") {
  for (const size_t Count : {1U, 3U, 9U, 11U})
    CHECK(sourcesOf(fleet(Count)) ==
          std::map<model::NodeId, size_t>{{{}, Count}});
  FeedSourceChooser Alone(model::NodeId("new"), {});
  CHECK_FALSE(Alone.choose(at(0s)));
  Alone.setNodes(fleet(50));
  CHECK_FALSE(Alone.choose(at(0s)));
}

// Guards against nodes that wait for a watcher which is gone.
TEST_CASE("a watcher that fails is not asked for a while, longer each time") {
  const std::vector<NodeEntry> Nodes = fleet(50);
  for (const NodeEntry &Each : Nodes) {
    FeedSourceChooser Chooser(Each.m_Node, {});
    Chooser.setNodes(Nodes);
    const std::optional<NodeEntry> First = Chooser.choose(at(0s));
    if (!First)
      continue;
    Chooser.onWatcherFailed(First->m_Node, at(0s));
    CHECK(Chooser.choose(at(4s))->m_Node != First->m_Node);
    CHECK(Chooser.choose(at(5s))->m_Node == First->m_Node);
    Chooser.onWatcherFailed(First->m_Node, at(5s));
    CHECK(Chooser.choose(at(14s))->m_Node != First->m_Node);
    CHECK(Chooser.choose(at(15s))->m_Node == First->m_Node);
    Chooser.onWatcherAnswered(First->m_Node);
    Chooser.onWatcherFailed(First->m_Node, at(20s));
    CHECK(Chooser.choose(at(25s))->m_Node == First->m_Node);
    for (int Watcher = 0; Watcher < 3; ++Watcher)
      if (const std::optional<NodeEntry> Next = Chooser.choose(at(30s)))
        Chooser.onWatcherUnavailable(Next->m_Node, false, at(30s));
    CHECK_FALSE(Chooser.choose(at(31s)));
    CHECK(Chooser.choose(at(35s)));
  }
}

// Guards against a node that asks nobody while the store refuses it, though
// others are served.
TEST_CASE("a node that the store refuses asks a node that tells it is served") {
  const std::vector<NodeEntry> Nodes = fleet(50);
  for (const NodeEntry &Each : Nodes) {
    FeedSourceChooser Chooser(Each.m_Node, {});
    Chooser.setNodes(Nodes);
    CHECK_FALSE(Chooser.chooseSource(at(30s)));
    Chooser.onSourceHeard(Each, at(30s));
    CHECK_FALSE(Chooser.chooseSource(at(30s)));
    const NodeEntry &Source = Nodes[Each.m_Node == Nodes[0].m_Node ? 1 : 0];
    Chooser.onSourceHeard(Source, at(30s));
    CHECK(Chooser.chooseSource(at(32s)) == Source);
    CHECK_FALSE(Chooser.chooseSource(at(33s)));
    Chooser.onSourceHeard(Source, at(33s));
    Chooser.onWatcherUnavailable(Source.m_Node, true, at(33s));
    CHECK_FALSE(Chooser.chooseSource(at(33s)));
    CHECK(Chooser.chooseSource(at(34s)) == Source);
    Chooser.onSourceLost(Source.m_Node);
    CHECK_FALSE(Chooser.chooseSource(at(34s)));
  }
}

// Guards against a fleet in which every node announces to every other one.
TEST_CASE("few nodes stand in for watchers that all fail") {
  const std::vector<NodeEntry> Nodes = fleet(50);
  std::vector<NodeEntry> Announcing;
  // Each one hears of those before it.
  for (const NodeEntry &Each : Nodes) {
    FeedSourceChooser Chooser(Each.m_Node, {});
    Chooser.setNodes(Nodes);
    if (Chooser.isWatcher())
      continue;
    CHECK_FALSE(Chooser.shouldAnnounce(at(30s)));
    while (const std::optional<NodeEntry> Next = Chooser.choose(at(30s)))
      Chooser.onWatcherFailed(Next->m_Node, at(30s));
    CHECK(Chooser.shouldAnnounce(at(30s)));
    for (const NodeEntry &Heard : Nodes)
      if (Heard.m_Node != Each.m_Node)
        Chooser.onSourceHeard(Heard, at(30s));
    if (Chooser.shouldAnnounce(at(30s)))
      Announcing.push_back(Each);
    // A watcher that has failed is asked once it is heard.
    CHECK(Chooser.chooseTrustedWatcher(at(36s)) == std::nullopt);
  }
  CHECK(Announcing.size() <= 3);
}

} // namespace bronzepass::core::gateway
