#include "Core/Gateway/PlacementCandidates.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

std::vector<model::NodeId> fleet(size_t Count) {
  std::vector<model::NodeId> Nodes;
  for (size_t Number = 0; Number < Count; ++Number)
    Nodes.emplace_back("node-" + std::to_string(Number));
  return Nodes;
}

/// Entries of \p Nodes; each third node is a strong one.
std::vector<NodeEntry> entries(const std::vector<model::NodeId> &Nodes) {
  std::vector<NodeEntry> Entries;
  for (const model::NodeId &Node : Nodes)
    Entries.push_back({Node, {}, {}, Entries.size() % 3 == 0 ? 50U : 12U});
  return Entries;
}

} // namespace

// Pattern: reads of the lease grow with the fleet, because each node hears only
// some of the others.
TEST_CASE(
    "in a large fleet only three nodes have one of the first three ranks, "
    "whomever they hear") {
  const std::vector<model::NodeId> Nodes = fleet(195);
  size_t First = 0;
  for (size_t Self = 0; Self < Nodes.size(); ++Self) {
    PlacementCandidates Candidates(Nodes[Self], "placement");
    Candidates.setRegistered(entries(Nodes));
    std::vector<model::NodeId> Heard;
    for (size_t Peer = 1; Peer <= 24; ++Peer)
      Heard.push_back(Nodes[(Self + Peer * 7) % Nodes.size()]);
    Candidates.setHeard({.m_Able = Heard});
    const bool IsFirst = Candidates.rank() < 3;
    First += IsFirst ? 1 : 0;
    CHECK((!IsFirst || Self % 3 == 0));
  }
  CHECK(First == 3);
}

TEST_CASE("a node that fell silent no longer counts") {
  for (const size_t Count : {6U, 195U}) {
    CAPTURE(Count);
    const std::vector<model::NodeId> Nodes = fleet(Count);
    for (const model::NodeId &Self : Nodes) {
      PlacementCandidates Candidates(Self, "placement");
      Candidates.setRegistered(entries(Nodes));
      Candidates.setHeard({.m_Able = Nodes});
      const uint32_t Rank = Candidates.rank();
      Candidates.setHeard({});
      CHECK(Candidates.rank() == 0);
      Candidates.setHeard({.m_Able = Nodes});
      CHECK(Candidates.rank() == Rank);
    }
  }
}

TEST_CASE("in a small fleet a registered node that is not heard does not "
          "count") {
  const std::vector<model::NodeId> Nodes = fleet(6);
  for (const model::NodeId &Self : Nodes) {
    PlacementCandidates Candidates(Self, "placement");
    Candidates.setRegistered(entries(Nodes));
    CHECK(Candidates.rank() == 0);
  }
}

// Guards against a lease that nobody takes, since the nodes that the store
// answers wait for those that it refuses, or that nobody has heard.
TEST_CASE("nodes that the store refuses do not come before those that it "
          "answers") {
  const std::vector<model::NodeId> Nodes = fleet(81);
  const std::vector<model::NodeId> Able = {Nodes[7], Nodes[20], Nodes[50]};
  std::vector<uint32_t> Ranks;
  for (const model::NodeId &Self : Able) {
    PlacementCandidates Candidates(Self, "placement");
    Candidates.setRegistered(entries(Nodes));
    LivePeers Peers;
    for (const model::NodeId &Each : Able)
      if (Each != Self)
        Peers.m_Able.push_back(Each);
    for (size_t Peer = 0; Peer < 24; ++Peer)
      Peers.m_StoreRefused.push_back(Nodes[Peer * 3]);
    Candidates.setHeard(Peers);
    Candidates.setHolderSilent(true);
    Ranks.push_back(Candidates.rank());
    Candidates.setHeard({.m_Able = Nodes});
    CHECK(Candidates.rank() > 2);
  }
  std::sort(Ranks.begin(), Ranks.end());
  CHECK(Ranks == std::vector<uint32_t>{0, 1, 2});
}

} // namespace bronzepass::core::gateway
