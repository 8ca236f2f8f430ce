#ifndef BRONZEPASS_CORE_CLAIMS_SHARDCANDIDATES_H
#define BRONZEPASS_CORE_CLAIMS_SHARDCANDIDATES_H

#include "Core/Model/Id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzepass::core::claims {

/// For each shard the live nodes that may own it, by rendezvous hashing; the
/// first is the owner, the others step in for those before them.
class ShardCandidates {
public:
  static constexpr size_t MostPerShard = 4;

  explicit ShardCandidates(uint32_t ShardCount) : m_Shards(ShardCount) {}

  /// Ranks \p Nodes anew for all shards; their order does not matter.
  void assign(const std::vector<model::NodeId> &Nodes);
  /// Most suitable first; empty before the first assign().
  const std::vector<model::NodeId> &of(uint32_t Shard) const {
    return m_Shards.at(Shard);
  }
  bool isFirst(uint32_t Shard, const model::NodeId &Node) const;
  bool isLive(const model::NodeId &Node) const;

private:
  std::vector<std::vector<model::NodeId>> m_Shards;
  /// Sorted.
  std::vector<model::NodeId> m_Live;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_SHARDCANDIDATES_H
