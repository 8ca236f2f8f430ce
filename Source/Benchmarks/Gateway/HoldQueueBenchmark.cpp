// Measures the order of held requests at the number that a busy node holds.

#include "Benchmarks/Routing/AllocationCounter.h"
#include "Core/Gateway/HoldQueue.h"

#include <benchmark/benchmark.h>
#include <random>

namespace bronzepass::benchmarks::gateway {

using namespace core;          // NOLINT: names of the measured code.
using namespace core::gateway; // NOLINT

namespace {

constexpr model::TimePoint StartTime{std::chrono::hours(1)};
constexpr uint64_t Held = 512;
constexpr uint64_t Organisations = 40;

HeldRequest drawn(uint64_t Number, uint64_t Lanes, std::mt19937_64 &Random) {
  HeldRequest Request;
  Request.m_Number = {Number};
  Request.m_Lane = Random() % Lanes;
  Request.m_Order = HoldOrder::Slack;
  Request.m_Rank = Random() % 3;
  Request.m_Organisation = 1 + Random() % Organisations;
  Request.m_LatestStart = StartTime + model::Duration(Random() % 6000000);
  Request.m_LateUntil = Request.m_LatestStart + std::chrono::seconds(3);
  Request.m_CostMs = 10;
  return Request;
}

/// One request leaves and one comes, with as many held in so many lanes.
void orderHeld(benchmark::State &State) {
  std::mt19937_64 Random(1);
  HoldQueue Queue;
  const uint64_t Lanes = State.range(0);
  const HoldRoom Room{0, 1.0 / static_cast<double>(Held)};
  uint64_t Number = 0;
  while (Queue.size() < Held)
    Queue.admit(drawn(++Number, Lanes, Random), Room, StartTime);
  std::vector<HeldRequest> Drawn;
  for (int I = 0; I < 4096; ++I)
    Drawn.push_back(drawn(0, Lanes, Random));
  const uint64_t Before = routing::allocationCount();
  for ([[maybe_unused]] auto _ : State) {
    Queue.onSent(Queue.front().m_Request.m_Number, StartTime);
    HeldRequest Next = Drawn[Number % Drawn.size()];
    Next.m_Number = {++Number};
    benchmark::DoNotOptimize(Queue.admit(Next, Room, StartTime));
  }
  State.counters["allocations"] =
      static_cast<double>(routing::allocationCount() - Before) /
      static_cast<double>(State.iterations());
  State.counters["held"] = static_cast<double>(Queue.size());
}

BENCHMARK(orderHeld)->Arg(1)->Arg(11)->Arg(147);

} // namespace

} // namespace bronzepass::benchmarks::gateway

BENCHMARK_MAIN();
