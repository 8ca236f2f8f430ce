// What claims cost: the real ClaimShards of 1 to 380 nodes over a store that
// answers in 5 ms of virtual time. The counters are of virtual time; the time
// that google-benchmark prints is what the whole fleet's events took here.
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
constexpr model::Duration RestTime = seconds(600);
constexpr model::Duration Arrival = milliseconds(10);

struct Costs {
  uint64_t m_Reads = 0;
  uint64_t m_Writes = 0;
  uint64_t m_WrittenClaims = 0;
  uint64_t m_Granted = 0;
  uint64_t m_RestCalls = 0;
  std::vector<double> m_Millis;
};

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  const size_t At = static_cast<size_t>(Part * (Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + At, Values.end());
  return Values[At];
}

void count(const StoreCall &Call, Costs &C) {
  if (Call.m_Verb == StoreVerb::Get) {
    ++C.m_Reads;
    return;
  }
  ++C.m_Writes;
  if (Call.m_Record)
    C.m_WrittenClaims +=
        std::get<model::ClaimShardRecord>(*Call.m_Record).m_Claims.size();
}

void collect(ClaimNetwork &Net, Costs &C) {
  for (size_t I = 0; I < Net.size(); ++I)
    for (const auto &Entry : Net.node(I).m_Requests) {
      const unit_tests::claims::ClientRequest &A = Entry.second;
      if (!A.m_Verdict || A.m_Verdict->m_Kind != ClaimVerdictKind::Granted)
        continue;
      ++C.m_Granted;
      C.m_Millis.push_back(
          std::chrono::duration<double, std::milli>(A.m_VerdictAt - A.m_SentAt)
              .count());
    }
}

/// \p PerSecond claims of new keys at random nodes, then rest.
Costs measure(size_t Nodes, const ClaimSettings &Settings, size_t PerSecond) {
  ClaimNetwork Net(Nodes, Settings);
  Costs C;
  Net.m_Store.m_Fault = [&C](const StoreCall &Call) {
    count(Call, C);
    return unit_tests::fakes::StoreFault::None;
  };
  unit_tests::fakes::FixedRandom Random(Seed);
  Net.run(seconds(1));
  double Due = 0;
  for (model::Duration Passed{0}; Passed < LoadTime; Passed += Arrival) {
    Due += PerSecond * std::chrono::duration<double>(Arrival).count();
    for (; Due >= 1; Due -= 1)
      Net.sendRequest(Random.next() % Nodes, Random.next());
    Net.run(Arrival);
  }
  Net.run(seconds(20));
  const uint64_t Before = Net.m_Store.callCount();
  Net.m_TickPeriod = seconds(1);
  Net.run(RestTime);
  C.m_RestCalls = Net.m_Store.callCount() - Before;
  collect(Net, C);
  return C;
}

void report(benchmark::State &State, Costs &C) {
  const double Load = std::chrono::duration<double>(LoadTime).count();
  const double Rest = std::chrono::duration<double>(RestTime).count();
  State.counters["granted/s"] = C.m_Granted / Load;
  State.counters["reads/s"] = C.m_Reads / Load;
  State.counters["writes/s"] = C.m_Writes / Load;
  State.counters["rest_calls/s"] = C.m_RestCalls / Rest;
  State.counters["claims_written_per_claim"] =
      C.m_Granted ? double(C.m_WrittenClaims) / C.m_Granted : 0;
  State.counters["p50_ms"] = percentile(C.m_Millis, 0.5);
  State.counters["p99_ms"] = percentile(C.m_Millis, 0.99);
}

/// Arguments: nodes, claims offered per second.
void fleet(benchmark::State &State) {
  Costs C;
  for (auto _ : State)
    C = measure(State.range(0), ClaimSettings(), State.range(1));
  report(State, C);
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

/// One shard, with the fleet's bound on writes for one of 64 and without.
void oneShard(benchmark::State &State) {
  ClaimSettings Settings;
  Settings.m_FleetWritesPerSecond /= Settings.m_ShardCount;
  Settings.m_ShardCount = 1;
  if (State.range(0) == 0)
    Settings.m_FleetWritesPerSecond = 1e6;
  Costs C;
  for (auto _ : State)
    C = measure(1, Settings, State.range(1));
  report(State, C);
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

/// Bytes of one claim: as the store's JSON, and as the bound counts it.
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
