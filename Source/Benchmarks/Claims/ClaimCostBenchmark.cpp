// Measures the cost of claims: the real ClaimShards of 1 to 380 nodes with a
// store that answers in 5 ms of virtual time. The counters refer to virtual
// time; the time that google-benchmark prints is the real time taken by the
// events of all nodes.
#include "Core/Adapters/Codec/RecordCodec.h"
#include "UnitTests/Claims/ClaimNetwork.h"

#include <algorithm>
#include <benchmark/benchmark.h>

namespace bronzepass::benchmarks::claims {

using namespace core;
using core::claims::ClaimSettings;
using ports::ClaimVerdictKind;
using ports::StoreCall;
using ports::StoreVerb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using unit_tests::claims::ClaimNetwork;

namespace {

constexpr uint64_t Seed = 1;
constexpr model::Duration LoadTime = seconds(30);
constexpr model::Duration IdleTime = seconds(600);
constexpr model::Duration ArrivalPeriod = milliseconds(10);

struct Costs {
  uint64_t m_Reads = 0;
  uint64_t m_Writes = 0;
  uint64_t m_WrittenClaims = 0;
  uint64_t m_Granted = 0;
  uint64_t m_IdleCalls = 0;
  std::vector<double> m_VerdictMillis;
};

double percentile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  const size_t At = static_cast<size_t>(Fraction * (Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + At, Values.end());
  return Values[At];
}

void count(const StoreCall &Call, Costs &Result) {
  if (Call.m_Verb == StoreVerb::Get) {
    ++Result.m_Reads;
    return;
  }
  ++Result.m_Writes;
  if (Call.m_Record)
    Result.m_WrittenClaims +=
        std::get<model::ClaimShardRecord>(*Call.m_Record).m_Claims.size();
}

void collect(ClaimNetwork &Net, Costs &Result) {
  for (size_t I = 0; I < Net.size(); ++I)
    for (const auto &Entry : Net.node(I).m_Requests) {
      const unit_tests::claims::ClientRequest &Request = Entry.second;
      if (!Request.m_Verdict ||
          Request.m_Verdict->m_Kind != ClaimVerdictKind::Granted)
        continue;
      ++Result.m_Granted;
      Result.m_VerdictMillis.push_back(
          std::chrono::duration<double, std::milli>(Request.m_VerdictAt -
                                                    Request.m_SentAt)
              .count());
    }
}

/// Sends \p PerSecond claims of new keys to random nodes, then idles.
Costs measure(size_t Nodes, const ClaimSettings &Settings, size_t PerSecond) {
  ClaimNetwork Net(Nodes, Settings);
  Costs Result;
  Net.m_Store.m_Fault = [&Result](const StoreCall &Call) {
    count(Call, Result);
    return unit_tests::fakes::StoreFault::None;
  };
  unit_tests::fakes::FixedRandom Random(Seed);
  Net.run(seconds(1));
  double DueClaims = 0;
  for (model::Duration Passed{0}; Passed < LoadTime; Passed += ArrivalPeriod) {
    DueClaims +=
        PerSecond * std::chrono::duration<double>(ArrivalPeriod).count();
    for (; DueClaims >= 1; DueClaims -= 1)
      Net.sendRequest(Random.next() % Nodes, Random.next());
    Net.run(ArrivalPeriod);
  }
  Net.run(seconds(20));
  const uint64_t Before = Net.m_Store.callCount();
  Net.m_TickPeriod = seconds(1);
  Net.run(IdleTime);
  Result.m_IdleCalls = Net.m_Store.callCount() - Before;
  collect(Net, Result);
  return Result;
}

void report(benchmark::State &State, Costs &Result) {
  const double LoadSeconds = std::chrono::duration<double>(LoadTime).count();
  const double IdleSeconds = std::chrono::duration<double>(IdleTime).count();
  State.counters["granted/s"] = Result.m_Granted / LoadSeconds;
  State.counters["reads/s"] = Result.m_Reads / LoadSeconds;
  State.counters["writes/s"] = Result.m_Writes / LoadSeconds;
  State.counters["rest_calls/s"] = Result.m_IdleCalls / IdleSeconds;
  State.counters["claims_written_per_claim"] =
      Result.m_Granted ? double(Result.m_WrittenClaims) / Result.m_Granted : 0;
  State.counters["p50_ms"] = percentile(Result.m_VerdictMillis, 0.5);
  State.counters["p99_ms"] = percentile(Result.m_VerdictMillis, 0.99);
}

/// Arguments: nodes, claims offered per second.
void fleet(benchmark::State &State) {
  Costs Result;
  for (auto _ : State)
    Result = measure(State.range(0), ClaimSettings(), State.range(1));
  report(State, Result);
}
BENCHMARK(fleet)
    ->ArgNames({"nodes", "offered"})
    ->Args({8, 1})
    ->Args({8, 10})
    ->Args({8, 50})
    ->Args({8, 200})
    ->Args({380, 10})
    ->Args({380, 50})
    ->Args({380, 200})
    ->Args({380, 800})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// One shard, without (0) or with (1) a limit on writes, which is its share
/// (one of 64) of the fleet's limit.
void oneShard(benchmark::State &State) {
  ClaimSettings Settings;
  Settings.m_FleetWritesPerSecond /= Settings.m_ShardCount;
  Settings.m_ShardCount = 1;
  if (State.range(0) == 0)
    Settings.m_FleetWritesPerSecond = 1e6;
  Costs Result;
  for (auto _ : State)
    Result = measure(1, Settings, State.range(1));
  report(State, Result);
}
BENCHMARK(oneShard)
    ->ArgNames({"bounded", "offered"})
    ->Args({0, 100})
    ->Args({0, 1000})
    ->Args({1, 100})
    ->Args({1, 500})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

model::ClaimRecord sampleClaim(uint64_t Key, size_t AnswerBytes) {
  model::ClaimRecord Claim{.m_KeyHash = Key * 0x9E3779B97F4A7C15,
                           .m_BodyHash = Key * 0xC2B2AE3D27D4EB4F,
                           .m_State = model::ClaimState::Done,
                           .m_Runner = model::NodeId("entry-17-1a2b3c4d"),
                           .m_ClaimRequestId = Key,
                           .m_TakenAt =
                               model::TimePoint(seconds(1'800'000'000)),
                           .m_Status = 200};
  Claim.m_Answer.assign(AnswerBytes, 'a');
  return Claim;
}

/// Bytes of one claim: as JSON in the store, and as counted against the size
/// limit of a shard.
/// Argument: bytes of the answer.
void claimBytes(benchmark::State &State) {
  constexpr uint64_t Claims = 200;
  model::ClaimShardRecord Record;
  size_t Counted = 0;
  for (uint64_t Key = 1; Key <= Claims; ++Key) {
    Record.m_Claims.push_back(sampleClaim(Key, State.range(0)));
    Counted += core::claims::encodedBytes(Record.m_Claims.back());
  }
  adapters::codec::RecordCodec Codec;
  std::string Text;
  for (auto _ : State)
    Text = Codec.encode(Record).value_or("");
  State.counters["json"] = double(Text.size()) / Claims;
  State.counters["counted"] = double(Counted) / Claims;
}
BENCHMARK(claimBytes)->ArgName("answer")->Arg(0)->Arg(200)->Arg(2000);

} // namespace

} // namespace bronzepass::benchmarks::claims
