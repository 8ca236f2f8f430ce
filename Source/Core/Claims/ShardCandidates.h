#ifndef BRONZEPASS_CORE_CLAIMS_SHARDCANDIDATES_H
#define BRONZEPASS_CORE_CLAIMS_SHARDCANDIDATES_H

#include "Core/Model/Id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzepass::core::claims {

/// Ranks the live nodes that may own each shard, by rendezvous hashing. The
/// first is the owner; each of the others takes over if those before it do not
/// respond.
class ShardCandidates {
public:
  static constexpr size_t MaxPerShard = 4;

  explicit ShardCandidates(uint32_t ShardCount) : m_Shards(ShardCount) {}

  /// Recomputes the ranking of all shards; the order of \p Nodes does not
  /// matter.
  void assign(const std::vector<model::NodeId> &Nodes);
  /// Highest rank first; empty before the first assign().
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
