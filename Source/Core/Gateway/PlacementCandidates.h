#ifndef BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H
#define BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/LivePeers.h"
#include "Core/Model/Id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Ranks this node among the candidates for the placement lease, by DutyRank.
/// Waiters of lower rank read the lease's record more rarely.
class PlacementCandidates {
public:
  PlacementCandidates(model::NodeId Self, std::string Duty);

  /// All nodes that are registered in the store.
  void setRegistered(const std::vector<NodeEntry> &Nodes);
  /// The nodes that sent a notice recently, and those that are silent.
  void setHeard(const LivePeers &Peers);
  /// No node has told for longer than a change of holder takes that it holds
  /// the lease.
  void setHolderSilent(bool IsSilent) { m_IsHolderSilent = IsSilent; }

  /// The number of nodes that come before this one. Nodes that the store does
  /// not answer don't count. In a fleet in which every node hears every other,
  /// only nodes that are heard count. In a larger one a registered node counts
  /// until it is known to be silent; and none that is not heard once the holder
  /// has been silent for long.
  uint32_t rank() const;
  /// How many of them are registered, but not heard.
  uint32_t unheardBefore() const;
  size_t registered() const { return m_Registered.size(); }

private:
  std::vector<model::NodeId> nodesBefore() const;
  NodeEntry entryOf(const model::NodeId &Node) const;
  bool counts(const model::NodeId &Node, bool HearsAll) const;

  const model::NodeId m_Self;
  const std::string m_Duty;
  std::map<model::NodeId, NodeEntry> m_Registered;
  std::set<model::NodeId> m_Heard;
  std::set<model::NodeId> m_Silent;
  /// Registered nodes that were heard at any time, able to take the lease or
  /// not.
  std::set<model::NodeId> m_HeardBefore;
  bool m_IsHolderSilent = false;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H
