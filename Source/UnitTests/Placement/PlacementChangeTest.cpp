#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

namespace {

model::ArtifactId artifact(uint32_t Model, const std::string &Version = "v1") {
  return {model::ModelId("m" + std::to_string(Model)), Version, {}};
}

model::SelectorSpec selector(model::SelectorAction Action,
                             const std::string &Key, const std::string &Value) {
  return {
      .m_Name = Key + Value, .m_Action = Action, .m_Models = {{{Key, Value}}}};
}

std::shared_ptr<const model::Intent>
nextGeneration(const PlacementCluster &Cluster, model::Intent Value) {
  Value.m_Generation = {Cluster.m_Intent->m_Generation.m_Value + 1};
  return makeShared(std::move(Value));
}

/// Indices of the engines that serve the artifact.
std::vector<size_t> enginesServing(const PlacementCluster &Cluster,
                                   const model::ArtifactId &Artifact) {
  std::vector<size_t> Found;
  for (size_t I = 0; I < Cluster.m_Engines.size(); ++I)
    if (Cluster.m_Engines[I].serves(Artifact))
      Found.push_back(I);
  return Found;
}

} // namespace

TEST_CASE("Apart models never share an engine, Together models do") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  for (uint32_t I = 0; I < 4; ++I)
    Intent.m_Models[I].m_Labels["group"] = I < 2 ? "apart" : "together";
  Intent.m_Selectors = {
      selector(model::SelectorAction::Apart, "group", "apart"),
      selector(model::SelectorAction::Together, "group", "together")};
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  CHECK(enginesServing(Cluster, artifact(0)) !=
        enginesServing(Cluster, artifact(1)));
  CHECK(enginesServing(Cluster, artifact(2)) ==
        enginesServing(Cluster, artifact(3)));
}

TEST_CASE("copies are spread over failure domains") {
  model::Intent Intent = makeSmallIntent(4, 1, model::FencingMode::Refuses);
  Intent.m_Models[0].m_MinCopies = 2;
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  const std::vector<size_t> Copies = enginesServing(Cluster, artifact(0));
  REQUIRE(Copies.size() == 2);
  CHECK(Cluster.m_Engines[Copies[0]].m_Spec.m_Domain !=
        Cluster.m_Engines[Copies[1]].m_Spec.m_Domain);
}

TEST_CASE("a drained engine is emptied while every model keeps answering") {
  model::Intent Intent = makeSmallIntent(3, 4, model::FencingMode::Refuses);
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  Intent.m_Selectors.push_back({.m_Name = "drain",
                                .m_Action = model::SelectorAction::Drain,
                                .m_Endpoints = {model::EndpointId("e0")}});
  bool AnyUnserved = false;
  Cluster.m_AfterStep = [&] {
    for (uint32_t I = 0; I < 4; ++I)
      AnyUnserved = AnyUnserved || Cluster.serving(artifact(I)) == 0;
  };
  Cluster.changeIntent(nextGeneration(Cluster, Intent));
  Cluster.runFor(5min);
  CHECK(Cluster.m_Engines[0].m_Copies.empty());
  CHECK_FALSE(AnyUnserved);
}

TEST_CASE("a new version answers before the old one is unloaded") {
  model::Intent Intent = makeSmallIntent(2, 4, model::FencingMode::Ignores);
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  for (model::ModelSpec &Model : Intent.m_Models)
    Model.m_Versions.front().m_Version = "v2";
  bool AnyUnserved = false;
  Cluster.m_AfterStep = [&] {
    for (uint32_t I = 0; I < 4; ++I)
      AnyUnserved = AnyUnserved || Cluster.serving(artifact(I)) +
                                           Cluster.serving(artifact(I, "v2")) ==
                                       0;
  };
  Cluster.changeIntent(nextGeneration(Cluster, Intent));
  Cluster.runFor(20min);
  for (uint32_t I = 0; I < 4; ++I) {
    CHECK(Cluster.serving(artifact(I)) == 0);
    CHECK(Cluster.serving(artifact(I, "v2")) == 1);
  }
  CHECK_FALSE(AnyUnserved);
}

TEST_CASE("a retired model is unloaded once requests for it have stopped") {
  model::Intent Intent = makeSmallIntent(2, 2, model::FencingMode::Refuses);
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  Intent.m_Selectors = {selector(model::SelectorAction::Retire, "name", "m0")};
  Cluster.changeIntent(nextGeneration(Cluster, Intent));
  for (int I = 0; I < 12; ++I) {
    Cluster.holder().demandReceived(
        {{.m_Artifact = artifact(0), .m_Arrivals = 1}}, Cluster.m_Now);
    Cluster.runFor(10s);
  }
  CHECK(Cluster.serving(artifact(0)) == 1);
  Cluster.runFor(1min);
  CHECK(Cluster.serving(artifact(0)) == 0);
  CHECK(Cluster.serving(artifact(1)) == 1);
}

TEST_CASE("an engine's role is changed by an order") {
  model::Intent Intent = makeSmallIntent(2, 1, model::FencingMode::Refuses);
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  Intent.m_Pools.front().m_Endpoints[1].m_Role = model::EngineRole::Prefill;
  Cluster.changeIntent(nextGeneration(Cluster, Intent));
  Cluster.runFor(20s);
  CHECK(Cluster.m_Engines[1].m_Spec.m_Role == model::EngineRole::Prefill);
  CHECK(Cluster.m_Engines[0].m_Spec.m_Role == model::EngineRole::Mixed);
}

TEST_CASE("when memory is short, a finding names what waits and why") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(2, 7, model::FencingMode::Refuses)), 1);
  Cluster.grantLease(0);
  Cluster.runFor(5min);
  REQUIRE(Cluster.holder().findings().size() == 1);
  const std::string Message = Cluster.holder().findings().front().m_Message;
  CHECK(Message.find("waits") != std::string::npos);
  CHECK(Message.find("32212254720 bytes") != std::string::npos);
}

TEST_CASE("the weight store's limits hold across a takeover") {
  model::Intent Intent = makeSmallIntent(6, 16, model::FencingMode::Refuses);
  Intent.m_WeightStore = {2, 3};
  PlacementCluster Cluster(makeShared(Intent), 2);
  uint32_t MostLoading = 0;
  Cluster.m_AfterStep = [&] {
    uint32_t Loading = 0;
    for (const fakes::FakeEngine &Engine : Cluster.m_Engines)
      Loading += Engine.loading();
    MostLoading = std::max(MostLoading, Loading);
  };
  Cluster.grantLease(0);
  Cluster.runFor(20s);
  Cluster.kill(0);
  Cluster.grantLease(1);
  Cluster.runFor(8min);
  CHECK(MostLoading == 3);
  for (uint32_t I = 0; I < 16; ++I)
    CHECK(Cluster.serving(artifact(I)) == 1);
}

TEST_CASE("lost last copies are reloaded in the order of waiting demand") {
  model::Intent Intent = makeSmallIntent(3, 3, model::FencingMode::Refuses);
  Intent.m_WeightStore = {2, 1};
  Intent.m_Weights.m_Move = 1e9;
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(200s);
  for (fakes::FakeEngine &Engine : Cluster.m_Engines)
    Engine.restart();
  Cluster.holder().demandReceived(
      {{.m_Artifact = artifact(2), .m_Arrivals = 50, .m_Waiting = 40}},
      Cluster.m_Now);
  // The first lost copy that is reported is loaded at once, then the one with
  // waiting demand.
  Cluster.runFor(120s);
  CHECK(Cluster.serving(artifact(2)) == 1);
  CHECK(Cluster.serving(artifact(0)) + Cluster.serving(artifact(1)) == 1);
}

TEST_CASE("a takeover does not reload copies that are not reported yet") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(3, 5, model::FencingMode::Refuses)), 2);
  Cluster.grantLease(0);
  Cluster.runFor(5min);
  Cluster.kill(0);
  // The store answers only one call in four.
  uint32_t Calls = 0;
  Cluster.m_Store.m_Fault = [&Calls](const ports::StoreCall &) {
    return ++Calls % 4 == 0 ? fakes::StoreFault::None
                            : fakes::StoreFault::LostCall;
  };
  Cluster.grantLease(1);
  Cluster.runFor(9s);
  Cluster.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::None;
  };
  Cluster.runFor(1min);
  CHECK(Cluster.holder().counts().m_ModelLoads == 0);
}

TEST_CASE("an engine that flaps takes no new load when it comes back") {
  model::Intent Intent = makeSmallIntent(3, 3, model::FencingMode::Refuses);
  PlacementCluster Cluster(makeShared(Intent), 1);
  Cluster.grantLease(0);
  Cluster.runFor(2min);
  for (int I = 0; I < 3; ++I) {
    Cluster.m_Engines[0].restart();
    Cluster.m_Reachable[0] = false;
    Cluster.runFor(10s);
    Cluster.m_Reachable[0] = true;
    Cluster.runFor(2min);
  }
  Cluster.m_Engines[0].restart();
  Cluster.m_Reachable[0] = false;
  Cluster.runFor(10s);
  Cluster.m_Reachable[0] = true;
  Cluster.runFor(5s);
  // The flapping engine has the most free memory now.
  Intent.m_Models.push_back(Intent.m_Models.front());
  Intent.m_Models.back().m_Name = model::ModelId("m3");
  Cluster.changeIntent(nextGeneration(Cluster, Intent));
  Cluster.runFor(1min);
  CHECK(Cluster.serving(artifact(3)) == 1);
  CHECK_FALSE(Cluster.m_Engines[0].serves(artifact(3)));
}

TEST_CASE("memory of a copy that nobody ordered counts at once") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(1, 3, model::FencingMode::Refuses)), 1);
  Cluster.m_Engines[0].apply(
      {.m_Artifact = artifact(9), .m_MemoryBytes = 40 * GiB}, Cluster.m_Now);
  Cluster.grantLease(0);
  Cluster.runFor(20s);
  CHECK(Cluster.m_Engines[0].m_PeakBytes <= 90 * GiB);
  CHECK(Cluster.holder().engines().front().m_PromisedBytes <= 100 * GiB);
}

TEST_CASE("memory of copies lost in an engine restart is used for others") {
  for (model::FencingMode Fencing :
       {model::FencingMode::Refuses, model::FencingMode::Ignores}) {
    model::Intent Intent = makeSmallIntent(1, 1, Fencing);
    Intent.m_Models[0].m_Versions[0].m_MemoryBytes = 60 * GiB;
    PlacementCluster Cluster(makeShared(Intent), 1);
    Cluster.grantLease(0);
    Cluster.runFor(2min);
    REQUIRE(Cluster.serving(artifact(0)) == 1);
    Cluster.m_Engines[0].restart();
    Intent.m_Models[0].m_Name = model::ModelId("m1");
    Cluster.changeIntent(nextGeneration(Cluster, Intent));
    Cluster.runFor(5min);
    CHECK(Cluster.serving(artifact(1)) == 1);
    CHECK(Cluster.m_Engines[0].m_PeakBytes == 60 * GiB);
  }
}

TEST_CASE("a load for which an engine has no memory goes to another engine") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(2, 1, model::FencingMode::Refuses)), 1);
  Cluster.m_Engines[0].m_IsFull = true;
  Cluster.grantLease(0);
  Cluster.runFor(3min);
  CHECK(Cluster.m_Engines[1].serves(artifact(0)));
}

TEST_CASE(
    "after the loss of all nodes, ledgers and reports restore the state") {
  PlacementCluster Cluster(
      makeShared(makeSmallIntent(3, 5, model::FencingMode::Ignores)), 2);
  Cluster.grantLease(0);
  Cluster.runFor(5min);
  Cluster.kill(0);
  Cluster.kill(1);
  Cluster.addNode();
  Cluster.grantLease(2);
  Cluster.runFor(1min);
  CHECK(Cluster.holder().counts().m_ModelLoads == 0);
  CHECK(Cluster.holder().moves().empty());
  for (uint32_t I = 0; I < 5; ++I)
    CHECK(Cluster.holder().explain(artifact(I), Cluster.m_Now).size() == 1);
}

} // namespace bronzepass::unit_tests::placement
