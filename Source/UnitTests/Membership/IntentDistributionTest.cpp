#include "Core/Membership/IntentParts.h"
#include "UnitTests/Membership/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::unit_tests::membership {

namespace {

void bootFive(MembershipCluster &System) {
  System.boot("vm-1", "cartagena");
  System.boot("vm-2", "cartagena");
  System.boot("vm-3", "cartagena");
  System.boot("vm-4", "barranquilla");
  System.boot("vm-5", "barranquilla");
}

void setFault(MembershipCluster &System, fakes::StoreFault Fault) {
  System.m_Store.m_Fault = [Fault](const ports::StoreCall &) { return Fault; };
}

/// An intent of several parts; \p Number makes it differ from others.
std::string longText(int Number) {
  std::string Text;
  for (int I = 0; I < 4000; ++I)
    Text += "engine e" + std::to_string(I) + " vm-" + std::to_string(I) + "\n";
  return Text + "# " + std::to_string(Number) + "\n";
}

bool generationsNeverDecrease(const MembershipCluster &System) {
  return std::all_of(System.nodes().begin(), System.nodes().end(),
                     [](const auto &Entry) {
                       const auto &Seen = Entry.second->m_Generations;
                       return std::is_sorted(Seen.begin(), Seen.end());
                     });
}

size_t readyCount(const MembershipCluster &System) {
  return std::count_if(System.nodes().begin(), System.nodes().end(),
                       [&System](const auto &Entry) {
                         return Entry.second->m_Core->isReady(System.now());
                       });
}

} // namespace

TEST_CASE("an accepted generation is in force everywhere within 9 s, and "
          "every node can tell") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, longText(1));
  System.runFor(9s);
  CHECK(System.allAtGeneration(1));
  System.apply(2, longText(2));
  System.runFor(9s);
  CHECK(System.allAtGeneration(2));
  for (const auto &[Vm, Node] : System.nodes()) {
    const auto &View = Node->m_Core->view();
    CHECK(
        View.generations().nodesBehind({2}, View.members().present()).empty());
  }
}

TEST_CASE("a node that has not got the generation is named to the operator") {
  MembershipCluster System;
  bootFive(System);
  System.runFor(5s);
  System.pause("vm-4", 1min);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(2s);
  const auto &View = System.core("vm-1").view();
  const auto Behind =
      View.generations().nodesBehind({1}, View.members().present());
  REQUIRE(Behind.size() == 1);
  CHECK(Behind.front().m_Vm.str() == "vm-4");
}

TEST_CASE("a few nodes of each failure domain wait at the object API") {
  MembershipCluster System;
  uint64_t Watches = 0;
  System.m_Store.m_Fault = [&Watches](const ports::StoreCall &Call) {
    Watches += Call.m_Verb == ports::StoreVerb::Watch;
    return fakes::StoreFault::None;
  };
  bootFive(System);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(30s);
  Watches = 0;
  // Four watchers, one watch of 30 s each at a time.
  System.runFor(10min);
  CHECK(Watches >= 4 * 19);
  CHECK(Watches <= 4 * 21);
}

TEST_CASE("watches that end at once do not become a flood of calls") {
  MembershipCluster System;
  System.boot("vm-1", "cartagena");
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(5s);
  // The fake answers a watch at once where its version is unknown to it.
  System.m_AlterAnswer = [](ports::StoreAnswer &Answer) {
    Answer.m_ListVersion = {};
    Answer.m_Objects.clear();
  };
  const uint64_t Before = System.m_Store.callCount();
  System.runFor(10min);
  CHECK(System.m_Store.callCount() - Before <= 10 * 60);
}

TEST_CASE("the object API is down for an hour") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, longText(1));
  System.runFor(10s);
  REQUIRE(System.allAtGeneration(1));
  setFault(System, fakes::StoreFault::Down);
  System.runFor(30min);
  CHECK(System.allAtGeneration(1));
  CHECK(readyCount(System) == 5);
  System.kill("vm-2");
  System.boot("vm-2", "cartagena");
  System.runFor(5s);
  CHECK(System.allAtGeneration(1));
  CHECK(System.core("vm-2").isReady(System.now()));
  const uint64_t CallsBefore = System.m_Store.callCount();
  System.runFor(30min);
  // Backed off to 2.5 s on average: 5 nodes at most, 30 min.
  CHECK(System.m_Store.callCount() - CallsBefore <= 5 * 30 * 60 / 2);
  setFault(System, fakes::StoreFault::None);
  System.apply(2, longText(2));
  System.runFor(9s);
  CHECK(System.allAtGeneration(2));
  CHECK(generationsNeverDecrease(System));
}

TEST_CASE("a node that boots without object API and peers is not ready") {
  MembershipCluster System;
  setFault(System, fakes::StoreFault::Down);
  bootFive(System);
  System.runFor(1min);
  CHECK(readyCount(System) == 0);
  setFault(System, fakes::StoreFault::None);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(15s);
  CHECK(readyCount(System) == 5);
}

TEST_CASE("a node is never ready with an older generation than its peers'") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(5s);
  const ports::StoredObject Old =
      *System.m_Store.find(core::membership::intentHeadKey());
  System.apply(2, "engine e2 vm-e2\n");
  System.runFor(5s);
  REQUIRE(System.allAtGeneration(2));
  // From now on every read of the head lags by one generation.
  System.m_AlterAnswer = [&Old](ports::StoreAnswer &Answer) {
    for (ports::StoredObject &Object : Answer.m_Objects)
      if (Object.m_Key == Old.m_Key)
        Object = Old;
  };
  System.kill("vm-3");
  System.boot("vm-3", "cartagena");
  for (int I = 0; I < 1000; ++I) {
    System.runFor(10ms);
    if (System.core("vm-3").isReady(System.now()))
      REQUIRE(System.core("vm-3").intent().generation().m_Value == 2);
  }
  CHECK(System.core("vm-3").isReady(System.now()));
}

TEST_CASE("the object API is slow and loses calls and answers") {
  MembershipCluster System;
  fakes::FixedRandom Random(11);
  System.m_Store.m_Fault = [&Random](const ports::StoreCall &Call) {
    if (Call.m_Verb == ports::StoreVerb::Create ||
        Call.m_Verb == ports::StoreVerb::Update)
      return fakes::StoreFault::None;
    constexpr std::array<fakes::StoreFault, 4> Faults = {
        fakes::StoreFault::None, fakes::StoreFault::Slow,
        fakes::StoreFault::LostAnswer, fakes::StoreFault::LostCall};
    return Faults[Random.next() % Faults.size()];
  };
  fakes::FixedRandom Breaks(12);
  System.m_Network.m_Breaks = [&Breaks] { return Breaks.next() % 50 == 0; };
  bootFive(System);
  for (uint64_t Generation = 1; Generation <= 10; ++Generation) {
    System.apply(Generation, longText(static_cast<int>(Generation)));
    System.runFor(90s);
    CHECK(System.allAtGeneration(Generation));
  }
  CHECK(generationsNeverDecrease(System));
}

TEST_CASE("an old generation that comes back by any road is not taken") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(5s);
  const model::IntentHead OldHead = System.core("vm-1").intent().head();
  System.apply(2, "engine e2 vm-e2\n");
  System.runFor(5s);
  REQUIRE(System.allAtGeneration(2));
  SUBCASE("a lagging read of the object API") {
    System.m_AlterAnswer = [&OldHead](ports::StoreAnswer &Answer) {
      for (ports::StoredObject &Object : Answer.m_Objects)
        if (Object.m_Key == core::membership::intentHeadKey())
          Object.m_Record = OldHead;
    };
    System.runFor(2min);
  }
  SUBCASE("a peer's offer") {
    const model::NodeId Peer = System.core("vm-1").view().linkedPeers().front();
    System.handleEvent("vm-1",
                       ports::PeerReceived{Peer, ports::IntentOffer{OldHead}});
  }
  SUBCASE("the object API restored from an old copy") {
    System.m_Store = fakes::FakeStore();
    System.apply(1, "engine e1 vm-e1\n");
    System.runFor(2min);
  }
  SUBCASE("a node that slept through the change") {
    System.pause("vm-4", 1min);
    System.apply(3, "engine e3 vm-e3\n");
    System.runFor(2min);
  }
  System.runFor(10s);
  CHECK(System.core("vm-1").intent().generation().m_Value >= 2);
  CHECK(generationsNeverDecrease(System));
}

TEST_CASE("an intent with errors is in force nowhere, the next good one is") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, "engine e1 vm-e1\n");
  System.runFor(5s);
  System.apply(2, "broken\n");
  System.runFor(10s);
  CHECK(System.allAtGeneration(1));
  // The head is read again after an outage; it is not parsed again.
  setFault(System, fakes::StoreFault::Down);
  System.runFor(40s);
  setFault(System, fakes::StoreFault::None);
  System.runFor(40s);
  const auto &Log = System.node("vm-1").m_Log;
  CHECK(std::count_if(Log.begin(), Log.end(), [](const auto &Line) {
          return Line.m_Action == "refuse";
        }) == 1);
  System.apply(3, "engine e3 vm-e3\n");
  System.runFor(9s);
  CHECK(System.allAtGeneration(3));
}

TEST_CASE("a generation overtaken while its parts come in is never mixed") {
  MembershipCluster System;
  bootFive(System);
  System.m_Store.m_Latency = 300ms;
  System.runFor(5s);
  for (uint64_t Generation = 1; Generation <= 8; ++Generation) {
    System.apply(Generation, longText(static_cast<int>(Generation)));
    System.runFor(350ms);
  }
  System.runFor(9s);
  CHECK(System.allAtGeneration(8));
  CHECK(generationsNeverDecrease(System));
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->intent().inForce()->m_Pools[0].m_Endpoints.size() ==
          4000);
}

TEST_CASE("all nodes are replaced one by one while the object API is out") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, longText(1));
  System.runFor(10s);
  setFault(System, fakes::StoreFault::Down);
  for (int I = 1; I <= 5; ++I) {
    System.kill("vm-" + std::to_string(I));
    System.boot("vm-" + std::to_string(10 + I), "cartagena");
    System.runFor(15s);
    CHECK(System.allAtGeneration(1));
    CHECK(readyCount(System) == 5);
  }
}

TEST_CASE("all nodes are replaced at once") {
  MembershipCluster System;
  bootFive(System);
  System.apply(1, longText(1));
  System.runFor(10s);
  for (int I = 1; I <= 5; ++I)
    System.kill("vm-" + std::to_string(I));
  for (int I = 1; I <= 5; ++I)
    System.boot("vm-" + std::to_string(10 + I), "cartagena");
  System.runFor(9s);
  CHECK(System.allAtGeneration(1));
  CHECK(readyCount(System) == 5);
}

} // namespace bronzepass::unit_tests::membership
