#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId version(uint32_t Model, const std::string &Version = "v1") {
  return {model::ModelId("m" + std::to_string(Model)), Version, {}};
}

const model::EngineLedger *ledgerOf(const PlacementCluster &World,
                                    const std::string &Engine) {
  const ports::StoredObject *Found =
      World.m_Store.find({ports::ObjectKind::Ledger, "engines." + Engine});
  return Found ? &std::get<model::EngineLedger>(Found->m_Record) : nullptr;
}

} // namespace

TEST_CASE("empty engines are filled by recorded orders only") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  Intent.m_Adapters.push_back({.m_Name = model::AdapterId("a"),
                               .m_Base = model::ModelId("m1"),
                               .m_MemoryBytes = GiB});
  PlacementCluster World(share(Intent), 1);
  bool AllRecorded = true;
  World.m_AfterStep = [&] {
    for (const PlacementCluster::InTransit &Sent : World.m_InTransit) {
      const model::EngineLedger *Ledger =
          ledgerOf(World, Sent.m_Order.m_Endpoint.str());
      AllRecorded = AllRecorded && Ledger &&
                    std::any_of(Ledger->m_Entries.begin(),
                                Ledger->m_Entries.end(), [&](const auto &E) {
                                  return E.m_OrderId == Sent.m_Order.m_Id;
                                });
    }
  };
  World.m_Network = [] { return std::vector<model::Duration>{1500ms}; };
  World.grantLease(0);
  World.runFor(2min);
  for (uint32_t I = 0; I < 4; ++I)
    CHECK(World.serving(version(I)) == 1);
  CHECK(World.serving({model::ModelId("m1"), "v1", model::AdapterId("a")}) ==
        1);
  CHECK(AllRecorded);
  CHECK(World.holder().counts().m_ModelLoads == 4);
  CHECK(World.holder().moves().empty());
  CHECK(World.holder().findings().empty());
}

TEST_CASE("no order leaves while the store is out") {
  PlacementCluster World(
      share(makeSmallIntent(2, 2, model::FencingMode::Refuses)), 1);
  World.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::Down;
  };
  World.grantLease(0);
  World.runFor(1min);
  CHECK(World.m_Engines[0].m_LoadsStarted + World.m_Engines[1].m_LoadsStarted ==
        0);
  CHECK_FALSE(World.holder().findings().empty());
}

} // namespace bronzepass::unit_tests::placement
