#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId version(const std::string &Model) {
  return {model::ModelId(Model), "v1", {}};
}

/// Two models that do not fit beside each other on the one engine there is.
std::shared_ptr<const model::Intent> oneOfTwo(const std::string &Declared,
                                              uint64_t Generation) {
  model::Intent Value = makeSmallIntent(1, 0, model::FencingMode::Ignores);
  Value.m_Generation = {Generation};
  Value.m_Models.push_back(
      {.m_Name = model::ModelId(Declared),
       .m_Versions = {{.m_Version = "v1", .m_MemoryBytes = 60 * GiB}}});
  return share(std::move(Value));
}

uint64_t promisedIn(const PlacementCluster &World) {
  const ports::StoredObject *Object =
      World.m_Store.find({ports::ObjectKind::Ledger, "engines.e0"});
  uint64_t Sum = 0;
  for (const model::LedgerEntry &Entry :
       std::get<model::EngineLedger>(Object->m_Record).m_Entries)
    Sum += Entry.m_MemoryBytes;
  return Sum;
}

/// The holder records the load of "old" and is paused before it leaves. A
/// successor takes over, and then the intent wants "new" in its place.
struct PausedHolder {
  PlacementCluster m_World{oneOfTwo("old", 1), 2};

  PausedHolder() {
    m_World.grantLease(0);
    while (m_World.m_Nodes[0].m_Held.empty())
      m_World.step(1s);
    m_World.pause(0);
    m_World.runFor(PlacementCluster::LeaseTerm);
    m_World.grantLease(1);
    m_World.runFor(2min);
    m_World.changeIntent(oneOfTwo("new", 2));
    m_World.runFor(10min);
  }
};

} // namespace

TEST_CASE("memory that a paused holder's order may take is not given away") {
  PausedHolder Case;
  PlacementCluster &World = Case.m_World;
  // The successor repeated the load, then unloaded it; the room stays promised.
  CHECK(World.serving(version("old")) == 0);
  CHECK(World.serving(version("new")) == 0);
  CHECK(promisedIn(World) == 60 * GiB);
  REQUIRE(World.holder().unfencedNodes().size() == 1);
  CHECK(World.holder().unfencedNodes().front().m_Node == World.nodeId(0));
  REQUIRE_FALSE(World.holder().findings().empty());

  // It wakes and sends: the late load is seen, undone, and then the room goes.
  World.wake(0);
  World.runFor(2s);
  CHECK(World.m_Engines[0].m_Copies.count(version("old")) == 1);
  World.runFor(6min);
  CHECK(World.serving(version("new")) == 1);
  CHECK(World.m_Engines[0].m_PeakBytes == 60 * GiB);
}

TEST_CASE("the room is free once the paused holder's VM is gone") {
  PausedHolder Case;
  PlacementCluster &World = Case.m_World;
  World.kill(0);
  World.runFor(5min);
  CHECK(World.serving(version("new")) == 1);
  CHECK(World.m_Engines[0].m_PeakBytes == 60 * GiB);
  CHECK(World.holder().unfencedNodes().empty());
}

TEST_CASE("a copy that a paused holder may unload is not relied on") {
  const auto Draining = [](const std::string &Engine, uint64_t Generation) {
    model::Intent Value = makeSmallIntent(2, 1, model::FencingMode::Ignores);
    Value.m_Generation = {Generation};
    Value.m_Selectors.push_back({.m_Name = "drain",
                                 .m_Action = model::SelectorAction::Drain,
                                 .m_Endpoints = {model::EndpointId(Engine)}});
    return share(std::move(Value));
  };
  const model::ArtifactId Model{model::ModelId("m0"), "v1", {}};
  PlacementCluster World(
      share(makeSmallIntent(2, 1, model::FencingMode::Ignores)), 2);
  World.grantLease(0);
  World.runFor(2min);
  const size_t Old = World.m_Engines[0].serves(Model) ? 0 : 1;
  const size_t New = 1 - Old;
  // Its copy is moved, and the holder stops right before the old one's unload.
  World.changeIntent(Draining(World.m_Engines[Old].m_Spec.m_Name.str(), 2));
  while (World.serving(Model) < 2 || World.m_Nodes[0].m_Held.empty())
    World.step(1s);
  World.pause(0);
  // The successor can't see the new copy, and so keeps the old one.
  World.m_Reachable[New] = false;
  World.runFor(PlacementCluster::LeaseTerm);
  World.grantLease(1);
  World.runFor(20s);
  CHECK(World.serving(Model) == 2);
  // Now the new copy's engine is to be emptied.
  World.m_Reachable[New] = true;
  World.changeIntent(Draining(World.m_Engines[New].m_Spec.m_Name.str(), 3));
  World.runFor(2min);
  CHECK(World.m_Engines[New].serves(Model));
  World.wake(0);
  World.runFor(5s);
  CHECK_FALSE(World.m_Engines[Old].serves(Model));
  CHECK(World.m_Engines[New].serves(Model));
  World.runFor(10min);
  CHECK(World.m_Engines[Old].serves(Model));
  CHECK_FALSE(World.m_Engines[New].serves(Model));
}

TEST_CASE("a take-over in mid-move goes on from the ledger alone") {
  PlacementCluster World(oneOfTwo("old", 1), 2);
  World.grantLease(0);
  World.runFor(10s);
  REQUIRE(World.m_Engines[0].loading() == 1);
  World.kill(0);
  World.grantLease(1);
  World.runFor(1min);
  CHECK(World.serving(version("old")) == 1);
  CHECK(World.m_Engines[0].m_LoadsStarted == 1);
}

} // namespace bronzepass::unit_tests::placement
