#include "UnitTests/Membership/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::unit_tests::membership {

namespace {

/// Starts five nodes in three failure domains and lets them discover each
/// other.
void bootFive(MembershipCluster &Cluster) {
  Cluster.boot("vm-1", "cartagena");
  Cluster.boot("vm-2", "cartagena");
  Cluster.boot("vm-3", "barranquilla");
  Cluster.boot("vm-4", "barranquilla");
  Cluster.boot("vm-5", "valledupar");
  Cluster.runFor(3s);
}

/// Engines e1 and e2, which the platform lists as live.
void declareEngines(MembershipCluster &Cluster) {
  for (const std::string Vm : {"vm-e1", "vm-e2"})
    Cluster.m_VmList[Vm] = {.m_Vm = model::VmId(Vm),
                            .m_Kind = model::VmKind::Endpoint};
  Cluster.apply(1, "engine e1 vm-e1\nengine e2 vm-e2\n");
  Cluster.runFor(5s);
}

/// The platform's VM list with the liveness of \p Vm changed.
ports::VmListReceived listWith(const MembershipCluster &Cluster,
                               const std::string &Vm,
                               model::Liveness Liveness) {
  ports::VmListReceived Seen;
  for (const auto &[Name, State] : Cluster.m_VmList) {
    Seen.m_Vms.push_back(State);
    if (Name == Vm)
      Seen.m_Vms.back().m_Liveness = Liveness;
  }
  return Seen;
}

/// Starts more nodes than one node has links, so that updates take several
/// hops.
void bootMany(MembershipCluster &Cluster) {
  for (int I = 0; I < 24; ++I)
    Cluster.boot("vm-" + std::to_string(100 + I), I % 2 ? "a" : "b");
  Cluster.runFor(5s);
}

model::Liveness livenessIn(MembershipCluster &Cluster,
                           const std::string &Viewer, const std::string &Vm) {
  const auto *Known =
      Cluster.core(Viewer).view().members().find(model::VmId(Vm));
  return Known ? Known->m_Info.m_Liveness : model::Liveness::Gone;
}

bool hasLogged(MembershipCluster &Cluster, const std::string &Vm,
               const std::string &Action) {
  const auto &Log = Cluster.node(Vm).m_Log;
  return std::any_of(Log.begin(), Log.end(), [&Action](const auto &Line) {
    return Line.m_Action == Action;
  });
}

} // namespace

TEST_CASE("nodes that start together discover each other") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  CHECK(Cluster.allAgree());
  for (const auto &[Vm, Node] : Cluster.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 5);
}

TEST_CASE("a node that dies is suspect, then gone, on all others") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.kill("vm-3");
  Cluster.runFor(4500ms);
  CHECK(livenessIn(Cluster, "vm-1", "vm-3") == model::Liveness::Suspect);
  CHECK(Cluster.core("vm-1").view().duties().nodes().size() == 5);
  Cluster.runFor(6s);
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    CHECK(livenessIn(Cluster, Vm, "vm-3") == model::Liveness::Gone);
    CHECK(Node->m_Core->view().duties().nodes().size() == 4);
  }
}

TEST_CASE("a node paused for minutes does not act until a peer confirms it") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.pause("vm-2", 3min);
  Cluster.runFor(1min);
  CHECK(livenessIn(Cluster, "vm-1", "vm-2") == model::Liveness::Gone);
  Cluster.runFor(2min - 10ms);
  // Messages queued during the pause must not count as a confirmation.
  const auto Waiting = std::move(Cluster.node("vm-2").m_PendingEvents);
  Cluster.node("vm-2").m_PendingEvents.clear();
  for (const ports::Event &Event : Waiting) {
    Cluster.handleEvent("vm-2", Event);
    CHECK_FALSE(Cluster.core("vm-2").view().mayAct());
  }
  Cluster.runFor(10s);
  CHECK(Cluster.core("vm-2").view().mayAct());
  CHECK(hasLogged(Cluster, "vm-2", "refute"));
  CHECK(Cluster.allAgree());
}

TEST_CASE("a node that is disconnected after a pause does not act") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.pause("vm-2", 1min);
  Cluster.m_Network.m_Reachable = [](const model::VmId &A,
                                     const model::VmId &B) {
    return A.str() != "vm-2" && B.str() != "vm-2";
  };
  Cluster.runFor(3min);
  CHECK_FALSE(Cluster.core("vm-2").view().mayAct());
  Cluster.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  Cluster.runFor(20s);
  CHECK(Cluster.core("vm-2").view().mayAct());
}

TEST_CASE("failure domains rejoin after a network partition") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  const auto InCartagena = [](const model::VmId &Vm) {
    return Vm.str() <= "vm-2";
  };
  Cluster.m_Network.m_Reachable = [&](const model::VmId &A,
                                      const model::VmId &B) {
    return InCartagena(A) == InCartagena(B);
  };
  Cluster.runFor(5min);
  CHECK(Cluster.core("vm-1").view().duties().nodes().size() == 2);
  CHECK(Cluster.core("vm-5").view().duties().nodes().size() == 3);
  Cluster.m_Network.m_Reachable = [](const auto &, const auto &) {
    return true;
  };
  Cluster.runFor(20s);
  CHECK(Cluster.allAgree());
}

TEST_CASE("links that break at random make no node gone") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  fakes::FixedRandom Random(7);
  Cluster.m_Network.m_ShouldBreakLink = [&Random] {
    return Random.next() % 20 == 0;
  };
  for (int I = 0; I < 120; ++I) {
    Cluster.runFor(1s);
    for (const auto &[Vm, Node] : Cluster.nodes())
      CHECK(Node->m_Core->view().duties().nodes().size() == 5);
  }
}

TEST_CASE("a new process on the same VM replaces the old one") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  Cluster.kill("vm-3");
  Cluster.runFor(500ms);
  const model::NodeId Fresh =
      Cluster.boot("vm-3", "barranquilla").m_Info.m_Node;
  Cluster.runFor(5s);
  CHECK(Cluster.allAgree());
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    const std::optional<model::NodeInfo> Known =
        Node->m_Core->view().node(Fresh);
    REQUIRE(Known);
    CHECK(Known->m_Vm.str() == "vm-3");
  }
}

TEST_CASE("a node that is stopping is assigned no duties") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  ports::EffectList Effects;
  Cluster.core("vm-104").leave(Cluster.now(), Effects);
  for (const ports::Effect &Effect : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect))
      Cluster.m_Network.send(Cluster.node("vm-104").m_Info, Send->m_To,
                             Send->m_Message, Cluster.now());
  // Sooner than the full table sent after digest mismatches.
  Cluster.runFor(2s);
  for (const auto &[Vm, Node] : Cluster.nodes())
    CHECK(Node->m_Core->view().duties().nodes().size() == 23);
  CHECK_FALSE(Cluster.core("vm-104").isReady(Cluster.now()));
}

TEST_CASE("a leaving endpoint is known everywhere within 3 s though the list "
          "lags") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  declareEngines(Cluster);
  const model::EndpointId Engine("e1");
  SUBCASE("one node saw it refuse a connection") {
    Cluster.handleEvent("vm-105", ports::EndpointObserved{Engine, true});
  }
  SUBCASE("one node read a fresher list") {
    Cluster.handleEvent("vm-105",
                        listWith(Cluster, "vm-e1", model::Liveness::Leaving));
  }
  Cluster.runFor(3s);
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Engine) != model::Liveness::Live);
    CHECK(Endpoints.livenessOf(model::EndpointId("e2")) ==
          model::Liveness::Live);
  }
}

TEST_CASE(
    "a leaving endpoint that answers stays leaving, a suspect one is live") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  declareEngines(Cluster);
  const model::EndpointId Leaving("e1");
  const model::EndpointId Suspect("e2");
  Cluster.handleEvent("vm-1",
                      listWith(Cluster, "vm-e1", model::Liveness::Leaving));
  Cluster.handleEvent("vm-1", ports::EndpointObserved{Suspect, true});
  Cluster.runFor(2s);
  Cluster.handleEvent("vm-3", ports::EndpointObserved{Leaving, false});
  Cluster.handleEvent("vm-3", ports::EndpointObserved{Suspect, false});
  Cluster.runFor(2s);
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    const auto &Endpoints = Node->m_Core->view().endpoints();
    CHECK(Endpoints.livenessOf(Leaving) == model::Liveness::Leaving);
    CHECK(Endpoints.livenessOf(Suspect) == model::Liveness::Live);
  }
}

TEST_CASE("nodes without a link to a failed node learn that it is gone") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  REQUIRE(Cluster.allAgree());
  Cluster.kill("vm-103");
  Cluster.runFor(12s);
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    CHECK(livenessIn(Cluster, Vm, "vm-103") == model::Liveness::Gone);
  }
}

TEST_CASE("links that are no longer needed are closed") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  Cluster.runFor(40s);
  for (const auto &[Vm, Node] : Cluster.nodes())
    CHECK(Node->m_Core->view().linkedPeers().size() <=
          core::membership::Overlay::MaxDegree);
}

TEST_CASE(
    "a requested link to a node that is not a neighbour relays no updates") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  Cluster.runFor(40s);
  const std::vector<model::NodeId> Near =
      Cluster.core("vm-100").view().neighbours();
  for (const auto &[Vm, Node] : Cluster.nodes()) {
    const model::NodeId &Far = Node->m_Info.m_Node;
    if (Vm == "vm-100" ||
        std::find(Near.begin(), Near.end(), Far) != Near.end())
      continue;
    Cluster.core("vm-100").view().requestLink(Far, Cluster.now());
    Cluster.runFor(20s);
    CHECK(Cluster.core("vm-100").view().isLinked(Far));
    CHECK(Cluster.core("vm-100").view().neighbours() == Near);
    return;
  }
}

TEST_CASE("an old process that learns of a newer one on its VM is replaced") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  model::NodeInfo Newer = Cluster.node("vm-2").m_Info;
  Newer.m_Node = model::NodeId("vm-2-newer");
  Newer.m_Incarnation += 1'000'000;
  const model::NodeId Peer = Cluster.core("vm-2").view().linkedPeers().front();
  Cluster.handleEvent("vm-2",
                      ports::PeerMessageReceived{
                          Peer, ports::Heartbeat{.m_Sequence = 1'000'000,
                                                 .m_NodeUpdates = {Newer}}});
  CHECK(Cluster.core("vm-2").view().isReplaced());
  CHECK_FALSE(Cluster.core("vm-2").isReady(Cluster.now()));
}

TEST_CASE("a disconnected node does not consider many others gone") {
  MembershipCluster Cluster;
  bootMany(Cluster);
  CHECK(Cluster.allAgree());
  Cluster.m_Network.m_Reachable = [](const model::VmId &A,
                                     const model::VmId &B) {
    return A.str() != "vm-105" && B.str() != "vm-105";
  };
  Cluster.runFor(1min);
  CHECK(Cluster.core("vm-105").view().duties().nodes().size() == 24);
  CHECK(Cluster.core("vm-101").view().duties().nodes().size() == 23);
}

TEST_CASE("an empty VM list removes no endpoint and no node") {
  MembershipCluster Cluster;
  bootFive(Cluster);
  declareEngines(Cluster);
  for (int I = 0; I < 5; ++I) {
    Cluster.handleEvent("vm-1", ports::VmListReceived());
    Cluster.runFor(100ms);
  }
  const auto &View = Cluster.core("vm-1").view();
  CHECK(View.endpoints().livenessOf(model::EndpointId("e1")) ==
        model::Liveness::Live);
  CHECK(Cluster.allAgree());
}

} // namespace bronzepass::unit_tests::membership
