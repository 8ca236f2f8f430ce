#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId artifact(const std::string &Model) {
  return {model::ModelId(Model), "v1", {}};
}

/// An intent that declares one model. Two such models don't fit on the only
/// engine together.
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

/// The lease holder records the load of "old" and is paused before it sends the
/// order. A successor takes over, and then the intent replaces "old" by "new".
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

TEST_CASE("memory that a paused holder's order may take stays promised") {
  PausedHolder Case;
  PlacementCluster &Cluster = Case.m_Cluster;
  // The successor resent the load, then unloaded the copy. The memory stays
  // promised.
  CHECK(Cluster.serving(artifact("old")) == 0);
  CHECK(Cluster.serving(artifact("new")) == 0);
  CHECK(promisedBytes(Cluster) == 60 * GiB);
  REQUIRE(Cluster.holder().unfencedNodes().size() == 1);
  CHECK(Cluster.holder().unfencedNodes().front().m_Node == Cluster.nodeId(0));
  REQUIRE_FALSE(Cluster.holder().findings().empty());

  // The former holder resumes and sends the late load. The successor sees the
  // copy, unloads it and then gives the memory to "new".
  Cluster.resume(0);
  Cluster.runFor(2s);
  CHECK(Cluster.m_Engines[0].m_Copies.count(artifact("old")) == 1);
  Cluster.runFor(6min);
  CHECK(Cluster.serving(artifact("new")) == 1);
  CHECK(Cluster.m_Engines[0].m_PeakBytes == 60 * GiB);
}

TEST_CASE("promised memory is released once the paused holder's VM is gone") {
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
  // The copy is moved, and the holder is paused right before it sends the
  // unload of the old copy.
  Cluster.changeIntent(Draining(Cluster.m_Engines[Old].m_Spec.m_Name.str(), 2));
  while (Cluster.serving(Model) < 2 ||
         Cluster.m_Nodes[0].m_UnsentOrders.empty())
    Cluster.step(1s);
  Cluster.pause(0);
  // The successor gets no reports of the new copy, and so keeps the old one.
  Cluster.m_Reachable[New] = false;
  Cluster.runFor(PlacementCluster::LeaseTerm);
  Cluster.grantLease(1);
  Cluster.runFor(20s);
  CHECK(Cluster.serving(Model) == 2);
  // Now the engine of the new copy is drained.
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

TEST_CASE("a takeover during a load continues from the ledger alone") {
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
