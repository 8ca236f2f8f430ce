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
constexpr int Interleavings = 10'000;
constexpr int MostSteps = 25;

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

TEST_CASE("The first in line holds the lease and keeps it") {
  LeaseNetwork Net(3);
  Net.run(seconds(1));
  REQUIRE(Net.held(0));
  CHECK(Net.held(0)->m_Token.m_Value == 1);
  const uint64_t Before = Net.m_Store.callCount();
  Net.run(minutes(10));
  REQUIRE(Net.held(0));
  CHECK(Net.held(0)->m_Token.m_Value == 1);
  CHECK(Net.mostHolders() == 1);
  // Three renewals a term, give or take a fifth, and the looks of two ranks.
  CHECK(Net.m_Store.callCount() - Before <= 60 * (4 + 2 + 1));
}

TEST_CASE("A dead holder's lease goes to the next with a higher token") {
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
  CHECK(Net.node(0).m_Keeper->isStopped());
  Net.setRank(1, 0);
  Net.run(seconds(15));
  CHECK(Net.held(1));
}

TEST_CASE("A paused holder that wakes finds its lease out before it acts") {
  LeaseNetwork Net(2);
  Net.run(seconds(20));
  Net.pause(0, minutes(2));
  Net.run(seconds(60));
  REQUIRE(Net.held(1));
  // As it wakes, before any event has reached it.
  CHECK_FALSE(Net.held(0));
  Net.run(minutes(3));
  CHECK(Net.mostHolders() == 1);
  CHECK(Net.tokensReused() == 0);
}

TEST_CASE("A write whose answer was lost is settled by reading") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    LeaseNetwork Net(2);
    failWrites(Net, Fault, 1);
    Net.run(seconds(30));
    CHECK(Net.holders() == 1);
    failWrites(Net, Fault, 1);
    Net.run(seconds(30));
    CHECK(Net.holders() == 1);
    CHECK(Net.mostHolders() == 1);
  }
}

TEST_CASE("In an outage the holder stops, and the lease comes back after it") {
  LeaseNetwork Net(3);
  Net.run(seconds(20));
  setFault(Net, StoreFault::Down);
  Net.run(seconds(12));
  CHECK(Net.holders() == 0);
  Net.run(minutes(60));
  setFault(Net, StoreFault::None);
  Net.run(seconds(40));
  CHECK(Net.holders() == 1);
  CHECK(Net.mostHolders() == 1);
  CHECK(Net.tokensReused() == 0);
}

TEST_CASE("A holder that is no longer first hands over to the one that is") {
  LeaseNetwork Net(2);
  Net.kill(0);
  Net.run(seconds(60));
  REQUIRE(Net.held(1));
  Net.restart(0);
  Net.run(seconds(60));
  CHECK(Net.held(0));
  CHECK(Net.mostHolders() == 1);
}

TEST_CASE("Renewals of many leases do not bunch") {
  fakes::FixedRandom Random(1);
  core::leases::StoreGovernor Governor(core::leases::GovernorSettings(),
                                       Random);
  core::leases::LeaseKeeper Keeper(core::leases::LeaseSettings(),
                                   model::NodeId("n"), Governor, Random);
  fakes::FakeStore Store;
  std::vector<core::leases::LeaseDuty> Duties;
  for (int I = 0; I < 40; ++I)
    Duties.push_back({{"pool/" + std::to_string(I)}, 0});
  model::TimePoint Now{seconds(1000)};
  std::map<int64_t, size_t> WritesBySecond;
  ports::EffectList Out;
  Keeper.setDuties(Duties, Now, Out);
  for (int I = 0; I < 3000; ++I, Now += milliseconds(100)) {
    for (const auto &Due : Store.takeDue(Now)) {
      const auto Routed = Governor.onAnswer(Due.m_Answer, Now, Out);
      if (Routed)
        Keeper.onStoreAnswer(Routed->m_Answer, Now, Out);
    }
    Governor.tick(Now, Out);
    Keeper.tick(Now, Out);
    for (const ports::Effect &E : Out)
      if (const auto *Call = std::get_if<StoreCall>(&E)) {
        Store.submit(model::NodeId("n"), *Call, Now);
        ++WritesBySecond[std::chrono::floor<seconds>(Now.time_since_epoch())
                             .count()];
      }
    Out.clear();
  }
  CHECK(Keeper.held(Now).size() == 40);
  // 12 renewals a second on average; after four minutes, no second has double.
  for (int64_t Second = 1240; Second < 1299; ++Second)
    CHECK(WritesBySecond[Second] <= 24);
}

namespace {

enum class StepKind { Wait, Restart, Pause, SwapRanks, Store };

struct Step {
  StepKind m_Kind = StepKind::Wait;
  uint32_t m_Node = 0;
  uint32_t m_Millis = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &S) {
  return Stream << "kind " << static_cast<int>(S.m_Kind) << " node " << S.m_Node
                << " for " << S.m_Millis << " ms";
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
      rc::gen::set(&Step::m_Millis, between(100, 25000)));
}

StoreFault drawFault(fakes::FixedRandom &Random, LeaseNetwork &Net) {
  constexpr StoreFault Faults[] = {
      StoreFault::None,      StoreFault::Slow,     StoreFault::LostAnswer,
      StoreFault::LateWrite, StoreFault::LostCall, StoreFault::Down};
  Net.m_Store.m_LateDelay = milliseconds(Random.next() % 8000);
  return Faults[Random.next() % std::size(Faults)];
}

void apply(const Step &S, LeaseNetwork &Net, model::TimePoint &StoreBadUntil) {
  const size_t Node = S.m_Node % Net.size();
  switch (S.m_Kind) {
  case StepKind::Wait:
    Net.run(milliseconds(S.m_Millis));
    break;
  case StepKind::Restart:
    Net.restart(Node);
    break;
  case StepKind::Pause:
    Net.pause(Node, milliseconds(S.m_Millis));
    break;
  case StepKind::SwapRanks:
    // Nodes disagree on who is first.
    Net.setRank(Node, S.m_Millis % 2);
    break;
  case StepKind::Store:
    StoreBadUntil = Net.now() + milliseconds(S.m_Millis);
    break;
  }
  Net.run(milliseconds(200));
}

} // namespace

TEST_CASE("Whatever fails: one holder at a time, and tokens only rise") {
  rc::detail::TestParams Params;
  Params.seed = PropertySeed;
  Params.maxSuccess = Interleavings;
  Params.maxSize = MostSteps;
  uint64_t Held = 0;
  const auto Result = rc::detail::checkTestable(
      [&Held] {
        const uint32_t Nodes = *between(2, 5);
        fakes::FixedRandom Random(*rc::gen::arbitrary<uint64_t>());
        const auto Steps = *rc::gen::container<std::vector<Step>>(anyStep());
        LeaseNetwork Net(Nodes);
        model::TimePoint StoreBadUntil;
        Net.m_Store.m_Fault = [&](const StoreCall &) {
          return Net.now() < StoreBadUntil ? drawFault(Random, Net)
                                           : StoreFault::None;
        };
        for (const Step &S : Steps)
          apply(S, Net, StoreBadUntil);
        RC_ASSERT(Net.mostHolders() <= 1U);
        RC_ASSERT(Net.tokensReused() == 0U);
        RC_ASSERT(Net.gainedLate() == 0U);
        Held += Net.mostHolders();
      },
      rc::detail::TestMetadata(), Params);
  if (!Result.template is<rc::detail::SuccessResult>())
    rc::detail::printResultMessage(Result, std::cerr);
  CHECK(Result.template is<rc::detail::SuccessResult>());
  // The scenarios are worth something only if the lease is held in them.
  CHECK(Held > Interleavings / 2);
}

} // namespace bronzepass::unit_tests::leases
