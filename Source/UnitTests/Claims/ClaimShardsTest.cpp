#include "UnitTests/Claims/ClaimNetwork.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::claims {

using namespace core;
using core::claims::ClaimSettings;
using fakes::StoreFault;
using ports::ClaimVerdictKind;
using ports::StoreCall;
using ports::StoreVerb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t Key = 7;

ClaimSettings oneShard() {
  ClaimSettings Settings;
  Settings.m_ShardCount = 1;
  Settings.m_FleetWritesPerSecond = 20;
  return Settings;
}

bool isWrite(const StoreCall &Call) {
  return Call.m_Verb == StoreVerb::Create || Call.m_Verb == StoreVerb::Update;
}

/// Index of the node that owns the only shard, and of one that does not.
struct Roles {
  size_t m_Owner = 0;
  size_t m_Other = 0;
};

Roles rolesOf(ClaimNetwork &Net) {
  core::claims::ShardCandidates Candidates(1);
  Candidates.assign(Net.allLive());
  Roles R;
  for (size_t I = 0; I < Net.size(); ++I)
    (Candidates.isFirst(0, Net.node(I).m_Id) ? R.m_Owner : R.m_Other) = I;
  return R;
}

/// Applies \p Fault to the first write, and to nothing else.
void failFirstWrite(ClaimNetwork &Net, StoreFault Fault) {
  Net.m_Store.m_Fault = [Fault, Left = 1](const StoreCall &Call) mutable {
    return isWrite(Call) && Left-- > 0 ? Fault : StoreFault::None;
  };
}

} // namespace

TEST_CASE("A repeat at another node gets the first one's outcome") {
  ClaimNetwork Net(3, oneShard());
  const uint64_t First = Net.ask(0, Key);
  Net.run(seconds(1));
  CHECK(Net.verdict(0, First) == ClaimVerdictKind::Granted);
  const uint64_t Repeat = Net.ask(1, Key);
  Net.run(seconds(1));
  REQUIRE(Net.verdict(1, Repeat) == ClaimVerdictKind::Done);
  const ports::ClaimVerdict &Verdict = *Net.asked(1, Repeat).m_Verdict;
  CHECK(Verdict.m_Status == 201);
  CHECK(Verdict.m_Answer == "run by " + Net.node(0).m_Id.str());
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("The same key with another body is told so") {
  ClaimNetwork Net(2, oneShard());
  Net.ask(0, Key);
  Net.run(seconds(1));
  const uint64_t Other = Net.ask(1, Key, seconds(10), 2);
  Net.run(seconds(1));
  CHECK(Net.verdict(1, Other) == ClaimVerdictKind::Mismatch);
}

TEST_CASE("The same instant at several nodes: one runs, the others get its "
          "outcome") {
  ClaimNetwork Net(5, oneShard());
  std::vector<uint64_t> Requests;
  for (size_t I = 0; I < Net.size(); ++I)
    Requests.push_back(Net.ask(I, Key));
  Net.run(seconds(5));
  size_t Granted = 0;
  size_t Done = 0;
  for (size_t I = 0; I < Net.size(); ++I) {
    Granted += Net.verdict(I, Requests[I]) == ClaimVerdictKind::Granted;
    Done += Net.verdict(I, Requests[I]) == ClaimVerdictKind::Done;
  }
  CHECK(Granted == 1);
  CHECK(Done == 4);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A write whose answer is lost is settled by reading back") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    ClaimNetwork Net(2, oneShard());
    failFirstWrite(Net, Fault);
    const uint64_t First = Net.ask(0, Key);
    Net.run(seconds(3));
    CHECK(Net.verdict(0, First) == ClaimVerdictKind::Granted);
    const uint64_t Repeat = Net.ask(1, Key);
    Net.run(seconds(5));
    CHECK(Net.verdict(1, Repeat) == ClaimVerdictKind::Done);
    CHECK(Net.runsOf(Key) == 1);
  }
}

TEST_CASE("A late write of a claim that was given up is released") {
  ClaimNetwork Net(2, oneShard());
  failFirstWrite(Net, StoreFault::LateWrite);
  const uint64_t First = Net.ask(0, Key, seconds(1));
  Net.run(seconds(2));
  CHECK(Net.verdict(0, First) == ClaimVerdictKind::Unavailable);
  Net.run(seconds(20));
  const uint64_t Again = Net.ask(1, Key);
  Net.run(seconds(5));
  CHECK(Net.verdict(1, Again) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
  CHECK(Net.falseNotRun() == 0);
}

TEST_CASE("While the store is down a claim waits for its window, then has not "
          "run") {
  ClaimNetwork Net(2, oneShard());
  Net.m_Store.m_Fault = [](const StoreCall &) { return StoreFault::Down; };
  const uint64_t Short = Net.ask(0, Key, seconds(3));
  const uint64_t Long = Net.ask(1, Key + 1, seconds(60));
  const model::TimePoint Start = Net.now();
  Net.run(seconds(20));
  CHECK(Net.verdict(0, Short) == ClaimVerdictKind::Unavailable);
  CHECK(Net.asked(0, Short).m_VerdictAt <= Start + seconds(3));
  CHECK(Net.asked(0, Short).m_VerdictAt >= Start + milliseconds(2500));
  CHECK_FALSE(Net.verdict(1, Long));
  Net.m_Store.m_Fault = [](const StoreCall &) { return StoreFault::None; };
  Net.run(seconds(20));
  CHECK(Net.verdict(1, Long) == ClaimVerdictKind::Granted);
}

TEST_CASE("An owner paused past its ownership grants nothing when it wakes") {
  ClaimNetwork Net(3, oneShard());
  Net.ask(0, Key + 1);
  Net.run(seconds(1));
  const Roles R = rolesOf(Net);
  // The owner's reads and writes go on to work on its old state.
  Net.pause(R.m_Owner, seconds(30));
  const uint64_t AtOwner = Net.ask(R.m_Owner, Key, seconds(60));
  std::vector<model::NodeId> Rest = Net.allLive();
  std::erase(Rest, Net.node(R.m_Owner).m_Id);
  for (size_t I = 0; I < Net.size(); ++I)
    if (I != R.m_Owner)
      Net.setView(I, Rest);
  const uint64_t AtOther = Net.ask(R.m_Other, Key);
  Net.run(seconds(25));
  CHECK(Net.verdict(R.m_Other, AtOther) == ClaimVerdictKind::Granted);
  Net.run(seconds(30));
  CHECK(Net.verdict(R.m_Owner, AtOwner) == ClaimVerdictKind::Done);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE(
    "A node that wakes after the window runs nothing, and frees the key") {
  ClaimNetwork Net(2, oneShard());
  const Roles R = rolesOf(Net);
  const uint64_t First = Net.ask(R.m_Other, Key, seconds(3));
  Net.run(milliseconds(3));
  Net.pause(R.m_Other, seconds(5));
  Net.run(seconds(10));
  CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Unavailable);
  const uint64_t Repeat = Net.ask(R.m_Owner, Key);
  Net.run(seconds(3));
  CHECK(Net.verdict(R.m_Owner, Repeat) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A former owner does not tell from old memory that a run is under "
          "way") {
  ClaimNetwork Net(2, oneShard());
  Net.m_RunTime = seconds(3);
  Net.setView(0, {Net.node(0).m_Id});
  Net.ask(0, Key);
  Net.run(seconds(1));
  // The outcome goes to another owner.
  Net.setView(0, {Net.node(1).m_Id});
  Net.setView(1, {Net.node(1).m_Id});
  Net.run(seconds(4));
  Net.setView(0, {Net.node(0).m_Id});
  const uint64_t Repeat = Net.ask(0, Key);
  Net.run(seconds(4));
  CHECK(Net.verdict(0, Repeat) == ClaimVerdictKind::Done);
}

TEST_CASE("An owner killed in mid-commit: the ask is granted by the next") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    ClaimNetwork Net(3, oneShard());
    const Roles R = rolesOf(Net);
    failFirstWrite(Net, Fault);
    const uint64_t First = Net.ask(R.m_Other, Key, seconds(20));
    Net.run(milliseconds(20));
    Net.kill(R.m_Owner);
    Net.setAllViews();
    Net.run(seconds(15));
    CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Granted);
    CHECK(Net.runsOf(Key) == 1);
  }
}

TEST_CASE("A dead owner that the list still shows is stepped in for") {
  ClaimNetwork Net(3, oneShard());
  const Roles R = rolesOf(Net);
  Net.kill(R.m_Owner);
  const uint64_t First = Net.ask(R.m_Other, Key, seconds(10));
  Net.run(seconds(10));
  CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Granted);
}

TEST_CASE("Two nodes that both believe they own: one run") {
  ClaimNetwork Net(2, oneShard());
  for (size_t I = 0; I < Net.size(); ++I)
    Net.setView(I, {Net.node(I).m_Id});
  for (uint64_t K = 1; K <= 20; ++K) {
    Net.ask(0, K);
    Net.ask(1, K);
    Net.run(milliseconds(700));
    CHECK(Net.runsOf(K) == 1);
  }
}

TEST_CASE("A runner that died leaves its key pending, never free") {
  ClaimNetwork Net(3, oneShard());
  const Roles R = rolesOf(Net);
  Net.m_RunTime = seconds(60);
  Net.ask(R.m_Other, Key);
  Net.run(seconds(1));
  CHECK(Net.runsOf(Key) == 1);
  Net.kill(R.m_Other);
  Net.setAllViews();
  const uint64_t Repeat = Net.ask(R.m_Owner, Key);
  Net.run(seconds(5));
  CHECK(Net.verdict(R.m_Owner, Repeat) == ClaimVerdictKind::Pending);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A run proven not to have begun frees the key, at once or late") {
  ClaimNetwork Net(2, oneShard());
  Net.m_OnGrant = [First = true]() mutable {
    return std::exchange(First, false) ? RunEnd::NotRun : RunEnd::Done;
  };
  Net.ask(0, Key);
  Net.run(milliseconds(10));
  const uint64_t Repeat = Net.ask(1, Key);
  Net.run(seconds(3));
  CHECK(Net.verdict(1, Repeat) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A key is free again once its claim has expired") {
  ClaimSettings Settings = oneShard();
  Settings.m_Expiry = seconds(60);
  ClaimNetwork Net(2, Settings);
  Net.m_TickPeriod = seconds(1);
  Net.ask(0, Key);
  Net.run(seconds(50));
  const uint64_t Before = Net.ask(1, Key, seconds(5));
  Net.run(seconds(15));
  const uint64_t After = Net.ask(1, Key, seconds(5));
  Net.run(seconds(5));
  CHECK(Net.verdict(1, Before) == ClaimVerdictKind::Done);
  CHECK(Net.verdict(1, After) == ClaimVerdictKind::Granted);
}

TEST_CASE("A new owner knows the claims of all segments, and drops old ones") {
  ClaimSettings Settings = oneShard();
  Settings.m_SealBytes = 2000;
  Settings.m_SealRetry = milliseconds(10);
  Settings.m_Expiry = seconds(120);
  ClaimNetwork Net(2, Settings);
  for (uint64_t K = 1; K <= 60; ++K) {
    Net.ask(K % 2, K);
    Net.run(seconds(1));
  }
  const Roles R = rolesOf(Net);
  Net.kill(R.m_Owner);
  Net.setAllViews();
  const ports::ObjectKey Object{ports::ObjectKind::ClaimShard, "shard-0000"};
  const auto Segments = [&] {
    return std::get<model::ClaimShardRecord>(Net.m_Store.find(Object)->m_Record)
        .m_Segments;
  };
  CHECK(Segments().size() >= 5);
  for (uint64_t K = 1; K <= 60; ++K)
    Net.ask(R.m_Other, K);
  Net.run(seconds(5));
  for (uint64_t K = 1; K <= 60; ++K)
    CHECK(Net.runsOf(K) == 1);
  const model::ClaimSegment First = Segments().front();
  const ports::ObjectKey Name{Object.m_Kind,
                              Object.m_Name + "." +
                                  std::to_string(First.m_Epoch.m_Value) + "." +
                                  std::to_string(First.m_Number)};
  CHECK(Net.m_Store.find(Name));
  Net.run(seconds(120));
  Net.ask(R.m_Other, 100);
  Net.run(seconds(5));
  CHECK(Segments().empty());
  CHECK_FALSE(Net.m_Store.find(Name));
}

TEST_CASE("Nodes with another count of shards refuse rather than write") {
  ClaimNetwork Net(1, oneShard());
  Net.ask(0, Key);
  Net.run(seconds(1));
  ClaimSettings Wrong = oneShard();
  Wrong.m_ShardCount = 2;
  ClaimNetwork Other(1, Wrong);
  Other.m_Store = Net.m_Store;
  const uint64_t Request = Other.ask(0, 2 * Key, seconds(5));
  Other.run(seconds(5));
  CHECK(Other.verdict(0, Request) == ClaimVerdictKind::Unavailable);
}

TEST_CASE("A graceful stop waits until outcomes are recorded") {
  ClaimNetwork Net(2, oneShard());
  const Roles R = rolesOf(Net);
  Net.ask(R.m_Other, Key);
  Net.run(milliseconds(60));
  CHECK_FALSE(Net.node(R.m_Other).m_Claims->isIdle());
  Net.run(seconds(2));
  CHECK(Net.node(R.m_Other).m_Claims->isIdle());
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("Nothing is called while nothing is asked") {
  ClaimNetwork Net(3, oneShard());
  Net.ask(0, Key);
  Net.run(seconds(5));
  const uint64_t Calls = Net.m_Store.callCount();
  CHECK(Calls <= 3);
  Net.run(seconds(600));
  CHECK(Net.m_Store.callCount() == Calls);
}

} // namespace bronzepass::unit_tests::claims
