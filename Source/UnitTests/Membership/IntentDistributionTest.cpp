#include "Core/Membership/IntentParts.h"
#include "UnitTests/Membership/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::unit_tests::membership {

namespace {

void bootFive(MembershipCluster &Cluster) {
  Cluster.boot("vm-1", "cartagena");
  Cluster.boot("vm-2", "cartagena");
  Cluster.boot("vm-3", "cartagena");
  Cluster.boot("vm-4", "barranquilla");
  Cluster.boot("vm-5", "barranquilla");
}

void setFault(MembershipCluster &Cluster, fakes::StoreFault Fault) {
  Cluster.m_Store.m_Fault = [Fault](const ports::StoreCall &) { return Fault; };
}

/// An intent of several parts; \p Number makes it differ from others.
std::string longText(int Number) {
  std::string Text;
  for (int I = 0; I < 4000; ++I)
    Text += "engine e" + std::to_string(I) + " vm-" + std::to_string(I) + "\n";
  return Text + "# " + std::to_string(Number) + "\n";
}

bool generationsNeverDecrease(const MembershipCluster &Cluster) {
  return std::all_of(Cluster.nodes().begin(), Cluster.nodes().end(),
                     [](const auto &Entry) {
                       const auto &Seen = Entry.second->m_Generations;
                       return std::is_sorted(Seen.begin(), Seen.end());
                     });
}

size_t readyCount(const MembershipCluster &Cluster) {
  return std::count_if(Cluster.nodes().begin(), Cluster.nodes().end(),
                       [&Cluster](const auto &Entry) {
                         return Entry.second->m_Core->isReady(Cluster.now());
                       });
}

} // namespace

TEST_CASE("an accepted generation is in force everywhere within 9 s, and "
          "every node can report it") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, longText(1));
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(1));
  Cluster.apply(2, longText(2));
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(2));
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    const auto &View = Node->m_Core->view();
    CHECK(
        View.generations().nodesBehind({2}, View.members().present()).empty());
  }
}

TEST_CASE("a node without the new generation is reported as behind") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.runFor(5s);
  Cluster.pause("vm-4", 1min);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(2s);
  const auto &View = Cluster.core("vm-1").view();
  const auto Behind =
      View.generations().nodesBehind({1}, View.members().present());
  REQUIRE(Behind.size() == 1);
  CHECK(Behind.front().m_Vm.str() == "vm-4");
}

TEST_CASE("two nodes of each failure domain watch the object API") {
  MembershipCluster Cluster;
  uint64_t Watches = 0;
  Cluster.m_Store.m_Fault = [&Watches](const ports::StoreCall &Call) {
    Watches += Call.m_Verb == ports::StoreVerb::Watch;
    return fakes::StoreFault::None;
  };
  bootFive(Cluster);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(30s);
  Watches = 0;
  // Four watchers, each with one watch of 30 s at a time.
  Cluster.runFor(10min);
  CHECK(Watches >= 4 * 19);
  CHECK(Watches <= 4 * 21);
}

TEST_CASE("watches that end at once are retried with back-off") {
  MembershipCluster Cluster;
  Cluster.boot("vm-1", "cartagena");
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(5s);
  // The fake store answers a watch with an unknown version at once.
  Cluster.m_AlterAnswer = [](ports::StoreAnswer &Answer) {
    Answer.m_ListVersion = {};
    Answer.m_Objects.clear();
  };
  const uint64_t Before = Cluster.m_Store.callCount();
  Cluster.runFor(10min);
  CHECK(Cluster.m_Store.callCount() - Before <= 10 * 60);
}

TEST_CASE("an intent stays in force while the object API is down for an hour") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, longText(1));
  Cluster.runFor(10s);
  REQUIRE(Cluster.allAtGeneration(1));
  setFault(Cluster, fakes::StoreFault::Down);
  Cluster.runFor(30min);
  CHECK(Cluster.allAtGeneration(1));
  CHECK(readyCount(Cluster) == 5);
  Cluster.kill("vm-2");
  Cluster.boot("vm-2", "cartagena");
  Cluster.runFor(5s);
  CHECK(Cluster.allAtGeneration(1));
  CHECK(Cluster.core("vm-2").isReady(Cluster.now()));
  const uint64_t CallsBefore = Cluster.m_Store.callCount();
  Cluster.runFor(30min);
  // The back-off averages 2.5 s: at most 5 nodes for 30 min.
  CHECK(Cluster.m_Store.callCount() - CallsBefore <= 5 * 30 * 60 / 2);
  setFault(Cluster, fakes::StoreFault::None);
  Cluster.apply(2, longText(2));
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(2));
  CHECK(generationsNeverDecrease(Cluster));
}

TEST_CASE("nodes that start without the object API are not ready") {
  MembershipCluster Cluster;
  setFault(Cluster, fakes::StoreFault::Down);
  bootFive(Cluster);
  Cluster.runFor(1min);
  CHECK(readyCount(Cluster) == 0);
  setFault(Cluster, fakes::StoreFault::None);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(15s);
  CHECK(readyCount(Cluster) == 5);
}

TEST_CASE("a node is never ready with an older generation than its peers'") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(5s);
  const ports::StoredObject Old =
      *Cluster.m_Store.find(core::membership::intentHeadKey());
  Cluster.apply(2, "engine e2 vm-e2\n");
  Cluster.runFor(5s);
  REQUIRE(Cluster.allAtGeneration(2));
  // From now on every read of the head returns the previous generation.
  Cluster.m_AlterAnswer = [&Old](ports::StoreAnswer &Answer) {
    for (ports::StoredObject &Object : Answer.m_Objects)
      if (Object.m_Key == Old.m_Key)
        Object = Old;
  };
  Cluster.kill("vm-3");
  Cluster.boot("vm-3", "cartagena");
  for (int I = 0; I < 1000; ++I) {
    Cluster.runFor(10ms);
    if (Cluster.core("vm-3").isReady(Cluster.now()))
      REQUIRE(Cluster.core("vm-3").intent().generation().m_Value == 2);
  }
  CHECK(Cluster.core("vm-3").isReady(Cluster.now()));
}

TEST_CASE("generations are distributed while the object API is slow and loses "
          "calls and answers") {
  MembershipCluster Cluster;
  fakes::FixedRandom Random(11);
  Cluster.m_Store.m_Fault = [&Random](const ports::StoreCall &Call) {
    if (Call.m_Verb == ports::StoreVerb::Create ||
        Call.m_Verb == ports::StoreVerb::Update)
      return fakes::StoreFault::None;
    constexpr std::array<fakes::StoreFault, 4> Faults = {
        fakes::StoreFault::None, fakes::StoreFault::Slow,
        fakes::StoreFault::LostAnswer, fakes::StoreFault::LostCall};
    return Faults[Random.next() % Faults.size()];
  };
  fakes::FixedRandom Breaks(12);
  Cluster.m_Network.m_ShouldBreakLink = [&Breaks] {
    return Breaks.next() % 50 == 0;
  };
  bootFive(Cluster);
  for (uint64_t Generation = 1; Generation <= 10; ++Generation) {
    Cluster.apply(Generation, longText(static_cast<int>(Generation)));
    Cluster.runFor(90s);
    CHECK(Cluster.allAtGeneration(Generation));
  }
  CHECK(generationsNeverDecrease(Cluster));
}

TEST_CASE("an old generation received from any source is not put in force") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(5s);
  const model::IntentHead OldHead = Cluster.core("vm-1").intent().head();
  Cluster.apply(2, "engine e2 vm-e2\n");
  Cluster.runFor(5s);
  REQUIRE(Cluster.allAtGeneration(2));
  SUBCASE("a lagging read of the object API") {
    Cluster.m_AlterAnswer = [&OldHead](ports::StoreAnswer &Answer) {
      for (ports::StoredObject &Object : Answer.m_Objects)
        if (Object.m_Key == core::membership::intentHeadKey())
          Object.m_Record = OldHead;
    };
    Cluster.runFor(2min);
  }
  SUBCASE("a peer's offer") {
    const model::NodeId Peer =
        Cluster.core("vm-1").view().linkedPeers().front();
    Cluster.handleEvent(
        "vm-1", ports::PeerMessageReceived{Peer, ports::IntentOffer{OldHead}});
  }
  SUBCASE("the object API restored from an old copy") {
    Cluster.m_Store = fakes::FakeStore();
    Cluster.apply(1, "engine e1 vm-e1\n");
    Cluster.runFor(2min);
  }
  SUBCASE("a node that was paused during the change") {
    Cluster.pause("vm-4", 1min);
    Cluster.apply(3, "engine e3 vm-e3\n");
    Cluster.runFor(2min);
  }
  Cluster.runFor(10s);
  CHECK(Cluster.core("vm-1").intent().generation().m_Value >= 2);
  CHECK(generationsNeverDecrease(Cluster));
}

TEST_CASE("an intent with errors is never in force, the next valid one is") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, "engine e1 vm-e1\n");
  Cluster.runFor(5s);
  Cluster.apply(2, "broken\n");
  Cluster.runFor(10s);
  CHECK(Cluster.allAtGeneration(1));
  // The head is read again after an outage; it is not parsed again.
  setFault(Cluster, fakes::StoreFault::Down);
  Cluster.runFor(40s);
  setFault(Cluster, fakes::StoreFault::None);
  Cluster.runFor(40s);
  const auto &Log = Cluster.node("vm-1").m_Log;
  CHECK(std::count_if(Log.begin(), Log.end(), [](const auto &Line) {
          return Line.m_Action == "refuse";
        }) == 1);
  Cluster.apply(3, "engine e3 vm-e3\n");
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(3));
}

TEST_CASE(
    "parts of generations superseded during their fetch are never mixed") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.m_Store.m_Latency = 300ms;
  Cluster.runFor(5s);
  for (uint64_t Generation = 1; Generation <= 8; ++Generation) {
    Cluster.apply(Generation, longText(static_cast<int>(Generation)));
    Cluster.runFor(350ms);
  }
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(8));
  CHECK(generationsNeverDecrease(Cluster));
  for (const auto &[Vm, Node] : Cluster.nodes())
    CHECK(Node->m_Core->intent().inForce()->m_Pools[0].m_Endpoints.size() ==
          4000);
}

TEST_CASE("all nodes are replaced one by one while the object API is down") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, longText(1));
  Cluster.runFor(10s);
  setFault(Cluster, fakes::StoreFault::Down);
  for (int I = 1; I <= 5; ++I) {
    Cluster.kill("vm-" + std::to_string(I));
    Cluster.boot("vm-" + std::to_string(10 + I), "cartagena");
    Cluster.runFor(15s);
    CHECK(Cluster.allAtGeneration(1));
    CHECK(readyCount(Cluster) == 5);
  }
}

TEST_CASE("all nodes are replaced at once") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.apply(1, longText(1));
  Cluster.runFor(10s);
  for (int I = 1; I <= 5; ++I)
    Cluster.kill("vm-" + std::to_string(I));
  for (int I = 1; I <= 5; ++I)
    Cluster.boot("vm-" + std::to_string(10 + I), "cartagena");
  Cluster.runFor(9s);
  CHECK(Cluster.allAtGeneration(1));
  CHECK(readyCount(Cluster) == 5);
}

} // namespace bronzepass::unit_tests::membership
