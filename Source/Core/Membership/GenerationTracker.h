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

/// Which nodes have the newest generation in force. Every node's name crosses
/// each link at most once in each direction, so that any node can answer an
/// operator who waits, and a generation costs a node (nodes x links) hashes.
class GenerationTracker {
public:
  explicit GenerationTracker(const model::NodeId &Self);

  /// This node has \p Generation in force.
  void setOwn(model::Generation Generation);

  /// A peer says that it has \p Generation in force.
  void heard(const model::NodeId &Peer, model::Generation Generation);

  /// A peer passes on what it knows.
  void merge(const model::NodeId &From,
             const ports::GenerationProgress &Progress);

  void linkUp(const model::NodeId &Peer);
  void linkDown(const model::NodeId &Peer);

  bool hasNewsFor(const model::NodeId &Peer) const;
  /// What \p Peer was not told yet, at most \p Max nodes.
  ports::GenerationProgress take(const model::NodeId &Peer, size_t Max);

  /// Those of \p Nodes that are not known to have \p Generation or a newer
  /// one in force.
  std::vector<model::NodeInfo>
  nodesBehind(model::Generation Generation,
              const std::vector<model::NodeInfo> &Nodes) const;

  model::Generation newest() const { return m_Newest; }
  model::Generation own() const { return m_Own; }

private:
  void raise(model::Generation Generation);
  void add(uint64_t NodeHash, const model::NodeId *From);

  uint64_t m_SelfHash;
  model::Generation m_Own;
  model::Generation m_Newest;
  std::set<uint64_t> m_Holders;
  std::map<model::NodeId, std::set<uint64_t>> m_Untold;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_GENERATIONTRACKER_H
