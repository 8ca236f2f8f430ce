#ifndef BRONZEPASS_CORE_MODEL_NODE_H
#define BRONZEPASS_CORE_MODEL_NODE_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Residency.h"

#include <compare>
#include <cstdint>
#include <string>

namespace bronzepass::core::model {

/// One entry VM's process, as its peers know it.
struct NodeInfo {
  NodeId m_Node;
  VmId m_Vm;
  DomainId m_Domain;
  RegionId m_Region;
  /// Address for links from peers.
  Address m_PeerAddress;
  /// Address for callers' and forwarded requests.
  Address m_CallerAddress;
  Liveness m_Liveness = Liveness::Live;
  /// Raised only by the node itself, to refute a suspicion. Of two statements
  /// the one with the higher incarnation wins, then the worse liveness.
  uint64_t m_Incarnation = 0;

  friend auto operator<=>(const NodeInfo &, const NodeInfo &) = default;
};

/// The id of a process that started at \p Incarnation on \p Vm: a restarted
/// process never has the id of the one before it.
inline NodeId makeNodeId(const VmId &Vm, uint64_t Incarnation) {
  return NodeId(Vm.str() + "." + std::to_string(Incarnation));
}

/// The VM that \p Node runs, or ran, on.
inline VmId vmOf(const NodeId &Node) {
  return VmId(Node.str().substr(0, Node.str().rfind('.')));
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_NODE_H
