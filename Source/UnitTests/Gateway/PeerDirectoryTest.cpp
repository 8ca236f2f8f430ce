#include "UnitTests/Gateway/PeerFleet.h"

#include "Core/Gateway/PeerNotice.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

constexpr double LossShare = 0.05;
/// Within which nodes that start take a duty from nodes that are gone.
constexpr model::Duration StartTakeover = 6s;
/// The same for nodes that run, from others that end.
constexpr model::Duration Takeover = 10s;

} // namespace

// Guards against a duty that nobody does, since nodes that are gone come first.
TEST_CASE("three live nodes take a duty beside any number of entries of nodes "
          "that are gone") {
  for (const size_t Live : {1U, 2U, 6U, 26U})
    for (const size_t Gone : {3U, 24U, 26U, 48U, 240U, 1000U})
      for (const uint64_t Seed : {1U, 2U, 3U}) {
        CAPTURE(Live);
        CAPTURE(Gone);
        CAPTURE(Seed);
        PeerFleet Fleet(Live, Gone, Seed, LossShare);
        Fleet.run(StartTakeover);
        CHECK(Fleet.firstThree().size() == std::min<size_t>(Live, 3));
      }
}

// Guards against what a node knows of requests that crash engines being told to
// nodes that are gone.
TEST_CASE("loads go to live nodes before those that are gone") {
  for (const size_t Live : {2U, 8U, 26U, 80U})
    for (const size_t Gone : {0U, 3U, 26U, 240U, 1000U}) {
      CAPTURE(Live);
      CAPTURE(Gone);
      PeerFleet Fleet(Live, Gone, 1, LossShare);
      Fleet.run(StartTakeover);
      for (size_t I = 0; I < Live; ++I)
        CHECK(Fleet.liveTargets(I) == std::min(Live - 1, MaxNoticeTargets));
    }
}

TEST_CASE("nodes that end while others run are replaced in their duty, one by "
          "one and together") {
  for (const size_t Live : {6U, 26U, 80U})
    for (const uint64_t Seed : {1U, 2U}) {
      CAPTURE(Live);
      CAPTURE(Seed);
      PeerFleet Fleet(Live, 30, Seed, LossShare);
      Fleet.run(6s);
      for (int Round = 0; Round < 2; ++Round) {
        for (const size_t Each : Fleet.firstThree())
          Fleet.kill(Each);
        Fleet.run(Takeover);
        const size_t Left = Live - 3 * static_cast<size_t>(Round + 1);
        CHECK(Fleet.firstThree().size() == std::min<size_t>(Left, 3));
      }
    }
}

TEST_CASE("after a loss of all nodes beside entries of nodes that are gone, "
          "three take a duty") {
  for (const size_t Live : {6U, 26U}) {
    CAPTURE(Live);
    PeerFleet Fleet(Live, 48, 1, LossShare);
    Fleet.run(6s);
    for (size_t I = 0; I < Live; ++I)
      Fleet.kill(I);
    Fleet.run(2s);
    for (size_t I = 0; I < Live; ++I)
      Fleet.restart(I);
    Fleet.run(StartTakeover);
    CHECK(Fleet.firstThree().size() == 3);
  }
}

TEST_CASE("a node that was frozen for long, or has just come, has its rank "
          "again soon") {
  for (const size_t Live : {6U, 40U}) {
    CAPTURE(Live);
    PeerFleet Fleet(Live, 48, 2, LossShare);
    Fleet.run(6s);
    const std::vector<size_t> First = Fleet.firstThree();
    REQUIRE(First.size() == 3);
    Fleet.freeze(First.front());
    Fleet.run(20s);
    const std::vector<size_t> Meanwhile = Fleet.firstThree();
    CHECK(Meanwhile.size() == 3);
    Fleet.thaw(First.front());
    Fleet.run(StartTakeover);
    CHECK(Fleet.firstThree() == First);
    for (int I = 0; I < 3; ++I)
      Fleet.add();
    Fleet.run(StartTakeover);
    CHECK(Fleet.firstThree().size() == 3);
  }
}

// Guards against candidates for the lease that wait for a holder which is gone.
TEST_CASE("a holder that falls silent is known to be gone before others are") {
  for (const bool HoldsLease : {false, true}) {
    CAPTURE(HoldsLease);
    PeerDirectory Directory(model::NodeId("self"), PeerTiming());
    const model::TimePoint Heard{100s};
    Peer &Other = Directory.onNotice(model::NodeId("other"), {}, false, Heard);
    Other.m_HoldsLease = HoldsLease;
    CHECK(Directory.isAlive(Other, Heard + 1400ms));
    CHECK(Directory.isAlive(Other, Heard + 1600ms) == !HoldsLease);
    CHECK_FALSE(Directory.isAlive(Other, Heard + 8s));
  }
}

TEST_CASE("in calm no node takes another for gone") {
  for (const size_t Live : {25U, 60U, 195U}) {
    CAPTURE(Live);
    PeerFleet Fleet(Live, 0, 1, LossShare);
    Fleet.run(6s);
    const std::vector<size_t> First = Fleet.firstThree();
    CHECK(First.size() == 3);
    for (int I = 0; I < 10; ++I) {
      Fleet.run(1s);
      CHECK(Fleet.firstThree() == First);
    }
  }
}

TEST_CASE("the datagrams of a node stay bounded in large fleets") {
  constexpr model::Duration Watched = 10s;
  // Loads to MaxNoticeTargets peers, five times a second.
  constexpr size_t LoadsPerSecond = MaxNoticeTargets * 5;
  constexpr size_t GreetingsPerSecond = 110;
  for (const size_t Live : {8U, 195U})
    for (const size_t Gone : {0U, 1000U}) {
      CAPTURE(Live);
      CAPTURE(Gone);
      PeerFleet Fleet(Live, Gone, 1, LossShare);
      Fleet.run(8s);
      Fleet.takeSent();
      Fleet.run(Watched);
      const size_t PerNodeAndSecond = Fleet.takeSent() / Live / 10;
      CAPTURE(PerNodeAndSecond);
      CHECK(PerNodeAndSecond <= LoadsPerSecond + GreetingsPerSecond);
    }
}

} // namespace bronzepass::core::gateway
