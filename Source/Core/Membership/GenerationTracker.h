#ifndef BRONZEPASS_CORE_MEMBERSHIP_GENERATIONTRACKER_H
#define BRONZEPASS_CORE_MEMBERSHIP_GENERATIONTRACKER_H

#include "Core/Model/Id.h"
#include "Core/Model/Node.h"
#include "Core/Ports/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bronzepass::core::membership {

/// Tracks which nodes have the newest generation of the intent in force, so
/// that any node can answer an operator who waits for it. Each node's hash is
/// sent over each link at most once in each direction, so a generation costs a
/// node (nodes x links) hashes.
class GenerationTracker {
public:
  explicit GenerationTracker(const model::NodeId &Self);

  /// This node has \p Generation in force.
  void setOwn(model::Generation Generation);

  /// A peer reported that it has \p Generation in force.
  void onPeerGeneration(const model::NodeId &Peer,
                        model::Generation Generation);

  /// Applies what a peer reported about other nodes.
  void merge(const model::NodeId &From,
             const ports::GenerationProgress &Progress);

  void linkUp(const model::NodeId &Peer);
  void linkDown(const model::NodeId &Peer);

  bool hasUpdatesFor(const model::NodeId &Peer) const;
  /// Takes at most \p Max node hashes that were not sent to \p Peer yet.
  ports::GenerationProgress take(const model::NodeId &Peer, size_t Max);

  /// The members of \p Nodes not known to have \p Generation or a newer one in
  /// force.
  std::vector<model::NodeInfo>
  nodesBehind(model::Generation Generation,
              const std::vector<model::NodeInfo> &Nodes) const;

  model::Generation newest() const { return m_Newest; }
  model::Generation own() const { return m_Own; }

private:
  /// Starts tracking \p Generation if it is newer than the tracked one.
  void advanceNewest(model::Generation Generation);
  void add(uint64_t NodeHash, const model::NodeId *From);

  uint64_t m_SelfHash;
  model::Generation m_Own;
  model::Generation m_Newest;
  /// Hashes of the nodes that have m_Newest in force.
  std::set<uint64_t> m_NewestHolders;
  /// Members of m_NewestHolders that were not sent to a peer yet.
  std::map<model::NodeId, std::set<uint64_t>> m_Unsent;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_GENERATIONTRACKER_H
