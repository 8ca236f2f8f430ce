#include "UnitTests/Membership/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::unit_tests::membership {

namespace {

/// Five nodes in three failure domains that know one another.
void bootFive(MembershipCluster &System) {
  System.boot("vm-1", "cartagena");
  System.boot("vm-2", "cartagena");
  System.boot("vm-3", "barranquilla");
  System.boot("vm-4", "barranquilla");
  System.boot("vm-5", "valledupar");
  System.runFor(3s);
}

/// Engines e1 and e2, which the platform lists as live.
void declareEngines(MembershipCluster &System) {
  for (const std::string Vm : {"vm-e1", "vm-e2"})
    System.m_VmList[Vm] = {.m_Vm = model::VmId(Vm),
                           .m_Kind = model::VmKind::Endpoint};
  System.apply(1, "engine e1 vm-e1\nengine e2 vm-e2\n");
  System.runFor(5s);
}

/// The platform's list as it is, but for \p Vm.
ports::VmListSeen listWith(const MembershipCluster &System,
                           const std::string &Vm, model::Liveness Liveness) {
  ports::VmListSeen Seen;
  for (const auto &[Name, State] : System.m_VmList) {
    Seen.m_Vms.push_back(State);
    if (Name == Vm)
      Seen.m_Vms.back().m_Liveness = Liveness;
  }
  return Seen;
}

/// More nodes than one has links, so that news takes several hops.
void bootMany(MembershipCluster &System) {
  for (int I = 0; I < 24; ++I)
    System.boot("vm-" + std::to_string(100 + I), I % 2 ? "a" : "b");
  System.runFor(5s);
}

model::Liveness livenessIn(MembershipCluster &System, const std::string &Viewer,
                           const std::string &Vm) {
  const auto *Known =
      System.core(Viewer).view().members().find(model::VmId(Vm));
  return Known ? Known->m_Info.m_Liveness : model::Liveness::Gone;
}

bool hasLogged(MembershipCluster &System, const std::string &Vm,
               const std::string &Action) {
  const auto &Log = System.node(Vm).m_Log;
  return std::any_of(Log.begin(), Log.end(), [&Action](const auto &Line) {
    return Line.m_Action == Action;
  });
}

} // namespace

TEST_CASE("nodes that boot together find one another") {
  MembershipCluster System;
  bootFive(System);
  CHECK(System.allAgree());
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 5);
}

TEST_CASE("a node that dies is suspect first, then gone, on all others") {
  MembershipCluster System;
  bootFive(System);
  System.kill("vm-3");
  System.runFor(4500ms);
  CHECK(livenessIn(System, "vm-1", "vm-3") == model::Liveness::Suspect);
  CHECK(System.core("vm-1").view().duties().nodes().size() == 5);
  System.runFor(6s);
  for (const auto &[Vm, Node] : System.nodes()) {
    CHECK(livenessIn(System, Vm, "vm-3") == model::Liveness::Gone);
    CHECK(Node->m_Core->view().duties().nodes().size() == 4);
  }
}

TEST_CASE("a node paused for minutes learns that it is out before it acts") {
  MembershipCluster System;
  bootFive(System);
  System.pause("vm-2", 3min);
  System.runFor(1min);
  CHECK(livenessIn(System, "vm-1", "vm-2") == model::Liveness::Gone);
  System.runFor(2min - 10ms);
  // What waited in its queue for minutes must not make it sure of itself.
  const auto Waiting = std::move(System.node("vm-2").m_PendingEvents);
  System.node("vm-2").m_PendingEvents.clear();
  for (const ports::Event &Event : Waiting) {
    System.handleEvent("vm-2", Event);
    CHECK_FALSE(System.core("vm-2").view().mayAct());
  }
  System.runFor(10s);
  CHECK(System.core("vm-2").view().mayAct());
  CHECK(hasLogged(System, "vm-2", "refute"));
  CHECK(System.allAgree());
}

TEST_CASE("a node that wakes cut off from all does not act") {
  MembershipCluster System;
  bootFive(System);
  System.pause("vm-2", 1min);
  System.m_Network.m_Reachable = [](const model::VmId &A,
                                    const model::VmId &B) {
    return A.str() != "vm-2" && B.str() != "vm-2";
  };
  System.runFor(3min);
  CHECK_FALSE(System.core("vm-2").view().mayAct());
  System.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  System.runFor(20s);
  CHECK(System.core("vm-2").view().mayAct());
}

TEST_CASE("domains that were parted rejoin") {
  MembershipCluster System;
  bootFive(System);
  const auto InCartagena = [](const model::VmId &Vm) {
    return Vm.str() <= "vm-2";
  };
  System.m_Network.m_Reachable = [&](const model::VmId &A,
                                     const model::VmId &B) {
    return InCartagena(A) == InCartagena(B);
  };
  System.runFor(5min);
  CHECK(System.core("vm-1").view().duties().nodes().size() == 2);
  CHECK(System.core("vm-5").view().duties().nodes().size() == 3);
  System.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  System.runFor(20s);
  CHECK(System.allAgree());
}

TEST_CASE("links that break at random put nobody out") {
  MembershipCluster System;
  bootFive(System);
  fakes::FixedRandom Random(7);
  System.m_Network.m_Breaks = [&Random] { return Random.next() % 20 == 0; };
  for (int I = 0; I < 120; ++I) {
    System.runFor(1s);
    for (const auto &[Vm, Node] : System.nodes())
      CHECK(Node->m_Core->view().duties().nodes().size() == 5);
  }
}

TEST_CASE("a new process on the same VM takes the old one's place") {
  MembershipCluster System;
  bootFive(System);
  System.kill("vm-3");
  System.runFor(500ms);
  const model::NodeId Fresh = System.boot("vm-3", "barranquilla").m_Info.m_Node;
  System.runFor(5s);
  CHECK(System.allAgree());
  for (const auto &[Vm, Node] : System.nodes()) {
    const std::optional<model::NodeInfo> Known =
        Node->m_Core->view().node(Fresh);
    REQUIRE(Known);
    CHECK(Known->m_Vm.str() == "vm-3");
  }
}

TEST_CASE("a node that stops gets no duty from then on") {
  MembershipCluster System;
  bootMany(System);
  ports::EffectList Effects;
  System.core("vm-104").leave(System.now(), Effects);
  for (const ports::Effect &Effect : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect))
      System.m_Network.send(System.node("vm-104").m_Info, Send->m_To,
                            Send->m_Message, System.now());
  // Sooner than the comparison of digests would tell it.
  System.runFor(2s);
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 23);
  CHECK_FALSE(System.core("vm-104").isReady(System.now()));
}

TEST_CASE("a leaving endpoint is known everywhere within 3 s though the list "
          "lags") {
  MembershipCluster System;
  bootMany(System);
  declareEngines(System);
  const model::EndpointId Engine("e1");
  SUBCASE("one node saw it refuse a connection") {
    System.handleEvent("vm-105", ports::EndpointSeen{Engine, true});
  }
  SUBCASE("one node read a fresher list") {
    System.handleEvent("vm-105",
                       listWith(System, "vm-e1", model::Liveness::Leaving));
  }
  System.runFor(3s);
  for (const auto &[Vm, Node] : System.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Engine) != model::Liveness::Live);
    CHECK(Endpoints.livenessOf(model::EndpointId("e2")) ==
          model::Liveness::Live);
  }
}

TEST_CASE("a leaving endpoint that answers stays leaving, a suspect does not") {
  MembershipCluster System;
  bootFive(System);
  declareEngines(System);
  const model::EndpointId Leaving("e1");
  const model::EndpointId Suspect("e2");
  System.handleEvent("vm-1",
                     listWith(System, "vm-e1", model::Liveness::Leaving));
  System.handleEvent("vm-1", ports::EndpointSeen{Suspect, true});
  System.runFor(2s);
  System.handleEvent("vm-3", ports::EndpointSeen{Leaving, false});
  System.handleEvent("vm-3", ports::EndpointSeen{Suspect, false});
  System.runFor(2s);
  for (const auto &[Vm, Node] : System.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Leaving) == model::Liveness::Leaving);
    CHECK(Endpoints.livenessOf(Suspect) == model::Liveness::Live);
  }
}

TEST_CASE("news of a node reaches those that have no link to it") {
  MembershipCluster System;
  bootMany(System);
  REQUIRE(System.allAgree());
  System.kill("vm-103");
  System.runFor(12s);
  for (const auto &[Vm, Node] : System.nodes()) {
    CHECK(livenessIn(System, Vm, "vm-103") == model::Liveness::Gone);
  }
}

TEST_CASE("links that are no longer needed are let go") {
  MembershipCluster System;
  bootMany(System);
  System.runFor(40s);
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().linkedPeers().size() <=
          core::membership::Overlay::MaxDegree);
}

TEST_CASE("a link asked for by a node that is no neighbour carries no news") {
  MembershipCluster System;
  bootMany(System);
  System.runFor(40s);
  const std::vector<model::NodeId> Near =
      System.core("vm-100").view().neighbours();
  for (const auto &[Vm, Node] : System.nodes()) {
    const model::NodeId &Far = Node->m_Info.m_Node;
    if (Vm == "vm-100" ||
        std::find(Near.begin(), Near.end(), Far) != Near.end())
      continue;
    System.core("vm-100").view().requestLink(Far, System.now());
    System.runFor(20s);
    CHECK(System.core("vm-100").view().isLinked(Far));
    CHECK(System.core("vm-100").view().neighbours() == Near);
    return;
  }
}

TEST_CASE("an old process steps back for the new one on its VM") {
  MembershipCluster System;
  bootFive(System);
  model::NodeInfo Newer = System.node("vm-2").m_Info;
  Newer.m_Node = model::NodeId("vm-2-newer");
  Newer.m_Incarnation += 1'000'000;
  const model::NodeId Peer = System.core("vm-2").view().linkedPeers().front();
  System.handleEvent(
      "vm-2",
      ports::PeerReceived{Peer, ports::Heartbeat{.m_Sequence = 1'000'000,
                                                 .m_NodeNews = {Newer}}});
  CHECK(System.core("vm-2").view().isReplaced());
  CHECK_FALSE(System.core("vm-2").isReady(System.now()));
}

TEST_CASE("a node that is cut off does not take many others for dead") {
  MembershipCluster System;
  bootMany(System);
  CHECK(System.allAgree());
  System.m_Network.m_Reachable = [](const model::VmId &A,
                                    const model::VmId &B) {
    return A.str() != "vm-105" && B.str() != "vm-105";
  };
  System.runFor(1min);
  CHECK(System.core("vm-105").view().duties().nodes().size() == 24);
  CHECK(System.core("vm-101").view().duties().nodes().size() == 23);
}

TEST_CASE("a list that comes out empty takes no endpoint and no node away") {
  MembershipCluster System;
  bootFive(System);
  declareEngines(System);
  for (int I = 0; I < 5; ++I) {
    System.handleEvent("vm-1", ports::VmListSeen());
    System.runFor(100ms);
  }
  const auto &View = System.core("vm-1").view();
  CHECK(View.endpoints().livenessOf(model::EndpointId("e1")) ==
        model::Liveness::Live);
  CHECK(System.allAgree());
}

} // namespace bronzepass::unit_tests::membership
