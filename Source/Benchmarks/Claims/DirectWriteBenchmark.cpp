// The way that was not taken: every entry node writes to a shard's object
// itself and tries again where another write came first.
#include "UnitTests/Fakes/FixedRandom.h"

#include <benchmark/benchmark.h>
#include <cmath>
#include <queue>
#include <vector>

namespace bronzepass::benchmarks::claims {

namespace {

constexpr double CallSeconds = 0.005;
constexpr double LoadSeconds = 30;
constexpr uint64_t Seed = 1;

enum class Stage { Read, Write };

/// One claim's next step; a read returns the version that its write expects.
struct Step {
  double m_At = 0;
  Stage m_Stage = Stage::Read;
  size_t m_Shard = 0;
  uint64_t m_Version = 0;

  bool operator>(const Step &Other) const { return m_At > Other.m_At; }
};

struct Totals {
  double m_Calls = 0;
  double m_Writes = 0;
  double m_Done = 0;
  double m_Waited = 0;
};

using Steps = std::priority_queue<Step, std::vector<Step>, std::greater<>>;

/// Claims and outcomes alike are one change of a shard's object each.
Steps arrivals(double PerSecond, size_t Shards) {
  unit_tests::fakes::FixedRandom Random(Seed);
  Steps Queue;
  double At = 0;
  while (At < LoadSeconds) {
    const double Uniform = (Random.next() >> 11) * 0x1p-53;
    At += -std::log(1 - Uniform) / PerSecond;
    Queue.push({At, Stage::Read, Random.next() % Shards, 0});
  }
  return Queue;
}

Totals play(double PerSecond, size_t Shards) {
  std::vector<uint64_t> Versions(Shards, 0);
  Steps Queue = arrivals(PerSecond, Shards);
  Totals T;
  while (!Queue.empty()) {
    Step S = Queue.top();
    Queue.pop();
    ++T.m_Calls;
    T.m_Waited += CallSeconds;
    if (S.m_Stage == Stage::Read) {
      Queue.push(
          {S.m_At + CallSeconds, Stage::Write, S.m_Shard, Versions[S.m_Shard]});
      continue;
    }
    ++T.m_Writes;
    if (S.m_Version == Versions[S.m_Shard]) {
      ++Versions[S.m_Shard];
      ++T.m_Done;
      continue;
    }
    Queue.push({S.m_At + CallSeconds, Stage::Read, S.m_Shard, 0});
  }
  return T;
}

/// Arguments: claims per second (each one claim and one outcome), shards.
void directWrites(benchmark::State &State) {
  Totals T;
  for (auto _ : State)
    T = play(2.0 * State.range(0), State.range(1));
  State.counters["calls/s"] = T.m_Calls / LoadSeconds;
  State.counters["writes/s"] = T.m_Writes / LoadSeconds;
  State.counters["calls_per_claim"] = 2 * T.m_Calls / T.m_Done;
  State.counters["mean_ms"] = 1000 * T.m_Waited / T.m_Done;
}
BENCHMARK(directWrites)
    ->ArgNames({"claims", "shards"})
    ->Args({10, 64})
    ->Args({50, 64})
    ->Args({200, 64})
    ->Args({800, 64})
    ->Args({200, 8})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace bronzepass::benchmarks::claims
