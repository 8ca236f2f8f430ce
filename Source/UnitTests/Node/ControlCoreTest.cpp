#include "UnitTests/Node/ControlCluster.h"

#include "Core/Placement/PlacementCore.h"
#include "Core/Routing/RoutingTable.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace bronzepass::unit_tests::node {

using namespace core;
using namespace std::chrono_literals;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream Stream(Path);
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

const std::string DielectricaIntent = "Examples/dielectrica/intent.yaml";
const std::string NileIntent = "Examples/nile/intent.yaml";

/// The time within which a generation must be in force on every node.
constexpr model::Duration InForceTimeout = 9s;
/// 129 models and adapters, 50 s each, with at most 3 loads started a second
/// and 10 at once; doubled for slack.
constexpr model::Duration LoadTimeout = 20min;

/// Starts \p Count nodes in the failure domains a, b and c, and waits until all
/// models are served.
void startCluster(ControlCluster &Cluster, int Count, const std::string &Path) {
  const char *Domains[] = {"a", "b", "c"};
  for (int I = 1; I <= Count; ++I)
    Cluster.addNode("vm-" + std::to_string(I), Domains[I % 3]);
  Cluster.apply(readFile(Path));
  REQUIRE(Cluster.runUntil([&] { return Cluster.allInForce({1}); },
                           InForceTimeout));
  REQUIRE(Cluster.runUntil([&] { return Cluster.allServed(); }, LoadTimeout));
  REQUIRE(Cluster.allReady());
}

/// The VM whose node may act on the pool's lease; empty if none may.
std::string placer(ControlCluster &Cluster, const std::string &Pool) {
  const model::LeaseName Wanted = placement::poolLease(model::PoolId(Pool));
  for (auto &Entry : Cluster.nodes())
    for (const model::HeldLease &Lease : Entry.second.m_Core->heldLeases())
      if (Lease.m_Name == Wanted && Lease.m_ValidUntil > Cluster.m_Now)
        return Entry.first;
  return {};
}

} // namespace

TEST_CASE("from an empty start, every model of both deployments is served") {
  for (const std::string &Path : {DielectricaIntent, NileIntent}) {
    ControlCluster Cluster;
    startCluster(Cluster, 6, Path);
    CHECK(Cluster.peakMemoryShare() <= 1);
    for (auto &Entry : Cluster.nodes())
      CHECK(Entry.second.m_Table->intent().m_Generation ==
            model::Generation{1});
  }
}

TEST_CASE("all nodes replaced one by one: every model stays served, nothing is "
          "loaded again") {
  ControlCluster Cluster;
  startCluster(Cluster, 6, DielectricaIntent);
  Cluster.runFor(2min);
  const uint64_t Loads = Cluster.loadsStarted();
  Cluster.m_Invariant = [&] { REQUIRE(Cluster.allServed()); };
  for (int I = 1; I <= 6; ++I) {
    const std::string Vm = "vm-" + std::to_string(I);
    Cluster.post(Vm, ports::StopRequested());
    REQUIRE(Cluster.runUntil([&] { return Cluster.on(Vm).m_Stopped; }, 30s));
    const std::string Domain = Cluster.on(Vm).m_Info.m_Domain.str();
    Cluster.kill(Vm);
    Cluster.addNode(Vm, Domain);
    REQUIRE(Cluster.runUntil([&] { return Cluster.allReady(); }, 60s));
  }
  Cluster.runFor(3min);
  CHECK(placer(Cluster, "interpretation") != "");
  CHECK(Cluster.loadsStarted() == Loads);
  CHECK(Cluster.peakMemoryShare() <= 1);
}

TEST_CASE("all nodes replaced at once: state is rebuilt, nothing is loaded "
          "again") {
  ControlCluster Cluster;
  startCluster(Cluster, 4, NileIntent);
  Cluster.runFor(2min);
  const uint64_t Loads = Cluster.loadsStarted();
  std::map<std::string, std::string> Domains;
  for (auto &Entry : Cluster.nodes())
    Domains[Entry.first] = Entry.second.m_Info.m_Domain.str();
  for (const auto &Entry : Domains)
    Cluster.kill(Entry.first);
  Cluster.runFor(5s);
  for (const auto &Entry : Domains)
    Cluster.addNode(Entry.first, Entry.second);
  REQUIRE(Cluster.runUntil([&] { return Cluster.allReady(); }, 60s));
  Cluster.runFor(5min);
  CHECK(placer(Cluster, "assistants") != "");
  CHECK(Cluster.allServed());
  CHECK(Cluster.loadsStarted() == Loads);
  CHECK(Cluster.peakMemoryShare() <= 1);
}

TEST_CASE(
    "the store down for an hour: nodes stay ready, a failed engine is not "
    "live, and its models are loaded again once the store is back") {
  ControlCluster Cluster;
  startCluster(Cluster, 4, DielectricaIntent);
  Cluster.runFor(1min);
  Cluster.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::Down;
  };
  Cluster.runFor(10min);
  const model::EndpointId LostEngine("interpretation-1");
  Cluster.m_DeadEngines.insert(LostEngine);
  Cluster.runFor(50min);
  for (auto &Entry : Cluster.nodes()) {
    CHECK(Entry.second.m_Core->isReady());
    CHECK(Entry.second.m_Core->view().endpoints().livenessOf(LostEngine) !=
          model::Liveness::Live);
  }
  Cluster.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::None;
  };
  CHECK(Cluster.runUntil([&] { return Cluster.allServed(); }, LoadTimeout));
  CHECK(Cluster.peakMemoryShare() <= 1);
}

TEST_CASE("a placer paused past its lease sends no order when it resumes") {
  ControlCluster Cluster;
  startCluster(Cluster, 4, NileIntent);
  Cluster.runFor(1min);
  const std::string First = placer(Cluster, "assistants");
  REQUIRE(First != "");
  Cluster.on(First).m_Paused = true;
  // The next placer has orders to send while the first one is paused.
  Cluster.m_DeadEngines.insert(model::EndpointId("assistant-1"));
  REQUIRE(Cluster.runUntil(
      [&] {
        const std::string Now = placer(Cluster, "assistants");
        return !Now.empty() && Now != First;
      },
      2min));
  Cluster.runFor(2min);
  const uint64_t Sent = Cluster.on(First).m_OrdersSent;
  const std::string Second = placer(Cluster, "assistants");
  Cluster.on(First).m_Paused = false;
  Cluster.runFor(2s);
  CHECK(Cluster.on(First).m_OrdersSent == Sent);
  CHECK(placer(Cluster, "assistants") == Second);
  CHECK(Cluster.runUntil([&] { return Cluster.allServed(); }, LoadTimeout));
  CHECK(Cluster.peakMemoryShare() <= 1);
}

TEST_CASE("a partitioned failure domain gets a new generation through the "
          "store, and there is at most one placer") {
  ControlCluster Cluster;
  startCluster(Cluster, 6, DielectricaIntent);
  Cluster.m_Reachable = [](const std::string &A, const std::string &B) {
    // vm-3 and vm-6 are in failure domain a.
    const auto IsPartitioned = [](const std::string &Vm) {
      return Vm == "vm-3" || Vm == "vm-6";
    };
    return IsPartitioned(A) == IsPartitioned(B);
  };
  Cluster.m_Invariant = [&] {
    int Placers = 0;
    for (auto &Entry : Cluster.nodes())
      Placers += static_cast<int>(Entry.second.m_Core->heldLeases().size());
    REQUIRE(Placers <= 1);
  };
  Cluster.runFor(30s);
  Cluster.apply(readFile(DielectricaIntent) + "  # changed\n");
  CHECK(Cluster.runUntil([&] { return Cluster.allInForce({2}); },
                         InForceTimeout));
  Cluster.runFor(2min);
  CHECK(Cluster.allReady());
  Cluster.m_Reachable = [](const std::string &, const std::string &) {
    return true;
  };
  Cluster.runFor(1min);
  for (auto &Entry : Cluster.nodes())
    CHECK(Entry.second.m_Core->view().duties().nodes().size() == 6);
}

TEST_CASE("a claim reaches its owner without a standing link to it") {
  ControlCluster Cluster;
  // More nodes than a node has neighbours.
  constexpr int Nodes = 20;
  startCluster(Cluster, Nodes, NileIntent);
  Cluster.runFor(1min);
  for (int I = 1; I <= Nodes; ++I)
    for (uint64_t Key = 1; Key <= 10; ++Key)
      Cluster.post(
          "vm-" + std::to_string(I),
          ports::ClaimRequested{{Key}, Key * 7919 + I, 1, Cluster.m_Now + 10s});
  Cluster.runFor(12s);
  for (auto &Entry : Cluster.nodes()) {
    CHECK(Entry.second.m_Verdicts.size() == 10);
    for (const ports::ClaimVerdict &Each : Entry.second.m_Verdicts)
      CHECK(Each.m_Kind == ports::ClaimVerdictKind::Granted);
  }
}

TEST_CASE("a fence request with a newer token stops a placer's orders; one "
          "with its own token does not") {
  ControlCluster Cluster;
  startCluster(Cluster, 3, DielectricaIntent);
  ControlCluster::Node &Placer = Cluster.on(placer(Cluster, "interpretation"));
  const model::HeldLease Lease = Placer.m_Core->heldLeases().at(0);
  const model::NodeId Requester("vm-9.1");
  const auto SendFenceRequest = [&](uint64_t Token) {
    ports::EffectList Effects;
    Placer.m_Core->handle(
        ports::PeerMessageReceived{Requester,
                                   ports::FenceRequest{Lease.m_Name, {Token}}},
        Cluster.m_Now, Effects);
    return std::any_of(Effects.begin(), Effects.end(),
                       [&Requester](const ports::Effect &Each) {
                         const auto *Send = std::get_if<ports::PeerSend>(&Each);
                         return Send != nullptr && Send->m_To == Requester;
                       });
  };
  CHECK(SendFenceRequest(Lease.m_Token.m_Value));
  CHECK_FALSE(Placer.m_Core->placement().engines().empty());
  CHECK(SendFenceRequest(Lease.m_Token.m_Value + 1));
  CHECK(Placer.m_Core->placement().engines().empty());
  const uint64_t Sent = Placer.m_OrdersSent;
  Cluster.m_DeadEngines.insert(model::EndpointId("interpretation-1"));
  Cluster.runFor(1min);
  CHECK(Placer.m_Core->placement().engines().empty());
  CHECK(Placer.m_OrdersSent == Sent);
}

TEST_CASE("a key claimed on two nodes at the same time is granted to one") {
  ControlCluster Cluster;
  startCluster(Cluster, 3, DielectricaIntent);
  for (uint64_t Key = 1; Key <= 50; ++Key) {
    const ports::ClaimRequested Request{
        {Key}, Key * 7919, 1, Cluster.m_Now + 10s};
    Cluster.post("vm-1", Request);
    Cluster.post("vm-2", Request);
  }
  Cluster.runFor(12s);
  uint64_t Granted = 0;
  uint64_t Answered = 0;
  for (const char *Vm : {"vm-1", "vm-2"})
    for (const ports::ClaimVerdict &Each : Cluster.on(Vm).m_Verdicts) {
      ++Answered;
      Granted += Each.m_Kind == ports::ClaimVerdictKind::Granted ? 1 : 0;
    }
  CHECK(Granted == 50);
  CHECK(Answered == 100);
}

TEST_CASE("a stopping node hands over the pool's lease within seconds") {
  ControlCluster Cluster;
  startCluster(Cluster, 4, DielectricaIntent);
  const std::string First = placer(Cluster, "interpretation");
  REQUIRE_FALSE(First.empty());
  Cluster.post(First, ports::StopRequested());
  REQUIRE(Cluster.runUntil([&] { return Cluster.on(First).m_Stopped; }, 30s));
  CHECK(Cluster.runUntil(
      [&] {
        const std::string Now = placer(Cluster, "interpretation");
        return !Now.empty() && Now != First;
      },
      10s));
}

} // namespace bronzepass::unit_tests::node
