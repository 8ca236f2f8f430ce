#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId version(uint32_t Model, const std::string &Version = "v1") {
  return {model::ModelId("m" + std::to_string(Model)), Version, {}};
}

model::SelectorSpec selector(model::SelectorAction Action,
                             const std::string &Key, const std::string &Value) {
  return {
      .m_Name = Key + Value, .m_Action = Action, .m_Models = {{{Key, Value}}}};
}

std::shared_ptr<const model::Intent> next(const PlacementCluster &World,
                                          model::Intent Value) {
  Value.m_Generation = {World.m_Intent->m_Generation.m_Value + 1};
  return share(std::move(Value));
}

/// Engines that serve the artifact, by position.
std::vector<size_t> where(const PlacementCluster &World,
                          const model::ArtifactId &Artifact) {
  std::vector<size_t> Found;
  for (size_t I = 0; I < World.m_Engines.size(); ++I)
    if (World.m_Engines[I].serves(Artifact))
      Found.push_back(I);
  return Found;
}

} // namespace

TEST_CASE("models apart never share an engine, models together do") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  for (uint32_t I = 0; I < 4; ++I)
    Intent.m_Models[I].m_Labels["group"] = I < 2 ? "apart" : "together";
  Intent.m_Selectors = {
      selector(model::SelectorAction::Apart, "group", "apart"),
      selector(model::SelectorAction::Together, "group", "together")};
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  CHECK(where(World, version(0)) != where(World, version(1)));
  CHECK(where(World, version(2)) == where(World, version(3)));
}

TEST_CASE("copies are spread over failure domains") {
  model::Intent Intent = makeSmallIntent(4, 1, model::FencingMode::Refuses);
  Intent.m_Models[0].m_MinCopies = 2;
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  const std::vector<size_t> Copies = where(World, version(0));
  REQUIRE(Copies.size() == 2);
  CHECK(World.m_Engines[Copies[0]].m_Spec.m_Domain !=
        World.m_Engines[Copies[1]].m_Spec.m_Domain);
}

TEST_CASE("a drained engine is emptied without a model going silent") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  Intent.m_Selectors.push_back({.m_Name = "drain",
                                .m_Action = model::SelectorAction::Drain,
                                .m_Endpoints = {model::EndpointId("e0")}});
  bool Silent = false;
  World.m_AfterStep = [&] {
    for (uint32_t I = 0; I < 4; ++I)
      Silent = Silent || World.serving(version(I)) == 0;
  };
  World.changeIntent(next(World, Intent));
  World.runFor(5min);
  CHECK(World.m_Engines[0].m_Copies.empty());
  CHECK_FALSE(Silent);
}

TEST_CASE("a new version answers before the old one goes") {
  model::Intent Intent = makeSmallIntent(2, 4, model::FencingMode::Ignores);
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  for (model::ModelSpec &Model : Intent.m_Models)
    Model.m_Versions.front().m_Version = "v2";
  bool Silent = false;
  World.m_AfterStep = [&] {
    for (uint32_t I = 0; I < 4; ++I)
      Silent = Silent ||
               World.serving(version(I)) + World.serving(version(I, "v2")) == 0;
  };
  World.changeIntent(next(World, Intent));
  World.runFor(20min);
  for (uint32_t I = 0; I < 4; ++I) {
    CHECK(World.serving(version(I)) == 0);
    CHECK(World.serving(version(I, "v2")) == 1);
  }
  CHECK_FALSE(Silent);
}

TEST_CASE("a retired model goes once nobody asks for it") {
  model::Intent Intent = makeSmallIntent(2, 2, model::FencingMode::Refuses);
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  Intent.m_Selectors = {selector(model::SelectorAction::Retire, "name", "m0")};
  World.changeIntent(next(World, Intent));
  for (int I = 0; I < 12; ++I) {
    World.holder().demandReceived({{.m_Artifact = version(0), .m_Arrivals = 1}},
                                  World.m_Now);
    World.runFor(10s);
  }
  CHECK(World.serving(version(0)) == 1);
  World.runFor(1min);
  CHECK(World.serving(version(0)) == 0);
  CHECK(World.serving(version(1)) == 1);
}

TEST_CASE("a role is changed by order") {
  model::Intent Intent = makeSmallIntent(2, 1, model::FencingMode::Refuses);
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  Intent.m_Pools.front().m_Endpoints[1].m_Role = model::EngineRole::Prefill;
  World.changeIntent(next(World, Intent));
  World.runFor(20s);
  CHECK(World.m_Engines[1].m_Spec.m_Role == model::EngineRole::Prefill);
  CHECK(World.m_Engines[0].m_Spec.m_Role == model::EngineRole::Mixed);
}

TEST_CASE("where memory is short a finding names what waits and why") {
  PlacementCluster World(
      share(makeSmallIntent(2, 7, model::FencingMode::Refuses)), 1);
  World.grantLease(0);
  World.runFor(5min);
  REQUIRE(World.holder().findings().size() == 1);
  const std::string Message = World.holder().findings().front().m_Message;
  CHECK(Message.find("waits") != std::string::npos);
  CHECK(Message.find("32212254720 bytes") != std::string::npos);
}

TEST_CASE("the weight store's limits hold across a take-over") {
  model::Intent Intent = makeSmallIntent(6, 16, model::FencingMode::Refuses);
  Intent.m_WeightStore = {2, 3};
  PlacementCluster World(share(Intent), 2);
  uint32_t MostLoading = 0;
  World.m_AfterStep = [&] {
    uint32_t Loading = 0;
    for (const fakes::FakeEngine &Engine : World.m_Engines)
      Loading += Engine.loading();
    MostLoading = std::max(MostLoading, Loading);
  };
  World.grantLease(0);
  World.runFor(20s);
  World.kill(0);
  World.grantLease(1);
  World.runFor(8min);
  CHECK(MostLoading == 3);
  for (uint32_t I = 0; I < 16; ++I)
    CHECK(World.serving(version(I)) == 1);
}

TEST_CASE("lost last copies are loaded in order of waiting demand") {
  model::Intent Intent = makeSmallIntent(3, 3, model::FencingMode::Refuses);
  Intent.m_WeightStore = {2, 1};
  Intent.m_Weights.m_Move = 1e9;
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(200s);
  for (fakes::FakeEngine &Engine : World.m_Engines)
    Engine.restart();
  World.holder().demandReceived(
      {{.m_Artifact = version(2), .m_Arrivals = 50, .m_Waiting = 40}},
      World.m_Now);
  // The first loss to be reported is loaded at once, then the one asked for.
  World.runFor(120s);
  CHECK(World.serving(version(2)) == 1);
  CHECK(World.serving(version(0)) + World.serving(version(1)) == 1);
}

TEST_CASE("a take-over loads nothing that is only not known yet") {
  PlacementCluster World(
      share(makeSmallIntent(3, 5, model::FencingMode::Refuses)), 2);
  World.grantLease(0);
  World.runFor(5min);
  World.kill(0);
  // The store answers one call in four only.
  uint32_t Calls = 0;
  World.m_Store.m_Fault = [&Calls](const ports::StoreCall &) {
    return ++Calls % 4 == 0 ? fakes::StoreFault::None
                            : fakes::StoreFault::LostCall;
  };
  World.grantLease(1);
  World.runFor(9s);
  World.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::None;
  };
  World.runFor(1min);
  CHECK(World.holder().counts().m_ModelLoads == 0);
}

TEST_CASE("an engine that flaps takes no new load when it comes back") {
  model::Intent Intent = makeSmallIntent(3, 3, model::FencingMode::Refuses);
  PlacementCluster World(share(Intent), 1);
  World.grantLease(0);
  World.runFor(2min);
  for (int I = 0; I < 3; ++I) {
    World.m_Engines[0].restart();
    World.m_Reachable[0] = false;
    World.runFor(10s);
    World.m_Reachable[0] = true;
    World.runFor(2min);
  }
  World.m_Engines[0].restart();
  World.m_Reachable[0] = false;
  World.runFor(10s);
  World.m_Reachable[0] = true;
  World.runFor(5s);
  // It is the emptiest one now.
  Intent.m_Models.push_back(Intent.m_Models.front());
  Intent.m_Models.back().m_Name = model::ModelId("m3");
  World.changeIntent(next(World, Intent));
  World.runFor(1min);
  CHECK(World.serving(version(3)) == 1);
  CHECK_FALSE(World.m_Engines[0].serves(version(3)));
}

TEST_CASE("a copy that nobody ordered counts at once") {
  PlacementCluster World(
      share(makeSmallIntent(1, 3, model::FencingMode::Refuses)), 1);
  World.m_Engines[0].apply(
      {.m_Artifact = version(9), .m_MemoryBytes = 40 * GiB}, World.m_Now);
  World.grantLease(0);
  World.runFor(20s);
  CHECK(World.m_Engines[0].m_PeakBytes <= 90 * GiB);
  CHECK(World.holder().engines().front().m_PromisedBytes <= 100 * GiB);
}

TEST_CASE("what a restarted engine lost leaves room for something else") {
  for (model::FencingMode Fencing :
       {model::FencingMode::Refuses, model::FencingMode::Ignores}) {
    model::Intent Intent = makeSmallIntent(1, 1, Fencing);
    Intent.m_Models[0].m_Versions[0].m_MemoryBytes = 60 * GiB;
    PlacementCluster World(share(Intent), 1);
    World.grantLease(0);
    World.runFor(2min);
    REQUIRE(World.serving(version(0)) == 1);
    World.m_Engines[0].restart();
    Intent.m_Models[0].m_Name = model::ModelId("m1");
    World.changeIntent(next(World, Intent));
    World.runFor(5min);
    CHECK(World.serving(version(1)) == 1);
    CHECK(World.m_Engines[0].m_PeakBytes == 60 * GiB);
  }
}

TEST_CASE("a load that an engine has no room for goes elsewhere") {
  PlacementCluster World(
      share(makeSmallIntent(2, 1, model::FencingMode::Refuses)), 1);
  World.m_Engines[0].m_IsFull = true;
  World.grantLease(0);
  World.runFor(3min);
  CHECK(World.m_Engines[1].serves(version(0)));
}

TEST_CASE("all nodes lost at once: ledgers and reports are enough") {
  PlacementCluster World(
      share(makeSmallIntent(3, 5, model::FencingMode::Ignores)), 2);
  World.grantLease(0);
  World.runFor(5min);
  World.kill(0);
  World.kill(1);
  World.addNode();
  World.grantLease(2);
  World.runFor(1min);
  CHECK(World.holder().counts().m_ModelLoads == 0);
  CHECK(World.holder().moves().empty());
  for (uint32_t I = 0; I < 5; ++I)
    CHECK(World.holder().explain(version(I), World.m_Now).size() == 1);
}

} // namespace bronzepass::unit_tests::placement
