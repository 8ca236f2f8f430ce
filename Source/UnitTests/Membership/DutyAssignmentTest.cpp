#include "Core/Membership/DutyAssignment.h"

#include <doctest/doctest.h>
#include <map>

using namespace bronzepass::core;
using bronzepass::core::membership::DutyAssignment;

namespace bronzepass::unit_tests::membership {

namespace {

std::vector<model::NodeInfo> makeNodes(int Count) {
  std::vector<model::NodeInfo> Nodes;
  for (int I = 0; I < Count; ++I)
    Nodes.push_back({.m_Node = model::NodeId("n" + std::to_string(I)),
                     .m_Vm = model::VmId("vm-" + std::to_string(I)),
                     .m_Domain = model::DomainId("d" + std::to_string(I % 6)),
                     .m_Region = model::RegionId("r" + std::to_string(I % 2))});
  return Nodes;
}

model::EndpointSpec makeEndpoint(int Number) {
  model::EndpointSpec Spec;
  Spec.m_Name = model::EndpointId("e" + std::to_string(Number));
  Spec.m_Domain = model::DomainId("d" + std::to_string(Number % 6));
  Spec.m_Region = model::RegionId("r" + std::to_string(Number % 2));
  return Spec;
}

} // namespace

TEST_CASE("a node that leaves moves only its own duties") {
  const std::vector<model::NodeInfo> All = makeNodes(40);
  std::vector<model::NodeInfo> Fewer = All;
  const model::NodeId Left = Fewer[7].m_Node;
  Fewer.erase(Fewer.begin() + 7);
  const DutyAssignment Before(All);
  const DutyAssignment After(Fewer);
  for (uint32_t Shard = 0; Shard < 256; ++Shard)
    if (Before.claimShardOwner(Shard) != Left)
      CHECK(After.claimShardOwner(Shard) == Before.claimShardOwner(Shard));
  for (int I = 0; I < 200; ++I) {
    const std::vector<model::NodeId> Old = Before.pollersOf(makeEndpoint(I));
    if (std::find(Old.begin(), Old.end(), Left) == Old.end())
      CHECK(After.pollersOf(makeEndpoint(I)) == Old);
  }
}

TEST_CASE("an engine is polled from its own failure domain and from another") {
  const std::vector<model::NodeInfo> All = makeNodes(40);
  const DutyAssignment Assignment(All);
  std::map<model::NodeId, model::NodeInfo> Infos;
  for (const model::NodeInfo &Node : All)
    Infos[Node.m_Node] = Node;
  for (int I = 0; I < 100; ++I) {
    const model::EndpointSpec Engine = makeEndpoint(I);
    const std::vector<model::NodeId> Pollers = Assignment.pollersOf(Engine);
    REQUIRE(Pollers.size() == 2);
    CHECK(Infos[Pollers[0]].m_Domain == Engine.m_Domain);
    CHECK(Infos[Pollers[1]].m_Domain != Engine.m_Domain);
    CHECK(Infos[Pollers[1]].m_Region == Engine.m_Region);
  }
}

TEST_CASE("an engine without nodes in its failure domain is still polled") {
  const DutyAssignment One({makeNodes(1)});
  CHECK(One.pollersOf(makeEndpoint(3)).size() == 1);
  std::vector<model::NodeInfo> SameDomain = {makeNodes(13)[0], makeNodes(13)[6],
                                             makeNodes(13)[12]};
  CHECK(DutyAssignment(SameDomain).pollersOf(makeEndpoint(0)).size() == 2);
  CHECK(DutyAssignment(SameDomain).pollersOf(makeEndpoint(1)).size() == 2);
}

TEST_CASE("each node has a different preference rank for a lease") {
  const std::vector<model::NodeInfo> All = makeNodes(20);
  const DutyAssignment Assignment(All);
  std::vector<bool> Taken(All.size());
  for (const model::NodeInfo &Node : All)
    Taken[Assignment.preferenceRank({"pool/assistants"}, Node.m_Node)] = true;
  CHECK(std::count(Taken.begin(), Taken.end(), true) == 20);
  CHECK(Assignment.preferenceRank({"pool/a"}, model::NodeId("unknown")) == 20);
  for (int Pool = 0; Pool < 100; ++Pool) {
    const model::LeaseName Lease{"pool/" + std::to_string(Pool)};
    CHECK(Assignment.preferenceRank(Lease, Assignment.preferredHolder(Lease)) ==
          0);
  }
  CHECK(DutyAssignment({}).preferredHolder({"pool/a"}).empty());
}

} // namespace bronzepass::unit_tests::membership
