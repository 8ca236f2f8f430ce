// Simulates an alternative that the system doesn't use, for comparison: every
// entry node writes to a shard's object itself, and retries after a conflict
// with another write.
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

/// The next store call of one claim; a read returns the version that the write
/// after it expects.
struct PendingCall {
  double m_At = 0;
  Stage m_Stage = Stage::Read;
  size_t m_Shard = 0;
  uint64_t m_Version = 0;

  bool operator>(const PendingCall &Other) const { return m_At > Other.m_At; }
};

struct Totals {
  double m_Calls = 0;
  double m_Writes = 0;
  double m_Committed = 0;
  double m_WaitedSeconds = 0;
};

using CallQueue =
    std::priority_queue<PendingCall, std::vector<PendingCall>, std::greater<>>;

/// Random arrivals of changes; a claim and an outcome are one change each of a
/// shard's object.
CallQueue arrivals(double PerSecond, size_t Shards) {
  unit_tests::fakes::FixedRandom Random(Seed);
  CallQueue Queue;
  double At = 0;
  while (At < LoadSeconds) {
    const double Uniform = (Random.next() >> 11) * 0x1p-53;
    At += -std::log(1 - Uniform) / PerSecond;
    Queue.push({At, Stage::Read, Random.next() % Shards, 0});
  }
  return Queue;
}

Totals simulate(double PerSecond, size_t Shards) {
  std::vector<uint64_t> Versions(Shards, 0);
  CallQueue Queue = arrivals(PerSecond, Shards);
  Totals Result;
  while (!Queue.empty()) {
    PendingCall Current = Queue.top();
    Queue.pop();
    ++Result.m_Calls;
    Result.m_WaitedSeconds += CallSeconds;
    if (Current.m_Stage == Stage::Read) {
      Queue.push({Current.m_At + CallSeconds, Stage::Write, Current.m_Shard,
                  Versions[Current.m_Shard]});
      continue;
    }
    ++Result.m_Writes;
    if (Current.m_Version == Versions[Current.m_Shard]) {
      ++Versions[Current.m_Shard];
      ++Result.m_Committed;
      continue;
    }
    Queue.push({Current.m_At + CallSeconds, Stage::Read, Current.m_Shard, 0});
  }
  return Result;
}

/// Arguments: claims per second (each one claim and one outcome), shards.
void directWrites(benchmark::State &State) {
  Totals Result;
  for (auto _ : State)
    Result = simulate(2.0 * State.range(0), State.range(1));
  State.counters["calls/s"] = Result.m_Calls / LoadSeconds;
  State.counters["writes/s"] = Result.m_Writes / LoadSeconds;
  State.counters["calls_per_claim"] = 2 * Result.m_Calls / Result.m_Committed;
  State.counters["mean_ms"] =
      1000 * Result.m_WaitedSeconds / Result.m_Committed;
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
