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

/// Applies \p Fault to the first write only.
void failFirstWrite(ClaimNetwork &Net, StoreFault Fault) {
  Net.m_Store.m_Fault = [Fault, Left = 1](const StoreCall &Call) mutable {
    return isWrite(Call) && Left-- > 0 ? Fault : StoreFault::None;
  };
}

} // namespace

TEST_CASE("A repeated request at another node gets the outcome of the first") {
  ClaimNetwork Net(3, oneShard());
  const uint64_t First = Net.sendRequest(0, Key);
  Net.run(seconds(1));
  CHECK(Net.verdict(0, First) == ClaimVerdictKind::Granted);
  const uint64_t Repeat = Net.sendRequest(1, Key);
  Net.run(seconds(1));
  REQUIRE(Net.verdict(1, Repeat) == ClaimVerdictKind::Done);
  const ports::ClaimVerdict &Verdict = *Net.request(1, Repeat).m_Verdict;
  CHECK(Verdict.m_Status == 201);
  CHECK(Verdict.m_Answer == "run by " + Net.node(0).m_Id.str());
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("The same key with another body gets Mismatch") {
  ClaimNetwork Net(2, oneShard());
  Net.sendRequest(0, Key);
  Net.run(seconds(1));
  const uint64_t Other = Net.sendRequest(1, Key, seconds(10), 2);
  Net.run(seconds(1));
  CHECK(Net.verdict(1, Other) == ClaimVerdictKind::Mismatch);
}

TEST_CASE(
    "Of simultaneous requests at several nodes one runs, and the others get "
    "its outcome") {
  ClaimNetwork Net(5, oneShard());
  std::vector<uint64_t> Requests;
  for (size_t I = 0; I < Net.size(); ++I)
    Requests.push_back(Net.sendRequest(I, Key));
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

TEST_CASE("After a write with an unknown result, the object is read back") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    ClaimNetwork Net(2, oneShard());
    failFirstWrite(Net, Fault);
    const uint64_t First = Net.sendRequest(0, Key);
    Net.run(seconds(3));
    CHECK(Net.verdict(0, First) == ClaimVerdictKind::Granted);
    const uint64_t Repeat = Net.sendRequest(1, Key);
    Net.run(seconds(5));
    CHECK(Net.verdict(1, Repeat) == ClaimVerdictKind::Done);
    CHECK(Net.runsOf(Key) == 1);
  }
}

TEST_CASE("An abandoned claim that is written late is released") {
  ClaimNetwork Net(2, oneShard());
  failFirstWrite(Net, StoreFault::LateWrite);
  const uint64_t First = Net.sendRequest(0, Key, seconds(1));
  Net.run(seconds(2));
  CHECK(Net.verdict(0, First) == ClaimVerdictKind::Unavailable);
  Net.run(seconds(20));
  const uint64_t Again = Net.sendRequest(1, Key);
  Net.run(seconds(5));
  CHECK(Net.verdict(1, Again) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
  CHECK(Net.falseNotRun() == 0);
}

TEST_CASE("While the store is down, a claim waits until its deadline and then "
          "gets Unavailable") {
  ClaimNetwork Net(2, oneShard());
  Net.m_Store.m_Fault = [](const StoreCall &) { return StoreFault::Down; };
  const uint64_t Short = Net.sendRequest(0, Key, seconds(3));
  const uint64_t Long = Net.sendRequest(1, Key + 1, seconds(60));
  const model::TimePoint Start = Net.now();
  Net.run(seconds(20));
  CHECK(Net.verdict(0, Short) == ClaimVerdictKind::Unavailable);
  CHECK(Net.request(0, Short).m_VerdictAt <= Start + seconds(3));
  CHECK(Net.request(0, Short).m_VerdictAt >= Start + milliseconds(2500));
  CHECK_FALSE(Net.verdict(1, Long));
  Net.m_Store.m_Fault = [](const StoreCall &) { return StoreFault::None; };
  Net.run(seconds(20));
  CHECK(Net.verdict(1, Long) == ClaimVerdictKind::Granted);
}

TEST_CASE(
    "An owner that lost ownership during a pause grants nothing afterwards") {
  ClaimNetwork Net(3, oneShard());
  Net.sendRequest(0, Key + 1);
  Net.run(seconds(1));
  const Roles R = rolesOf(Net);
  // After the pause, the former owner continues from its outdated state.
  Net.pause(R.m_Owner, seconds(30));
  const uint64_t AtOwner = Net.sendRequest(R.m_Owner, Key, seconds(60));
  std::vector<model::NodeId> Rest = Net.allLive();
  std::erase(Rest, Net.node(R.m_Owner).m_Id);
  for (size_t I = 0; I < Net.size(); ++I)
    if (I != R.m_Owner)
      Net.setLiveNodes(I, Rest);
  const uint64_t AtOther = Net.sendRequest(R.m_Other, Key);
  Net.run(seconds(25));
  CHECK(Net.verdict(R.m_Other, AtOther) == ClaimVerdictKind::Granted);
  Net.run(seconds(30));
  CHECK(Net.verdict(R.m_Owner, AtOwner) == ClaimVerdictKind::Done);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A node that resumes after the deadline runs nothing and releases "
          "the key") {
  ClaimNetwork Net(2, oneShard());
  const Roles R = rolesOf(Net);
  const uint64_t First = Net.sendRequest(R.m_Other, Key, seconds(3));
  Net.run(milliseconds(3));
  Net.pause(R.m_Other, seconds(5));
  Net.run(seconds(10));
  CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Unavailable);
  const uint64_t Repeat = Net.sendRequest(R.m_Owner, Key);
  Net.run(seconds(3));
  CHECK(Net.verdict(R.m_Owner, Repeat) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A former owner does not answer Pending from outdated state") {
  ClaimNetwork Net(2, oneShard());
  Net.m_RunTime = seconds(3);
  Net.setLiveNodes(0, {Net.node(0).m_Id});
  Net.sendRequest(0, Key);
  Net.run(seconds(1));
  // The outcome is recorded by another owner.
  Net.setLiveNodes(0, {Net.node(1).m_Id});
  Net.setLiveNodes(1, {Net.node(1).m_Id});
  Net.run(seconds(4));
  Net.setLiveNodes(0, {Net.node(0).m_Id});
  const uint64_t Repeat = Net.sendRequest(0, Key);
  Net.run(seconds(4));
  CHECK(Net.verdict(0, Repeat) == ClaimVerdictKind::Done);
}

TEST_CASE(
    "If the owner dies during a commit, the next owner grants the request") {
  for (const StoreFault Fault :
       {StoreFault::LostAnswer, StoreFault::LostCall, StoreFault::LateWrite}) {
    ClaimNetwork Net(3, oneShard());
    const Roles R = rolesOf(Net);
    failFirstWrite(Net, Fault);
    const uint64_t First = Net.sendRequest(R.m_Other, Key, seconds(20));
    Net.run(milliseconds(20));
    Net.kill(R.m_Owner);
    Net.setAllLiveNodes();
    Net.run(seconds(15));
    CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Granted);
    CHECK(Net.runsOf(Key) == 1);
  }
}

TEST_CASE(
    "The next candidate replaces a dead owner that is still listed as live") {
  ClaimNetwork Net(3, oneShard());
  const Roles R = rolesOf(Net);
  Net.kill(R.m_Owner);
  const uint64_t First = Net.sendRequest(R.m_Other, Key, seconds(10));
  Net.run(seconds(10));
  CHECK(Net.verdict(R.m_Other, First) == ClaimVerdictKind::Granted);
}

TEST_CASE("Two nodes that both believe they own the shard run each key once") {
  ClaimNetwork Net(2, oneShard());
  for (size_t I = 0; I < Net.size(); ++I)
    Net.setLiveNodes(I, {Net.node(I).m_Id});
  for (uint64_t K = 1; K <= 20; ++K) {
    Net.sendRequest(0, K);
    Net.sendRequest(1, K);
    Net.run(milliseconds(700));
    CHECK(Net.runsOf(K) == 1);
  }
}

TEST_CASE("The key of a runner that died stays pending and is never freed") {
  ClaimNetwork Net(3, oneShard());
  const Roles R = rolesOf(Net);
  Net.m_RunTime = seconds(60);
  Net.sendRequest(R.m_Other, Key);
  Net.run(seconds(1));
  CHECK(Net.runsOf(Key) == 1);
  Net.kill(R.m_Other);
  Net.setAllLiveNodes();
  const uint64_t Repeat = Net.sendRequest(R.m_Owner, Key);
  Net.run(seconds(5));
  CHECK(Net.verdict(R.m_Owner, Repeat) == ClaimVerdictKind::Pending);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A run that is known not to have started releases its key") {
  ClaimNetwork Net(2, oneShard());
  Net.m_OnGrant = [First = true]() mutable {
    return std::exchange(First, false) ? RunOutcome::NotRun : RunOutcome::Done;
  };
  Net.sendRequest(0, Key);
  Net.run(milliseconds(10));
  const uint64_t Repeat = Net.sendRequest(1, Key);
  Net.run(seconds(3));
  CHECK(Net.verdict(1, Repeat) == ClaimVerdictKind::Granted);
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("A key is free again after its claim has expired") {
  ClaimSettings Settings = oneShard();
  Settings.m_ClaimLifetime = seconds(60);
  ClaimNetwork Net(2, Settings);
  Net.m_TickPeriod = seconds(1);
  Net.sendRequest(0, Key);
  Net.run(seconds(50));
  const uint64_t Before = Net.sendRequest(1, Key, seconds(5));
  Net.run(seconds(15));
  const uint64_t After = Net.sendRequest(1, Key, seconds(5));
  Net.run(seconds(5));
  CHECK(Net.verdict(1, Before) == ClaimVerdictKind::Done);
  CHECK(Net.verdict(1, After) == ClaimVerdictKind::Granted);
}

TEST_CASE(
    "A new owner loads the claims of all segments and drops expired segments") {
  ClaimSettings Settings = oneShard();
  Settings.m_SealBytes = 2000;
  Settings.m_SealRetryDelay = milliseconds(10);
  Settings.m_ClaimLifetime = seconds(120);
  ClaimNetwork Net(2, Settings);
  for (uint64_t K = 1; K <= 60; ++K) {
    Net.sendRequest(K % 2, K);
    Net.run(seconds(1));
  }
  const Roles R = rolesOf(Net);
  Net.kill(R.m_Owner);
  Net.setAllLiveNodes();
  const ports::ObjectKey Object{ports::ObjectKind::ClaimShard, "shard-0000"};
  const auto Segments = [&] {
    return std::get<model::ClaimShardRecord>(Net.m_Store.find(Object)->m_Record)
        .m_Segments;
  };
  CHECK(Segments().size() >= 5);
  for (uint64_t K = 1; K <= 60; ++K)
    Net.sendRequest(R.m_Other, K);
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
  Net.sendRequest(R.m_Other, 100);
  Net.run(seconds(5));
  CHECK(Segments().empty());
  CHECK_FALSE(Net.m_Store.find(Name));
}

TEST_CASE("A node with another shard count refuses claims instead of writing") {
  ClaimNetwork Net(1, oneShard());
  Net.sendRequest(0, Key);
  Net.run(seconds(1));
  ClaimSettings Wrong = oneShard();
  Wrong.m_ShardCount = 2;
  ClaimNetwork Other(1, Wrong);
  Other.m_Store = Net.m_Store;
  const uint64_t Request = Other.sendRequest(0, 2 * Key, seconds(5));
  Other.run(seconds(5));
  CHECK(Other.verdict(0, Request) == ClaimVerdictKind::Unavailable);
}

TEST_CASE("A node is idle only after its outcomes are recorded") {
  ClaimNetwork Net(2, oneShard());
  const Roles R = rolesOf(Net);
  Net.sendRequest(R.m_Other, Key);
  Net.run(milliseconds(60));
  CHECK_FALSE(Net.node(R.m_Other).m_Claims->isIdle());
  Net.run(seconds(2));
  CHECK(Net.node(R.m_Other).m_Claims->isIdle());
  CHECK(Net.runsOf(Key) == 1);
}

TEST_CASE("Idle nodes make no calls") {
  ClaimNetwork Net(3, oneShard());
  Net.sendRequest(0, Key);
  Net.run(seconds(5));
  const uint64_t Calls = Net.m_Store.callCount();
  CHECK(Calls <= 3);
  Net.run(seconds(600));
  CHECK(Net.m_Store.callCount() == Calls);
}

} // namespace bronzepass::unit_tests::claims
