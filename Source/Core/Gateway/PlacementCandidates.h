#ifndef BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H
#define BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H

#include "Core/Gateway/Dialect.h"
#include "Core/Model/Id.h"

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
  /// The nodes that sent a notice recently.
  void setHeard(const std::vector<model::NodeId> &Nodes);

  /// The number of nodes that come before this one. In a fleet in which every
  /// node hears every other, only nodes that are heard count. In a larger one a
  /// registered node counts unless it was heard before and no longer is.
  uint32_t rank() const;

private:
  NodeEntry entryOf(const model::NodeId &Node) const;
  bool counts(const model::NodeId &Node, bool HearsAll) const;

  const model::NodeId m_Self;
  const std::string m_Duty;
  std::map<model::NodeId, NodeEntry> m_Registered;
  std::set<model::NodeId> m_Heard;
  /// Registered nodes that were heard at any time.
  std::set<model::NodeId> m_HeardBefore;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PLACEMENTCANDIDATES_H
