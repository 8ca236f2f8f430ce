#include "Core/Membership/DutyAssignment.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bronzepass::core::membership {

namespace {

/// Score of a node for a duty: nearness, then weight, then the node's name,
/// which breaks ties in the same way on every node.
using Score = std::tuple<int, uint64_t, model::NodeId>;

/// Equals model::rendezvousWeight, but lets callers hash the duty only once for
/// many nodes.
uint64_t weightOf(uint64_t DutyHash, const model::NodeInfo &Node) {
  return model::stableHash(Node.m_Vm.str(), DutyHash);
}

std::string dutyOf(const model::LeaseName &Lease) {
  return "lease/" + Lease.m_Duty;
}

/// The nodes with the \p Count highest scores, highest first.
std::vector<model::NodeId> highestScored(std::vector<Score> Scores,
                                         size_t Count) {
  Count = std::min(Count, Scores.size());
  std::partial_sort(Scores.begin(), Scores.begin() + Count, Scores.end(),
                    std::greater<>());
  std::vector<model::NodeId> Nodes;
  for (size_t I = 0; I < Count; ++I)
    Nodes.push_back(std::get<model::NodeId>(Scores[I]));
  return Nodes;
}

enum Nearness { FarAway = 0, SameRegion = 1, SameDomain = 2 };

Nearness nearness(const model::EndpointSpec &Endpoint,
                  const model::NodeInfo &Node) {
  if (Node.m_Domain == Endpoint.m_Domain)
    return SameDomain;
  return Node.m_Region == Endpoint.m_Region ? SameRegion : FarAway;
}

} // namespace

DutyAssignment::DutyAssignment(std::vector<model::NodeInfo> Nodes)
    : m_Nodes(std::move(Nodes)) {
  std::sort(m_Nodes.begin(), m_Nodes.end());
}

std::vector<model::NodeId>
DutyAssignment::watchersOf(const model::DomainId &Domain) const {
  const uint64_t Duty = model::stableHash("watch/" + Domain.str());
  std::vector<Score> Scores;
  for (const model::NodeInfo &Node : m_Nodes)
    if (Node.m_Domain == Domain)
      Scores.emplace_back(0, weightOf(Duty, Node), Node.m_Node);
  return highestScored(std::move(Scores), WatchersPerDomain);
}

std::vector<model::NodeId>
DutyAssignment::pollersOf(const model::EndpointSpec &Endpoint) const {
  const uint64_t Duty = model::stableHash("poll/" + Endpoint.m_Name.str());
  std::vector<Score> Near;
  std::vector<Score> Elsewhere;
  for (const model::NodeInfo &Node : m_Nodes) {
    const Nearness Place = nearness(Endpoint, Node);
    std::vector<Score> &Group = Place == SameDomain ? Near : Elsewhere;
    Group.emplace_back(Place, weightOf(Duty, Node), Node.m_Node);
  }
  // A poller in another failure domain still reaches the engine if all nodes in
  // the engine's own domain are disconnected or gone.
  const size_t NearCount = Elsewhere.empty() ? PollersPerEndpoint : 1;
  std::vector<model::NodeId> Pollers =
      highestScored(std::move(Near), NearCount);
  const std::vector<model::NodeId> Others =
      highestScored(std::move(Elsewhere), PollersPerEndpoint - Pollers.size());
  Pollers.insert(Pollers.end(), Others.begin(), Others.end());
  return Pollers;
}

size_t DutyAssignment::preferenceRank(const model::LeaseName &Lease,
                                      const model::NodeId &Node) const {
  const uint64_t Duty = model::stableHash(dutyOf(Lease));
  const auto Own =
      std::find_if(m_Nodes.begin(), m_Nodes.end(),
                   [&Node](const auto &N) { return N.m_Node == Node; });
  if (Own == m_Nodes.end())
    return m_Nodes.size();
  const Score Mine(0, weightOf(Duty, *Own), Node);
  return std::count_if(m_Nodes.begin(), m_Nodes.end(),
                       [&Duty, &Mine](const auto &N) {
                         return Score(0, weightOf(Duty, N), N.m_Node) > Mine;
                       });
}

model::NodeId
DutyAssignment::preferredHolder(const model::LeaseName &Lease) const {
  return ownerOf(dutyOf(Lease));
}

model::NodeId DutyAssignment::ownerOf(const std::string &Duty) const {
  const uint64_t Hash = model::stableHash(Duty);
  uint64_t BestWeight = 0;
  const model::NodeInfo *Best = nullptr;
  for (const model::NodeInfo &Node : m_Nodes) {
    const uint64_t Weight = weightOf(Hash, Node);
    const bool IsBetter = !Best || Weight > BestWeight ||
                          (Weight == BestWeight && Node.m_Node > Best->m_Node);
    if (!IsBetter)
      continue;
    BestWeight = Weight;
    Best = &Node;
  }
  return Best ? Best->m_Node : model::NodeId();
}

model::NodeId DutyAssignment::claimShardOwner(uint32_t Shard) const {
  return ownerOf("claims/" + std::to_string(Shard));
}

} // namespace bronzepass::core::membership
