// Measures the time of a full plan, of an incremental step and of an idle tick,
// and the size of the state.
#include "Benchmarks/Placement/Deployment.h"
#include "UnitTests/Placement/PlacementCluster.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace bronzepass::benchmarks::placement {

namespace {

using unit_tests::placement::PlacementCluster;

DeploymentSize sizeOf(int64_t Which) {
  if (Which == 0)
    return dielectrica();
  if (Which == 1)
    return nileBulkyHaul();
  // The whole fleet as one pool, more than any node is meant to manage.
  return {"fleet", 840, 7, 720, 10'000, 200, 800, 20};
}

/// A placement core that has claimed its ledgers and placed nothing yet.
std::unique_ptr<PlacementCluster>
makeClusterWithLedgers(const DeploymentSize &Size) {
  model::Intent Empty = makeIntent(Size);
  Empty.m_Models.clear();
  Empty.m_Adapters.clear();
  auto Cluster = std::make_unique<PlacementCluster>(
      std::make_shared<const model::Intent>(std::move(Empty)), 1);
  Cluster->grantLease(0);
  Cluster->runFor(std::chrono::minutes(2));
  return Cluster;
}

void fullPlan(benchmark::State &State) {
  const DeploymentSize Size = sizeOf(State.range(0));
  model::Intent Declared = makeIntent(Size);
  Declared.m_Generation = {2};
  const auto Value = std::make_shared<const model::Intent>(std::move(Declared));
  for (auto _ : State) {
    State.PauseTiming();
    std::unique_ptr<PlacementCluster> Cluster = makeClusterWithLedgers(Size);
    core::ports::EffectList Effects;
    State.ResumeTiming();
    Cluster->holder().intentChanged(Value, Cluster->m_Now, Effects);
    State.PauseTiming();
    State.counters["moves"] = double(Cluster->holder().moves().size());
    Cluster.reset();
    State.ResumeTiming();
  }
}

/// Starts with everything placed; in each iteration an engine reports that it
/// has lost a copy.
void incrementalStep(benchmark::State &State) {
  const DeploymentSize Size = sizeOf(State.range(0));
  const size_t Before = mallinfo2().uordblks;
  PlacementCluster Cluster(
      std::make_shared<const model::Intent>(makeIntent(Size)), 1);
  Cluster.grantLease(0);
  for (unit_tests::fakes::FakeEngine &Engine : Cluster.m_Engines)
    Engine.m_LoadTime = std::chrono::seconds(10);
  Cluster.runFor(std::chrono::minutes(25));
  size_t Engine = 0;
  for (auto _ : State) {
    State.PauseTiming();
    Engine = (Engine + 1) % Cluster.m_Engines.size();
    auto &Copies = Cluster.m_Engines[Engine].m_Copies;
    if (!Copies.empty())
      Copies.erase(std::prev(Copies.end()));
    Cluster.m_Now += std::chrono::milliseconds(10);
    const model::EngineReport Report =
        Cluster.m_Engines[Engine].report(Cluster.m_Now);
    core::ports::EffectList Effects;
    State.ResumeTiming();
    Cluster.holder().reportReceived(Report, Cluster.m_Now, Effects);
  }
  State.counters["waiting"] = double(Cluster.holder().findings().size());
  State.counters["world_MB"] =
      double(mallinfo2().uordblks - Before) / 1024 / 1024;
}

/// A tick that checks every engine and finds nothing to do.
void quietTick(benchmark::State &State) {
  PlacementCluster Cluster(
      std::make_shared<const model::Intent>(makeIntent(sizeOf(State.range(0)))),
      1);
  Cluster.grantLease(0);
  for (unit_tests::fakes::FakeEngine &Engine : Cluster.m_Engines)
    Engine.m_LoadTime = std::chrono::seconds(10);
  Cluster.runFor(std::chrono::minutes(25));
  for (auto _ : State) {
    core::ports::EffectList Effects;
    Cluster.holder().tick(Cluster.m_Now, Effects);
  }
}

BENCHMARK(fullPlan)
    ->DenseRange(0, 2)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(5);
BENCHMARK(incrementalStep)
    ->DenseRange(0, 2)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(500);
BENCHMARK(quietTick)
    ->DenseRange(0, 2)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(200);

} // namespace

} // namespace bronzepass::benchmarks::placement
