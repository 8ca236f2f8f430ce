#include "Core/Claims/ShardCandidates.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bronzepass::core::claims {

namespace {

using Weighted = std::pair<uint64_t, const model::NodeId *>;

bool heavierFirst(const Weighted &A, const Weighted &B) {
  if (A.first != B.first)
    return A.first > B.first;
  return *A.second < *B.second;
}

std::vector<model::NodeId> rank(const std::string &ShardName,
                                const std::vector<model::NodeId> &Nodes) {
  std::vector<Weighted> Weights;
  Weights.reserve(Nodes.size());
  for (const model::NodeId &Node : Nodes)
    Weights.emplace_back(model::rendezvousWeight(ShardName, Node.str()), &Node);
  const size_t Kept = std::min(Weights.size(), ShardCandidates::MaxPerShard);
  std::partial_sort(Weights.begin(), Weights.begin() + Kept, Weights.end(),
                    heavierFirst);
  std::vector<model::NodeId> Ranked;
  for (size_t I = 0; I < Kept; ++I)
    Ranked.push_back(*Weights[I].second);
  return Ranked;
}

} // namespace

void ShardCandidates::assign(const std::vector<model::NodeId> &Nodes) {
  m_Live = Nodes;
  std::sort(m_Live.begin(), m_Live.end());
  for (size_t Shard = 0; Shard < m_Shards.size(); ++Shard)
    m_Shards[Shard] = rank("claims/" + std::to_string(Shard), m_Live);
}

bool ShardCandidates::isFirst(uint32_t Shard, const model::NodeId &Node) const {
  const std::vector<model::NodeId> &Ranked = m_Shards.at(Shard);
  return !Ranked.empty() && Ranked.front() == Node;
}

bool ShardCandidates::isLive(const model::NodeId &Node) const {
  return std::binary_search(m_Live.begin(), m_Live.end(), Node);
}

} // namespace bronzepass::core::claims
