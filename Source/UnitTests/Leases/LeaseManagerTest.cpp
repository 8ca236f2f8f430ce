#include "UnitTests/Leases/LeaseNetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

namespace bronzepass::unit_tests::leases {

using namespace core;
using fakes::StoreFault;
using ports::StoreCall;
using ports::StoreVerb;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr uint64_t PropertySeed = 20261203;
constexpr int ScenarioCount = 10'000;
constexpr int MaxSteps = 25;

void setFault(LeaseNetwork &Net, StoreFault Fault) {
  Net.m_Store.m_Fault = [Fault](const StoreCall &) { return Fault; };
}

void failWrites(LeaseNetwork &Net, StoreFault Fault, int Count) {
  Net.m_Store.m_Fault = [Fault, Left = Count](const StoreCall &Call) mutable {
    const bool Write = Call.m_Verb != StoreVerb::Get;
    return Write && Left-- > 0 ? Fault : StoreFault::None;
  };
}

} // namespace

TEST_CASE("The candidate of rank 0 acquires the lease and keeps it") {
  LeaseNetwork Net(3);
  Net.run(seconds(1));
  REQUIRE(Net.held(0));
  CHECK(Net.held(0)->m_Token.m_Value == 1);
  const uint64_t Before = Net.m_Store.callCount();
  Net.run(minutes(10));
  REQUIRE(Net.held(0));
  CHECK(Net.held(0)->m_Token.m_Value == 1);
  CHECK(Net.maxHolders() == 1);
  // Three renewals per term, plus or minus a fifth, and the reads of two
  // waiters.
  CHECK(Net.m_Store.callCount() - Before <= 60 * (4 + 2 + 1));
}

TEST_CASE(
    "The next candidate takes over a dead holder's lease with a higher token") {
  LeaseNetwork Net(2);
  Net.run(seconds(20));
  Net.kill(0);
  Net.run(seconds(10));
  CHECK_FALSE(Net.held(1));
  Net.run(seconds(25));
  REQUIRE(Net.held(1));
  CHECK(Net.held(1)->m_Token.m_Value == 2);
}

TEST_CASE("A graceful stop hands the lease over within a term and a half") {
  LeaseNetwork Net(2);
  Net.run(seconds(20));
  Net.stop(0);
  CHECK_FALSE(Net.held(0));
  Net.run(seconds(1));
  CHECK(Net.node(0).m_Manager->isStopped());
  Net.setRank(1, 0);
  Net.run(seconds(15));
  CHECK(Net.held(1));
}

TEST_CASE("A holder that resumes after a pause sees its lease expired before "
          "it acts") {
  LeaseNetwork Net(2);
  Net.run(seconds(20));
  Net.pause(0, minutes(2));
  Net.run(seconds(60));
  REQUIRE(Net.held(1));
  // The pause has not ended: no event has reached the former holder.
  CHECK_FALSE(Net.held(0));
  Net.run(minutes(3));
  CHECK(Net.maxHolders() == 1);
  CHECK(Net.reusedTokens() == 0);
}

TEST_CASE("After a write with an unknown result, the record is read back") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    LeaseNetwork Net(2);
    failWrites(Net, Fault, 1);
    Net.run(seconds(30));
    CHECK(Net.holders() == 1);
    failWrites(Net, Fault, 1);
    Net.run(seconds(30));
    CHECK(Net.holders() == 1);
    CHECK(Net.maxHolders() == 1);
  }
}

TEST_CASE(
    "The holder stops in an outage, and the lease is acquired again after it") {
  LeaseNetwork Net(3);
  Net.run(seconds(20));
  setFault(Net, StoreFault::Down);
  Net.run(seconds(12));
  CHECK(Net.holders() == 0);
  Net.run(minutes(60));
  setFault(Net, StoreFault::None);
  Net.run(seconds(40));
  CHECK(Net.holders() == 1);
  CHECK(Net.maxHolders() == 1);
  CHECK(Net.reusedTokens() == 0);
}

// Guards against a fleet whose lease is held by its weakest node, since that
// one was the first to start and no other was known yet.
TEST_CASE(
    "A lease that nobody has held goes to the first by rank, not by time") {
  for (const seconds Delay : {seconds(0), seconds(2)}) {
    LeaseNetwork Net(
        3, false,
        {.m_HandOverDelay = std::chrono::hours(24), .m_InitialDelay = Delay});
    // Each believes to be alone, and the others have not started.
    for (size_t I = 0; I < 2; ++I)
      Net.pause(I, seconds(1));
    Net.setRank(2, 0);
    Net.run(seconds(1));
    Net.setRank(2, 2);
    Net.run(seconds(10));
    CHECK(Net.held(0).has_value() == (Delay > seconds(0)));
    CHECK(Net.maxHolders() == 1);
  }
}

TEST_CASE("A holder that loses rank 0 hands the lease over to the new rank 0") {
  LeaseNetwork Net(2);
  Net.kill(0);
  Net.run(seconds(60));
  REQUIRE(Net.held(1));
  Net.restart(0);
  Net.run(seconds(60));
  CHECK(Net.held(0));
  CHECK(Net.maxHolders() == 1);
}

TEST_CASE("Renewals of many leases are spread over time") {
  fakes::FixedRandom Random(1);
  core::leases::StoreGovernor Governor(core::leases::GovernorSettings(),
                                       Random);
  core::leases::LeaseManager Manager(core::leases::LeaseSettings(),
                                     model::NodeId("n"), Governor, Random);
  fakes::FakeStore Store;
  std::vector<core::leases::LeaseCandidacy> Candidacies;
  for (int I = 0; I < 40; ++I)
    Candidacies.push_back({{"pool/" + std::to_string(I)}, 0});
  model::TimePoint Now{seconds(1000)};
  std::map<int64_t, size_t> WritesBySecond;
  ports::EffectList Out;
  Manager.setCandidacies(Candidacies, Now, Out);
  for (int I = 0; I < 3000; ++I, Now += milliseconds(100)) {
    for (const auto &Due : Store.takeDue(Now)) {
      const auto Routed = Governor.onAnswer(Due.m_Answer, Now, Out);
      if (Routed)
        Manager.onStoreAnswer(Routed->m_Answer, Now, Out);
    }
    Governor.tick(Now, Out);
    Manager.tick(Now, Out);
    for (const ports::Effect &E : Out)
      if (const auto *Call = std::get_if<StoreCall>(&E)) {
        Store.submit(model::NodeId("n"), *Call, Now);
        ++WritesBySecond[std::chrono::floor<seconds>(Now.time_since_epoch())
                             .count()];
      }
    Out.clear();
  }
  CHECK(Manager.held(Now).size() == 40);
  // On average 12 renewals per second; after four minutes, no second has more
  // than double.
  for (int64_t Second = 1240; Second < 1299; ++Second)
    CHECK(WritesBySecond[Second] <= 24);
}

namespace {

enum class StepKind { Wait, Restart, Pause, SwapRanks, Store };

struct Step {
  StepKind m_Kind = StepKind::Wait;
  uint32_t m_Node = 0;
  uint32_t m_DurationMs = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &S) {
  return Stream << "kind " << static_cast<int>(S.m_Kind) << " node " << S.m_Node
                << " for " << S.m_DurationMs << " ms";
}

rc::Gen<uint32_t> between(uint32_t From, uint32_t Below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, Below));
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_Kind,
                   rc::gen::element(StepKind::Wait, StepKind::Restart,
                                    StepKind::Pause, StepKind::SwapRanks,
                                    StepKind::Store)),
      rc::gen::set(&Step::m_Node, between(0, 5)),
      rc::gen::set(&Step::m_DurationMs, between(100, 25000)));
}

StoreFault randomFault(fakes::FixedRandom &Random, LeaseNetwork &Net) {
  constexpr StoreFault Faults[] = {
      StoreFault::None,      StoreFault::Slow,     StoreFault::LostAnswer,
      StoreFault::LateWrite, StoreFault::LostCall, StoreFault::Down};
  Net.m_Store.m_LateDelay = milliseconds(Random.next() % 8000);
  return Faults[Random.next() % std::size(Faults)];
}

void apply(const Step &S, LeaseNetwork &Net,
           model::TimePoint &StoreFaultsUntil) {
  const size_t Node = S.m_Node % Net.size();
  switch (S.m_Kind) {
  case StepKind::Wait:
    Net.run(milliseconds(S.m_DurationMs));
    break;
  case StepKind::Restart:
    Net.restart(Node);
    break;
  case StepKind::Pause:
    Net.pause(Node, milliseconds(S.m_DurationMs));
    break;
  case StepKind::SwapRanks:
    // Nodes may disagree about the ranks.
    Net.setRank(Node, S.m_DurationMs % 2);
    break;
  case StepKind::Store:
    StoreFaultsUntil = Net.now() + milliseconds(S.m_DurationMs);
    break;
  }
  Net.run(milliseconds(200));
}

/// Checks \p Property over ScenarioCount generated scenarios.
template <typename PropertyT> void checkScenarios(PropertyT Property) {
  rc::detail::TestParams Params;
  Params.seed = PropertySeed;
  Params.maxSuccess = ScenarioCount;
  Params.maxSize = MaxSteps;
  const auto Result = rc::detail::checkTestable(
      std::move(Property), rc::detail::TestMetadata(), Params);
  if (!Result.template is<rc::detail::SuccessResult>())
    rc::detail::printResultMessage(Result, std::cerr);
  CHECK(Result.template is<rc::detail::SuccessResult>());
}

void checkOneHolder(const LeaseNetwork &Net) {
  RC_ASSERT(Net.maxHolders() <= 1U);
  RC_ASSERT(Net.reusedTokens() == 0U);
  RC_ASSERT(Net.lateGains() == 0U);
}

} // namespace

TEST_CASE("There is at most one holder at a time and tokens only increase "
          "despite restarts, pauses and store faults") {
  uint64_t Held = 0;
  checkScenarios([&Held] {
    const uint32_t Nodes = *between(2, 5);
    fakes::FixedRandom Random(*rc::gen::arbitrary<uint64_t>());
    const auto Steps = *rc::gen::container<std::vector<Step>>(anyStep());
    LeaseNetwork Net(Nodes);
    model::TimePoint StoreFaultsUntil;
    Net.m_Store.m_Fault = [&](const StoreCall &) {
      return Net.now() < StoreFaultsUntil ? randomFault(Random, Net)
                                          : StoreFault::None;
    };
    for (const Step &S : Steps)
      apply(S, Net, StoreFaultsUntil);
    checkOneHolder(Net);
    Held += Net.maxHolders();
  });
  // Guards against scenarios in which the lease is never held.
  CHECK(Held > ScenarioCount / 2);
}

TEST_CASE("A holder stops when the store was restored, and acquires the lease "
          "anew with a higher token") {
  LeaseNetwork Net(2, true);
  Net.m_Store.backUp();
  Net.run(seconds(60));
  REQUIRE(Net.held(0));
  const model::FencingToken Before = Net.held(0)->m_Token;
  Net.m_Store.restore(Net.now());
  Net.run(seconds(5));
  REQUIRE(Net.held(0));
  CHECK(Net.held(0)->m_Token > Before);
  CHECK(Net.held(0)->m_Token.m_Value < (uint64_t{1} << 53U));
  CHECK(Net.maxHolders() == 1);
}

TEST_CASE("A new holder waits for one that is cut off and has not learned of "
          "the restore, also if the backup holds no lease") {
  LeaseNetwork Net(3, true);
  Net.m_Store.backUp();
  Net.run(seconds(30));
  REQUIRE(Net.held(0));
  Net.cut(0, seconds(60));
  Net.m_Store.restore(Net.now());
  // A node that starts after the restore cannot tell that there was one.
  Net.restart(1);
  Net.run(seconds(60));
  CHECK(Net.holders() == 1);
  CHECK(Net.maxHolders() == 1);
  CHECK(Net.reusedTokens() == 0);
}

TEST_CASE("A conditional write that was sent before a restore gives no lease "
          "if it takes effect after it") {
  LeaseNetwork Net(2, true);
  Net.run(seconds(20));
  REQUIRE(Net.held(0));
  Net.m_Store.backUp();
  // The renewal is on its way for five seconds, and finds its version again.
  failWrites(Net, StoreFault::LateWrite, 1);
  Net.m_Store.m_LateDelay = seconds(5);
  Net.run(seconds(4));
  Net.m_Store.restore(Net.now());
  Net.run(seconds(60));
  CHECK(Net.holders() == 1);
  CHECK(Net.maxHolders() == 1);
  CHECK(Net.reusedTokens() == 0);
}

TEST_CASE("There is at most one holder at a time and tokens only increase "
          "despite restores of the store from a backup") {
  uint64_t Held = 0;
  uint64_t Restores = 0;
  checkScenarios([&] {
    const uint32_t Nodes = *between(2, 5);
    fakes::FixedRandom Random(*rc::gen::arbitrary<uint64_t>());
    const auto Steps = *rc::gen::container<std::vector<Step>>(anyStep());
    LeaseNetwork Net(Nodes, true);
    model::TimePoint StoreFaultsUntil;
    Net.m_Store.m_Fault = [&](const StoreCall &) {
      return Net.now() < StoreFaultsUntil ? randomFault(Random, Net)
                                          : StoreFault::None;
    };
    // A holder is there before the first restore.
    Net.run(seconds(15));
    for (const Step &S : Steps) {
      if (Random.next() % 3 == 0)
        Net.m_Store.backUp();
      if (Random.next() % 3 == 0)
        Net.cut(Random.next() % Nodes, milliseconds(Random.next() % 20000));
      if (Random.next() % 4 == 0) {
        Net.m_Store.restore(Net.now());
        ++Restores;
      }
      apply(S, Net, StoreFaultsUntil);
    }
    checkOneHolder(Net);
    Held += Net.maxHolders();
  });
  CHECK(Held > ScenarioCount / 2);
  CHECK(Restores > ScenarioCount);
}

} // namespace bronzepass::unit_tests::leases
