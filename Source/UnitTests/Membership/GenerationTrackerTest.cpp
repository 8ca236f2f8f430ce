#include "Core/Membership/GenerationTracker.h"
#include "Core/Model/Hash.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using bronzepass::core::membership::GenerationTracker;

namespace bronzepass::unit_tests::membership {

namespace {

const model::NodeId Self("self");
const model::NodeId Left("left");
const model::NodeId Right("right");
const model::NodeId Far("far");

std::vector<model::NodeInfo> allNodes() {
  return {
      {.m_Node = Self}, {.m_Node = Left}, {.m_Node = Right}, {.m_Node = Far}};
}

ports::GenerationProgress progress(uint64_t Generation,
                                   const model::NodeId &Node) {
  return {{Generation}, {model::stableHash(Node.str())}};
}

} // namespace

TEST_CASE("nodes not known to have the generation are reported as behind") {
  GenerationTracker Tracker(Self);
  Tracker.setOwn({1});
  Tracker.onPeerGeneration(Left, {1});
  Tracker.merge(Left, progress(1, Far));
  const auto Behind = Tracker.nodesBehind({1}, allNodes());
  REQUIRE(Behind.size() == 1);
  CHECK(Behind.front().m_Node == Right);
  CHECK(Tracker.nodesBehind({2}, allNodes()).size() == 4);
}

TEST_CASE("nodes that have a generation are not counted for the next one") {
  GenerationTracker Tracker(Self);
  Tracker.setOwn({1});
  Tracker.onPeerGeneration(Left, {1});
  Tracker.onPeerGeneration(Right, {2});
  const auto Behind = Tracker.nodesBehind({2}, allNodes());
  CHECK(Behind.size() == 3);
  Tracker.merge(Right, progress(1, Far));
  CHECK(Tracker.nodesBehind({2}, allNodes()).size() == 3);
}

TEST_CASE(
    "each node hash is sent over a link once, and never back to its sender") {
  GenerationTracker Tracker(Self);
  Tracker.linkUp(Left);
  Tracker.linkUp(Right);
  Tracker.setOwn({1});
  Tracker.merge(Left, progress(1, Far));
  Tracker.merge(Right, progress(1, Far));
  Tracker.merge(Left, progress(1, Far));
  CHECK(Tracker.take(Left, 10).m_NodeHashes.size() == 1);
  CHECK(Tracker.take(Right, 10).m_NodeHashes.size() == 2);
  CHECK_FALSE(Tracker.hasUpdatesFor(Left));
  CHECK_FALSE(Tracker.hasUpdatesFor(Right));
}

} // namespace bronzepass::unit_tests::membership
