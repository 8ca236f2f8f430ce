#include "UnitTests/Membership/MembershipSystem.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::unit_tests::membership {

namespace {

/// Five nodes in three failure domains that know one another.
void bootFive(MembershipSystem &System) {
  System.boot("vm-1", "cartagena");
  System.boot("vm-2", "cartagena");
  System.boot("vm-3", "barranquilla");
  System.boot("vm-4", "barranquilla");
  System.boot("vm-5", "valledupar");
  System.run(3s);
}

/// Engines e1 and e2, which the platform lists as live.
void declareEngines(MembershipSystem &System) {
  for (const std::string Vm : {"vm-e1", "vm-e2"})
    System.m_VmList[Vm] = {.m_Vm = model::VmId(Vm),
                           .m_Kind = model::VmKind::Endpoint};
  System.apply(1, "engine e1 vm-e1\nengine e2 vm-e2\n");
  System.run(5s);
}

/// The platform's list as it is, but for \p Vm.
ports::VmListSeen listWith(const MembershipSystem &System,
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
void bootMany(MembershipSystem &System) {
  for (int I = 0; I < 24; ++I)
    System.boot("vm-" + std::to_string(100 + I), I % 2 ? "a" : "b");
  System.run(5s);
}

model::Liveness livenessIn(MembershipSystem &System, const std::string &Viewer,
                           const std::string &Vm) {
  const auto *Known =
      System.core(Viewer).view().members().find(model::VmId(Vm));
  return Known ? Known->m_Info.m_Liveness : model::Liveness::Gone;
}

bool hasLogged(MembershipSystem &System, const std::string &Vm,
               const std::string &Action) {
  const auto &Log = System.node(Vm).m_Log;
  return std::any_of(Log.begin(), Log.end(), [&Action](const auto &Line) {
    return Line.m_Action == Action;
  });
}

} // namespace

TEST_CASE("nodes that boot together find one another") {
  MembershipSystem System;
  bootFive(System);
  CHECK(System.allAgree());
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 5);
}

TEST_CASE("a node that dies is suspect first, then gone, on all others") {
  MembershipSystem System;
  bootFive(System);
  System.kill("vm-3");
  System.run(4500ms);
  CHECK(livenessIn(System, "vm-1", "vm-3") == model::Liveness::Suspect);
  CHECK(System.core("vm-1").view().duties().nodes().size() == 5);
  System.run(6s);
  for (const auto &[Vm, Node] : System.nodes()) {
    CHECK(livenessIn(System, Vm, "vm-3") == model::Liveness::Gone);
    CHECK(Node->m_Core->view().duties().nodes().size() == 4);
  }
}

TEST_CASE("a node paused for minutes learns that it is out before it acts") {
  MembershipSystem System;
  bootFive(System);
  System.pause("vm-2", 3min);
  System.run(1min);
  CHECK(livenessIn(System, "vm-1", "vm-2") == model::Liveness::Gone);
  System.run(2min - 10ms);
  // What waited in its queue for minutes must not make it sure of itself.
  const auto Waiting = std::move(System.node("vm-2").m_Waiting);
  System.node("vm-2").m_Waiting.clear();
  for (const ports::Event &Event : Waiting) {
    System.give("vm-2", Event);
    CHECK_FALSE(System.core("vm-2").view().mayAct());
  }
  System.run(10s);
  CHECK(System.core("vm-2").view().mayAct());
  CHECK(hasLogged(System, "vm-2", "refute"));
  CHECK(System.allAgree());
}

TEST_CASE("a node that wakes cut off from all does not act") {
  MembershipSystem System;
  bootFive(System);
  System.pause("vm-2", 1min);
  System.m_Network.m_Reachable = [](const model::VmId &A,
                                    const model::VmId &B) {
    return A.str() != "vm-2" && B.str() != "vm-2";
  };
  System.run(3min);
  CHECK_FALSE(System.core("vm-2").view().mayAct());
  System.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  System.run(20s);
  CHECK(System.core("vm-2").view().mayAct());
}

TEST_CASE("domains that were parted rejoin") {
  MembershipSystem System;
  bootFive(System);
  const auto InCartagena = [](const model::VmId &Vm) {
    return Vm.str() <= "vm-2";
  };
  System.m_Network.m_Reachable = [&](const model::VmId &A,
                                     const model::VmId &B) {
    return InCartagena(A) == InCartagena(B);
  };
  System.run(5min);
  CHECK(System.core("vm-1").view().duties().nodes().size() == 2);
  CHECK(System.core("vm-5").view().duties().nodes().size() == 3);
  System.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  System.run(20s);
  CHECK(System.allAgree());
}

TEST_CASE("links that break at random put nobody out") {
  MembershipSystem System;
  bootFive(System);
  fakes::FixedRandom Random(7);
  System.m_Network.m_Breaks = [&Random] { return Random.next() % 20 == 0; };
  for (int I = 0; I < 120; ++I) {
    System.run(1s);
    for (const auto &[Vm, Node] : System.nodes())
      CHECK(Node->m_Core->view().duties().nodes().size() == 5);
  }
}

TEST_CASE("a new process on the same VM takes the old one's place") {
  MembershipSystem System;
  bootFive(System);
  System.kill("vm-3");
  System.run(500ms);
  const model::NodeId Fresh = System.boot("vm-3", "barranquilla").m_Info.m_Node;
  System.run(5s);
  CHECK(System.allAgree());
  for (const auto &[Vm, Node] : System.nodes()) {
    const std::optional<model::NodeInfo> Known =
        Node->m_Core->view().node(Fresh);
    REQUIRE(Known);
    CHECK(Known->m_Vm.str() == "vm-3");
  }
}

TEST_CASE("a node that stops gets no duty from then on") {
  MembershipSystem System;
  bootMany(System);
  ports::EffectList Effects;
  System.core("vm-104").leave(System.now(), Effects);
  for (const ports::Effect &Effect : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect))
      System.m_Network.send(System.node("vm-104").m_Info, Send->m_To,
                            Send->m_Message, System.now());
  // Sooner than the comparison of digests would tell it.
  System.run(2s);
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 23);
  CHECK_FALSE(System.core("vm-104").isReady(System.now()));
}

TEST_CASE("a leaving endpoint is known everywhere within 3 s though the list "
          "lags") {
  MembershipSystem System;
  bootMany(System);
  declareEngines(System);
  const model::EndpointId Engine("e1");
  SUBCASE("one node saw it refuse a connection") {
    System.give("vm-105", ports::EndpointSeen{Engine, true});
  }
  SUBCASE("one node read a fresher list") {
    System.give("vm-105", listWith(System, "vm-e1", model::Liveness::Leaving));
  }
  System.run(3s);
  for (const auto &[Vm, Node] : System.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Engine) != model::Liveness::Live);
    CHECK(Endpoints.livenessOf(model::EndpointId("e2")) ==
          model::Liveness::Live);
  }
}

TEST_CASE("a leaving endpoint that answers stays leaving, a suspect does not") {
  MembershipSystem System;
  bootFive(System);
  declareEngines(System);
  const model::EndpointId Leaving("e1");
  const model::EndpointId Suspect("e2");
  System.give("vm-1", listWith(System, "vm-e1", model::Liveness::Leaving));
  System.give("vm-1", ports::EndpointSeen{Suspect, true});
  System.run(2s);
  System.give("vm-3", ports::EndpointSeen{Leaving, false});
  System.give("vm-3", ports::EndpointSeen{Suspect, false});
  System.run(2s);
  for (const auto &[Vm, Node] : System.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Leaving) == model::Liveness::Leaving);
    CHECK(Endpoints.livenessOf(Suspect) == model::Liveness::Live);
  }
}

TEST_CASE("news of a node reaches those that have no link to it") {
  MembershipSystem System;
  bootMany(System);
  REQUIRE(System.allAgree());
  System.kill("vm-103");
  System.run(12s);
  for (const auto &[Vm, Node] : System.nodes()) {
    CHECK(livenessIn(System, Vm, "vm-103") == model::Liveness::Gone);
  }
}

TEST_CASE("links that are no longer needed are let go") {
  MembershipSystem System;
  bootMany(System);
  System.run(40s);
  for (const auto &[Vm, Node] : System.nodes())
    CHECK(Node->m_Core->view().linkedPeers().size() <=
          core::membership::Overlay::MaxDegree);
}

TEST_CASE("a link asked for by a node that is no neighbour carries no news") {
  MembershipSystem System;
  bootMany(System);
  System.run(40s);
  const std::vector<model::NodeId> Near =
      System.core("vm-100").view().neighbours();
  for (const auto &[Vm, Node] : System.nodes()) {
    const model::NodeId &Far = Node->m_Info.m_Node;
    if (Vm == "vm-100" ||
        std::find(Near.begin(), Near.end(), Far) != Near.end())
      continue;
    System.core("vm-100").view().requestLink(Far, System.now());
    System.run(20s);
    CHECK(System.core("vm-100").view().isLinked(Far));
    CHECK(System.core("vm-100").view().neighbours() == Near);
    return;
  }
}

TEST_CASE("an old process steps back for the new one on its VM") {
  MembershipSystem System;
  bootFive(System);
  model::NodeInfo Newer = System.node("vm-2").m_Info;
  Newer.m_Node = model::NodeId("vm-2-newer");
  Newer.m_Incarnation += 1'000'000;
  const model::NodeId Peer = System.core("vm-2").view().linkedPeers().front();
  System.give("vm-2", ports::PeerReceived{
                          Peer, ports::Heartbeat{.m_Sequence = 1'000'000,
                                                 .m_NodeNews = {Newer}}});
  CHECK(System.core("vm-2").view().isReplaced());
  CHECK_FALSE(System.core("vm-2").isReady(System.now()));
}

TEST_CASE("a node that is cut off does not take many others for dead") {
  MembershipSystem System;
  bootMany(System);
  CHECK(System.allAgree());
  System.m_Network.m_Reachable = [](const model::VmId &A,
                                    const model::VmId &B) {
    return A.str() != "vm-105" && B.str() != "vm-105";
  };
  System.run(1min);
  CHECK(System.core("vm-105").view().duties().nodes().size() == 24);
  CHECK(System.core("vm-101").view().duties().nodes().size() == 23);
}

TEST_CASE("a list that comes out empty takes no endpoint and no node away") {
  MembershipSystem System;
  bootFive(System);
  declareEngines(System);
  for (int I = 0; I < 5; ++I) {
    System.give("vm-1", ports::VmListSeen());
    System.run(100ms);
  }
  const auto &View = System.core("vm-1").view();
  CHECK(View.endpoints().livenessOf(model::EndpointId("e1")) ==
        model::Liveness::Live);
  CHECK(System.allAgree());
}

} // namespace bronzepass::unit_tests::membership
