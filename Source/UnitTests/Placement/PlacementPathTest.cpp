#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId artifact(uint32_t Model, const std::string &Version = "v1") {
  return {model::ModelId("m" + std::to_string(Model)), Version, {}};
}

const model::EngineLedger *ledgerOf(const PlacementCluster &Cluster,
                                    const std::string &Engine) {
  const ports::StoredObject *Found =
      Cluster.m_Store.find({ports::ObjectKind::Ledger, "engines." + Engine});
  return Found ? &std::get<model::EngineLedger>(Found->m_Record) : nullptr;
}

} // namespace

TEST_CASE("empty engines are loaded by recorded orders only") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  Intent.m_Adapters.push_back({.m_Name = model::AdapterId("a"),
                               .m_Base = model::ModelId("m1"),
                               .m_MemoryBytes = GiB});
  PlacementCluster Cluster(makeShared(Intent), 1);
  bool AllRecorded = true;
  Cluster.m_AfterStep = [&] {
    for (const PlacementCluster::InTransitOrder &Sent : Cluster.m_InTransit) {
      const model::EngineLedger *Ledger =
          ledgerOf(Cluster, Sent.m_Order.m_Endpoint.str());
      AllRecorded = AllRecorded && Ledger &&
                    std::any_of(Ledger->m_Entries.begin(),
                                Ledger->m_Entries.end(), [&](const auto &E) {
                                  return E.m_OrderId == Sent.m_Order.m_Id;
                                });
    }
  };
  Cluster.m_Network = [] { return std::vector<model::Duration>{1500ms}; };
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  for (uint32_t I = 0; I < 4; ++I)
    CHECK(Cluster.serving(artifact(I)) == 1);
  CHECK(Cluster.serving({model::ModelId("m1"), "v1", model::AdapterId("a")}) ==
        1);
  CHECK(AllRecorded);
  CHECK(Cluster.holder().counts().m_ModelLoads == 4);
  CHECK(Cluster.holder().moves().empty());
  CHECK(Cluster.holder().findings().empty());
}

TEST_CASE("no order is sent while the store is down") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(2, 2, model::FencingMode::Refuses)), 1);
  Cluster.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::Down;
  };
  Cluster.grantLease(0);
  Cluster.runFor(1min);
  CHECK(Cluster.m_Engines[0].m_LoadsStarted +
            Cluster.m_Engines[1].m_LoadsStarted ==
        0);
  CHECK_FALSE(Cluster.holder().findings().empty());
}

} // namespace bronzepass::unit_tests::placement
