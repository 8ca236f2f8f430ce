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

std::string fileText(const std::string &Path) {
  std::ifstream Stream(Path);
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

const std::string Dielectrica = "Examples/dielectrica/intent.yaml";
const std::string Nile = "Examples/nile/intent.yaml";

/// The time in which a generation is to be in force everywhere.
constexpr model::Duration InForceWithin = 9s;
/// 129 models and adapters at 3 loads a second and 10 at once, 50 s each, and
/// as much again for slack.
constexpr model::Duration LoadedWithin = 20min;

/// A system of \p Count nodes over the failure domains a, b and c, whose models
/// all answer.
void bringUp(ControlCluster &System, int Count, const std::string &Path) {
  const char *Domains[] = {"a", "b", "c"};
  for (int I = 1; I <= Count; ++I)
    System.addNode("vm-" + std::to_string(I), Domains[I % 3]);
  System.apply(fileText(Path));
  REQUIRE(
      System.runUntil([&] { return System.allInForce({1}); }, InForceWithin));
  REQUIRE(System.runUntil([&] { return System.allServed(); }, LoadedWithin));
  REQUIRE(System.allReady());
}

/// The VM whose node may act on the pool's lease; empty where none may.
std::string placer(ControlCluster &System, const std::string &Pool) {
  const model::LeaseName Wanted = placement::poolLease(model::PoolId(Pool));
  for (auto &Entry : System.nodes())
    for (const model::HeldLease &Lease : Entry.second.m_Core->heldLeases())
      if (Lease.m_Name == Wanted && Lease.m_ValidUntil > System.m_Now)
        return Entry.first;
  return {};
}

} // namespace

TEST_CASE("from nothing, every model of both deployments answers") {
  for (const std::string &Path : {Dielectrica, Nile}) {
    ControlCluster System;
    bringUp(System, 6, Path);
    CHECK(System.greatestShare() <= 1);
    for (auto &Entry : System.nodes())
      CHECK(Entry.second.m_Table->intent().m_Generation ==
            model::Generation{1});
  }
}

TEST_CASE("all nodes replaced one by one: no model stops answering, nothing is "
          "loaded again") {
  ControlCluster System;
  bringUp(System, 6, Dielectrica);
  System.runFor(2min);
  const uint64_t Loads = System.loadsStarted();
  System.m_Invariant = [&] { REQUIRE(System.allServed()); };
  for (int I = 1; I <= 6; ++I) {
    const std::string Vm = "vm-" + std::to_string(I);
    System.post(Vm, ports::StopRequested());
    REQUIRE(System.runUntil([&] { return System.on(Vm).m_Stopped; }, 30s));
    const std::string Domain = System.on(Vm).m_Info.m_Domain.str();
    System.kill(Vm);
    System.addNode(Vm, Domain);
    REQUIRE(System.runUntil([&] { return System.allReady(); }, 60s));
  }
  System.runFor(3min);
  CHECK(placer(System, "interpretation") != "");
  CHECK(System.loadsStarted() == Loads);
  CHECK(System.greatestShare() <= 1);
}

TEST_CASE("all nodes replaced at once: state is rebuilt, nothing is loaded "
          "again") {
  ControlCluster System;
  bringUp(System, 4, Nile);
  System.runFor(2min);
  const uint64_t Loads = System.loadsStarted();
  std::map<std::string, std::string> Domains;
  for (auto &Entry : System.nodes())
    Domains[Entry.first] = Entry.second.m_Info.m_Domain.str();
  for (const auto &Entry : Domains)
    System.kill(Entry.first);
  System.runFor(5s);
  for (const auto &Entry : Domains)
    System.addNode(Entry.first, Entry.second);
  REQUIRE(System.runUntil([&] { return System.allReady(); }, 60s));
  System.runFor(5min);
  CHECK(placer(System, "assistants") != "");
  CHECK(System.allServed());
  CHECK(System.loadsStarted() == Loads);
  CHECK(System.greatestShare() <= 1);
}

TEST_CASE("the store down for an hour: tables stay, a lost engine leaves them, "
          "and its models are loaded again once the store is back") {
  ControlCluster System;
  bringUp(System, 4, Dielectrica);
  System.runFor(1min);
  System.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::Down;
  };
  System.runFor(10min);
  const model::EndpointId Lost("interpretation-1");
  System.m_DeadEngines.insert(Lost);
  System.runFor(50min);
  for (auto &Entry : System.nodes()) {
    CHECK(Entry.second.m_Core->isReady());
    CHECK(Entry.second.m_Core->view().endpoints().livenessOf(Lost) !=
          model::Liveness::Live);
  }
  System.m_Store.m_Fault = [](const ports::StoreCall &) {
    return fakes::StoreFault::None;
  };
  CHECK(System.runUntil([&] { return System.allServed(); }, LoadedWithin));
  CHECK(System.greatestShare() <= 1);
}

TEST_CASE("a placer paused past its lease wakes and sends no order") {
  ControlCluster System;
  bringUp(System, 4, Nile);
  System.runFor(1min);
  const std::string First = placer(System, "assistants");
  REQUIRE(First != "");
  System.on(First).m_Paused = true;
  // Something for a placer to do while it sleeps.
  System.m_DeadEngines.insert(model::EndpointId("assistant-1"));
  REQUIRE(System.runUntil(
      [&] {
        const std::string Now = placer(System, "assistants");
        return !Now.empty() && Now != First;
      },
      2min));
  System.runFor(2min);
  const uint64_t Sent = System.on(First).m_OrdersSent;
  const std::string Second = placer(System, "assistants");
  System.on(First).m_Paused = false;
  System.runFor(2s);
  CHECK(System.on(First).m_OrdersSent == Sent);
  CHECK(placer(System, "assistants") == Second);
  CHECK(System.runUntil([&] { return System.allServed(); }, LoadedWithin));
  CHECK(System.greatestShare() <= 1);
}

TEST_CASE("a domain parted from the others follows a new generation through "
          "the store, and one placer stays") {
  ControlCluster System;
  bringUp(System, 6, Dielectrica);
  System.m_Reachable = [](const std::string &A, const std::string &B) {
    // vm-3 and vm-6 are those of domain a.
    const auto IsParted = [](const std::string &Vm) {
      return Vm == "vm-3" || Vm == "vm-6";
    };
    return IsParted(A) == IsParted(B);
  };
  System.m_Invariant = [&] {
    int Placers = 0;
    for (auto &Entry : System.nodes())
      Placers += static_cast<int>(Entry.second.m_Core->heldLeases().size());
    REQUIRE(Placers <= 1);
  };
  System.runFor(30s);
  System.apply(fileText(Dielectrica) + "  # changed\n");
  CHECK(System.runUntil([&] { return System.allInForce({2}); }, InForceWithin));
  System.runFor(2min);
  CHECK(System.allReady());
  System.m_Reachable = [](const std::string &, const std::string &) {
    return true;
  };
  System.runFor(1min);
  for (auto &Entry : System.nodes())
    CHECK(Entry.second.m_Core->view().duties().nodes().size() == 6);
}

TEST_CASE("a claim reaches its owner though no link is kept to it") {
  ControlCluster System;
  // More than a node has neighbours.
  constexpr int Nodes = 20;
  bringUp(System, Nodes, Nile);
  System.runFor(1min);
  for (int I = 1; I <= Nodes; ++I)
    for (uint64_t Key = 1; Key <= 10; ++Key)
      System.post(
          "vm-" + std::to_string(I),
          ports::ClaimRequested{{Key}, Key * 7919 + I, 1, System.m_Now + 10s});
  System.runFor(12s);
  for (auto &Entry : System.nodes()) {
    CHECK(Entry.second.m_Verdicts.size() == 10);
    for (const ports::ClaimVerdict &Each : Entry.second.m_Verdicts)
      CHECK(Each.m_Kind == ports::ClaimVerdictKind::Granted);
  }
}

TEST_CASE("a later holder's ask ends a placer's orders; one that came late "
          "does not") {
  ControlCluster System;
  bringUp(System, 3, Dielectrica);
  ControlCluster::Node &Placer = System.on(placer(System, "interpretation"));
  const model::HeldLease Lease = Placer.m_Core->heldLeases().at(0);
  const model::NodeId Asker("vm-9.1");
  const auto Ask = [&](uint64_t Token) {
    ports::EffectList Effects;
    Placer.m_Core->handle(
        ports::PeerMessageReceived{Asker,
                                   ports::FenceRequest{Lease.m_Name, {Token}}},
        System.m_Now, Effects);
    return std::any_of(Effects.begin(), Effects.end(),
                       [&Asker](const ports::Effect &Each) {
                         const auto *Send = std::get_if<ports::PeerSend>(&Each);
                         return Send != nullptr && Send->m_To == Asker;
                       });
  };
  CHECK(Ask(Lease.m_Token.m_Value));
  CHECK_FALSE(Placer.m_Core->placement().engines().empty());
  CHECK(Ask(Lease.m_Token.m_Value + 1));
  CHECK(Placer.m_Core->placement().engines().empty());
  const uint64_t Sent = Placer.m_OrdersSent;
  System.m_DeadEngines.insert(model::EndpointId("interpretation-1"));
  System.runFor(1min);
  CHECK(Placer.m_Core->placement().engines().empty());
  CHECK(Placer.m_OrdersSent == Sent);
}

TEST_CASE("a key at two nodes at the same instant is granted to one") {
  ControlCluster System;
  bringUp(System, 3, Dielectrica);
  for (uint64_t Key = 1; Key <= 50; ++Key) {
    const ports::ClaimRequested Wanted{
        {Key}, Key * 7919, 1, System.m_Now + 10s};
    System.post("vm-1", Wanted);
    System.post("vm-2", Wanted);
  }
  System.runFor(12s);
  uint64_t Granted = 0;
  uint64_t Answered = 0;
  for (const char *Vm : {"vm-1", "vm-2"})
    for (const ports::ClaimVerdict &Each : System.on(Vm).m_Verdicts) {
      ++Answered;
      Granted += Each.m_Kind == ports::ClaimVerdictKind::Granted ? 1 : 0;
    }
  CHECK(Granted == 50);
  CHECK(Answered == 100);
}

TEST_CASE("a stop hands the pool's lease over within seconds") {
  ControlCluster System;
  bringUp(System, 4, Dielectrica);
  const std::string First = placer(System, "interpretation");
  System.post(First, ports::StopRequested());
  REQUIRE(System.runUntil([&] { return System.on(First).m_Stopped; }, 30s));
  CHECK(System.runUntil(
      [&] {
        const std::optional<std::string> Now = placer(System, "interpretation");
        return Now && *Now != First;
      },
      10s));
}

} // namespace bronzepass::unit_tests::node
