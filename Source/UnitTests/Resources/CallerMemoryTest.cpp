#include "Core/Resources/CallerMemory.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::resources {

namespace {

using namespace std::chrono_literals;

constexpr uint64_t Large = 100 << 10;

class FakeHolder : public MemoryHolder {
public:
  void onRoom() override { ++m_Rooms; }
  void onRequestLost() override { ++m_Losses; }
  void onAnswerLost() override { ++m_AnswerLosses; }

  int m_Rooms = 0;
  int m_Losses = 0;
  int m_AnswerLosses = 0;
};

/// Room for two large requests and two small ones.
MemoryShares fewShares() { return {2 * SmallRequestBytes, 2 * Large, 1000, 2}; }

} // namespace

TEST_CASE("a request that stopped moving loses to one that needs room, a "
          "complete one never does") {
  CallerMemory Memory(fewShares());
  FakeHolder Complete;
  FakeHolder Stalled;
  FakeHolder New;
  const model::TimePoint Start{};
  for (FakeHolder *Each : {&Complete, &Stalled, &New})
    Memory.begin(*Each, Start);
  REQUIRE(Memory.hold(Complete, Large, Start));
  Memory.setComplete(Complete);
  REQUIRE(Memory.hold(Stalled, Large, Start));
  // Too early: it may go on.
  CHECK_FALSE(Memory.hold(New, Large, Start + 999ms));
  CHECK(Stalled.m_Losses == 0);
  Memory.tick(Start + 1s);
  CHECK(Stalled.m_Losses == 1);
  CHECK(New.m_Rooms == 1);
  CHECK(Complete.m_Losses == 0);
  CHECK(Memory.largeRequests().inUse() == 2 * Large);
  CHECK(Memory.counters().m_LostStalled == 1);
}

// Guards against bodies that nothing counts, since their callers have left
// while endpoints still read them.
TEST_CASE("a complete request counts until its holder and its transfer have "
          "ended") {
  for (const bool HolderEndsFirst : {false, true}) {
    CAPTURE(HolderEndsFirst);
    CallerMemory Memory(fewShares());
    FakeHolder Caller;
    FakeHolder New;
    Memory.begin(Caller, model::TimePoint());
    Memory.begin(New, model::TimePoint());
    REQUIRE(Memory.hold(Caller, 2 * Large, model::TimePoint()));
    std::shared_ptr<const HeldRequest> Transfer = Memory.setComplete(Caller);
    CHECK(Memory.largeRequests().inUse() == 2 * Large);
    CHECK(Memory.largeRequests().highest() == 2 * Large);
    if (HolderEndsFirst)
      Memory.remove(Caller);
    else
      Transfer.reset();
    CHECK(Memory.largeRequests().inUse() == 2 * Large);
    CHECK_FALSE(Memory.hold(New, Large, model::TimePoint()));
    if (HolderEndsFirst)
      Transfer.reset();
    else
      Memory.end(Caller);
    CHECK(Memory.largeRequests().inUse() == 0);
    CHECK(Memory.hold(New, Large, model::TimePoint()));
  }
}

TEST_CASE("bytes that trickle in don't count as moving") {
  CallerMemory Memory(fewShares());
  FakeHolder Trickling;
  FakeHolder Moving;
  FakeHolder New;
  const model::TimePoint Start{};
  for (FakeHolder *Each : {&Trickling, &Moving, &New})
    Memory.begin(*Each, Start);
  REQUIRE(Memory.hold(Trickling, Large, Start));
  REQUIRE(Memory.hold(Moving, Large, Start));
  Memory.onReceived(Trickling, 1, Start + 900ms);
  Memory.onReceived(Moving, 2000, Start + 900ms);
  REQUIRE(Memory.hold(New, Large, Start + 1s));
  CHECK(Trickling.m_Losses == 1);
  CHECK(Moving.m_Losses == 0);
}

TEST_CASE("if all wait, the largest loses, so that the others end") {
  CallerMemory Memory(fewShares());
  FakeHolder Smaller;
  FakeHolder Larger;
  const model::TimePoint Start{};
  Memory.begin(Smaller, Start);
  Memory.begin(Larger, Start);
  REQUIRE(Memory.hold(Smaller, Large / 2, Start));
  REQUIRE(Memory.hold(Larger, Large, Start));
  CHECK_FALSE(Memory.hold(Larger, 2 * Large, Start));
  CHECK_FALSE(Memory.hold(Smaller, 2 * Large, Start));
  Memory.tick(Start + 499ms);
  CHECK(Larger.m_Losses + Smaller.m_Losses == 0);
  Memory.tick(Start + 500ms);
  CHECK(Larger.m_Losses == 1);
  Memory.tick(Start + 520ms);
  CHECK(Smaller.m_Rooms == 1);
  CHECK(Smaller.m_Losses == 0);
  CHECK(Memory.waitingCount() == 0);
}

TEST_CASE("large requests take no room from small ones") {
  CallerMemory Memory(fewShares());
  FakeHolder First;
  FakeHolder Second;
  FakeHolder Small;
  const model::TimePoint Start{};
  for (FakeHolder *Each : {&First, &Second, &Small})
    Memory.begin(*Each, Start);
  REQUIRE(Memory.hold(First, Large, Start));
  REQUIRE(Memory.hold(Second, Large, Start));
  CHECK(Memory.hold(Small, SmallRequestBytes, Start));
}

TEST_CASE("only some may wait with unread bytes") {
  CallerMemory Memory(fewShares());
  std::vector<FakeHolder> Holders(5);
  const model::TimePoint Start{};
  for (FakeHolder &Each : Holders) {
    Memory.begin(Each, Start);
    Memory.hold(Each, Large, Start);
  }
  CHECK(Memory.waitingCount() == 2);
  CHECK(Holders[4].m_Losses == 1);
  // Those that wait already keep their place.
  Memory.tick(Start + 1ms);
  CHECK(Memory.waitingCount() == 2);
}

TEST_CASE("the largest answer that is not read loses") {
  CallerMemory Memory(fewShares());
  FakeHolder Slow;
  FakeHolder Other;
  CHECK(Memory.holdAnswer(Slow, 700));
  CHECK(Memory.holdAnswer(Other, 400));
  CHECK(Slow.m_AnswerLosses == 1);
  CHECK_FALSE(Memory.holdAnswer(Other, 1100));
  CHECK(Memory.unsentAnswers().inUse() == 0);
}

TEST_CASE("budgets hold the sum of their holders and end at zero") {
  for (uint32_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    CallerMemory Memory(fewShares());
    std::vector<FakeHolder> Holders(8);
    model::TimePoint Now{};
    for (int Step = 0; Step < 400; ++Step) {
      FakeHolder &Any = Holders[Random() % Holders.size()];
      Now += std::chrono::milliseconds(Random() % 100);
      switch (Random() % 7) {
      case 0:
        Memory.begin(Any, Now);
        break;
      case 1:
        Memory.hold(Any, Random() % Large, Now);
        break;
      case 2:
        Memory.setComplete(Any);
        break;
      case 3:
        Memory.end(Any);
        break;
      case 4:
        Memory.holdAnswer(Any, Random() % 700);
        break;
      case 5:
        Memory.remove(Any);
        break;
      default:
        Memory.tick(Now);
      }
      REQUIRE(Memory.smallRequests().inUse() <= Memory.smallRequests().limit());
      REQUIRE(Memory.largeRequests().inUse() <= Memory.largeRequests().limit());
      REQUIRE(Memory.unsentAnswers().inUse() <= Memory.unsentAnswers().limit());
    }
    for (FakeHolder &Each : Holders)
      Memory.remove(Each);
    REQUIRE(Memory.smallRequests().inUse() == 0);
    REQUIRE(Memory.largeRequests().inUse() == 0);
    REQUIRE(Memory.unsentAnswers().inUse() == 0);
    REQUIRE(Memory.waitingCount() == 0);
  }
}

TEST_CASE("on the smallest machines one of the largest requests fits") {
  constexpr uint64_t Mib = 1 << 20;
  for (const uint64_t Limit : {8 * Mib, 48 * Mib, 120 * Mib, 512 * Mib}) {
    const MemoryShares Shares = sharesOf(Limit, 4 * Mib);
    CHECK(Shares.m_LargeRequests > 4 * Mib + SmallRequestBytes);
    CHECK(Shares.m_MaxWaiting >= 1);
  }
  CHECK(callerPlacesOf(3075) == 960);
}

} // namespace bronzepass::core::resources
