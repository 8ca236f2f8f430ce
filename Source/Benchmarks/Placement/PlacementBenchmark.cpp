// Time of a full plan and of one incremental step, and the state's size.
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
  // One pool of the whole fleet: more than any one node is to hold.
  return {"fleet", 840, 7, 720, 10'000, 200, 800, 20};
}

/// A core with its ledgers claimed and nothing placed yet.
std::unique_ptr<PlacementCluster> claimed(const DeploymentSize &Size) {
  model::Intent Empty = makeIntent(Size);
  Empty.m_Models.clear();
  Empty.m_Adapters.clear();
  auto World = std::make_unique<PlacementCluster>(
      std::make_shared<const model::Intent>(std::move(Empty)), 1);
  World->grantLease(0);
  World->runFor(std::chrono::minutes(2));
  return World;
}

void fullPlan(benchmark::State &State) {
  const DeploymentSize Size = sizeOf(State.range(0));
  model::Intent Declared = makeIntent(Size);
  Declared.m_Generation = {2};
  const auto Value = std::make_shared<const model::Intent>(std::move(Declared));
  for (auto _ : State) {
    State.PauseTiming();
    std::unique_ptr<PlacementCluster> World = claimed(Size);
    core::ports::EffectList Effects;
    State.ResumeTiming();
    World->holder().intentChanged(Value, World->m_Now, Effects);
    State.PauseTiming();
    State.counters["moves"] = double(World->holder().moves().size());
    World.reset();
    State.ResumeTiming();
  }
}

/// Everything is placed; then an engine reports one copy less, again and again.
void incrementalStep(benchmark::State &State) {
  const DeploymentSize Size = sizeOf(State.range(0));
  const size_t Before = mallinfo2().uordblks;
  PlacementCluster World(
      std::make_shared<const model::Intent>(makeIntent(Size)), 1);
  World.grantLease(0);
  for (unit_tests::fakes::FakeEngine &Engine : World.m_Engines)
    Engine.m_LoadTime = std::chrono::seconds(10);
  World.runFor(std::chrono::minutes(25));
  size_t Engine = 0;
  for (auto _ : State) {
    State.PauseTiming();
    Engine = (Engine + 1) % World.m_Engines.size();
    auto &Copies = World.m_Engines[Engine].m_Copies;
    if (!Copies.empty())
      Copies.erase(std::prev(Copies.end()));
    World.m_Now += std::chrono::milliseconds(10);
    const model::EngineReport Report =
        World.m_Engines[Engine].report(World.m_Now);
    core::ports::EffectList Effects;
    State.ResumeTiming();
    World.holder().reportReceived(Report, World.m_Now, Effects);
  }
  State.counters["waiting"] = double(World.holder().findings().size());
  State.counters["world_MB"] =
      double(mallinfo2().uordblks - Before) / 1024 / 1024;
}

/// A tick with nothing to do but look at every engine.
void quietTick(benchmark::State &State) {
  PlacementCluster World(
      std::make_shared<const model::Intent>(makeIntent(sizeOf(State.range(0)))),
      1);
  World.grantLease(0);
  for (unit_tests::fakes::FakeEngine &Engine : World.m_Engines)
    Engine.m_LoadTime = std::chrono::seconds(10);
  World.runFor(std::chrono::minutes(25));
  for (auto _ : State) {
    core::ports::EffectList Effects;
    World.holder().tick(World.m_Now, Effects);
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
