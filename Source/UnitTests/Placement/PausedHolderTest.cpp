#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId artifact(const std::string &Model) {
  return {model::ModelId(Model), "v1", {}};
}

/// Two models that do not fit beside each other on the one engine there is.
std::shared_ptr<const model::Intent>
singleModelIntent(const std::string &Declared, uint64_t Generation) {
  model::Intent Value = makeSmallIntent(1, 0, model::FencingMode::Ignores);
  Value.m_Generation = {Generation};
  Value.m_Models.push_back(
      {.m_Name = model::ModelId(Declared),
       .m_Versions = {{.m_Version = "v1", .m_MemoryBytes = 60 * GiB}}});
  return makeShared(std::move(Value));
}

uint64_t promisedBytes(const PlacementCluster &Cluster) {
  const ports::StoredObject *Object =
      Cluster.m_Store.find({ports::ObjectKind::Ledger, "engines.e0"});
  uint64_t Sum = 0;
  for (const model::LedgerEntry &Entry :
       std::get<model::EngineLedger>(Object->m_Record).m_Entries)
    Sum += Entry.m_MemoryBytes;
  return Sum;
}

/// The holder records the load of "old" and is paused before it leaves. A
/// successor takes over, and then the intent wants "new" in its place.
struct PausedHolder {
  PlacementCluster m_Cluster{singleModelIntent("old", 1), 2};

  PausedHolder() {
    m_Cluster.grantLease(0);
    while (m_Cluster.m_Nodes[0].m_UnsentOrders.empty())
      m_Cluster.step(1s);
    m_Cluster.pause(0);
    m_Cluster.runFor(PlacementCluster::LeaseTerm);
    m_Cluster.grantLease(1);
    m_Cluster.runFor(2min);
    m_Cluster.changeIntent(singleModelIntent("new", 2));
    m_Cluster.runFor(10min);
  }
};

} // namespace

TEST_CASE("memory that a paused holder's order may take is not given away") {
  PausedHolder Case;
  PlacementCluster &Cluster = Case.m_Cluster;
  // The successor repeated the load, then unloaded it; the room stays promised.
  CHECK(Cluster.serving(artifact("old")) == 0);
  CHECK(Cluster.serving(artifact("new")) == 0);
  CHECK(promisedBytes(Cluster) == 60 * GiB);
  REQUIRE(Cluster.holder().unfencedNodes().size() == 1);
  CHECK(Cluster.holder().unfencedNodes().front().m_Node == Cluster.nodeId(0));
  REQUIRE_FALSE(Cluster.holder().findings().empty());

  // It wakes and sends: the late load is seen, undone, and then the room goes.
  Cluster.resume(0);
  Cluster.runFor(2s);
  CHECK(Cluster.m_Engines[0].m_Copies.count(artifact("old")) == 1);
  Cluster.runFor(6min);
  CHECK(Cluster.serving(artifact("new")) == 1);
  CHECK(Cluster.m_Engines[0].m_PeakBytes == 60 * GiB);
}

TEST_CASE("the room is free once the paused holder's VM is gone") {
  PausedHolder Case;
  PlacementCluster &Cluster = Case.m_Cluster;
  Cluster.kill(0);
  Cluster.runFor(5min);
  CHECK(Cluster.serving(artifact("new")) == 1);
  CHECK(Cluster.m_Engines[0].m_PeakBytes == 60 * GiB);
  CHECK(Cluster.holder().unfencedNodes().empty());
}

TEST_CASE("a copy that a paused holder may unload is not relied on") {
  const auto Draining = [](const std::string &Engine, uint64_t Generation) {
    model::Intent Value = makeSmallIntent(2, 1, model::FencingMode::Ignores);
    Value.m_Generation = {Generation};
    Value.m_Selectors.push_back({.m_Name = "drain",
                                 .m_Action = model::SelectorAction::Drain,
                                 .m_Endpoints = {model::EndpointId(Engine)}});
    return makeShared(std::move(Value));
  };
  const model::ArtifactId Model{model::ModelId("m0"), "v1", {}};
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(2, 1, model::FencingMode::Ignores)), 2);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  const size_t Old = Cluster.m_Engines[0].serves(Model) ? 0 : 1;
  const size_t New = 1 - Old;
  // Its copy is moved, and the holder stops right before the old one's unload.
  Cluster.changeIntent(Draining(Cluster.m_Engines[Old].m_Spec.m_Name.str(), 2));
  while (Cluster.serving(Model) < 2 ||
         Cluster.m_Nodes[0].m_UnsentOrders.empty())
    Cluster.step(1s);
  Cluster.pause(0);
  // The successor can't see the new copy, and so keeps the old one.
  Cluster.m_Reachable[New] = false;
  Cluster.runFor(PlacementCluster::LeaseTerm);
  Cluster.grantLease(1);
  Cluster.runFor(20s);
  CHECK(Cluster.serving(Model) == 2);
  // Now the new copy's engine is to be emptied.
  Cluster.m_Reachable[New] = true;
  Cluster.changeIntent(Draining(Cluster.m_Engines[New].m_Spec.m_Name.str(), 3));
  Cluster.runFor(2min);
  CHECK(Cluster.m_Engines[New].serves(Model));
  Cluster.resume(0);
  Cluster.runFor(5s);
  CHECK_FALSE(Cluster.m_Engines[Old].serves(Model));
  CHECK(Cluster.m_Engines[New].serves(Model));
  Cluster.runFor(10min);
  CHECK(Cluster.m_Engines[Old].serves(Model));
  CHECK_FALSE(Cluster.m_Engines[New].serves(Model));
}

TEST_CASE("a take-over in mid-move goes on from the ledger alone") {
  PlacementCluster Cluster(singleModelIntent("old", 1), 2);
  Cluster.grantLease(0);
  Cluster.runFor(10s);
  REQUIRE(Cluster.m_Engines[0].loading() == 1);
  Cluster.kill(0);
  Cluster.grantLease(1);
  Cluster.runFor(1min);
  CHECK(Cluster.serving(artifact("old")) == 1);
  CHECK(Cluster.m_Engines[0].m_LoadsStarted == 1);
}

} // namespace bronzepass::unit_tests::placement
