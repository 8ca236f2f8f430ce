#ifndef BRONZEPASS_CORE_MODEL_NODE_H
#define BRONZEPASS_CORE_MODEL_NODE_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Residency.h"

#include <compare>
#include <cstdint>

namespace bronzepass::core::model {

/// One entry VM's process, as its peers know it.
struct NodeInfo {
  NodeId m_Node;
  VmId m_Vm;
  DomainId m_Domain;
  RegionId m_Region;
  /// Where peers link to it.
  Address m_PeerAddress;
  /// Where it takes callers' and forwarded requests.
  Address m_CallerAddress;
  Liveness m_Liveness = Liveness::Live;
  /// Raised by the node itself alone, to refute a suspicion. Of two statements
  /// the one with the higher incarnation holds, then the worse liveness.
  uint64_t m_Incarnation = 0;

  friend auto operator<=>(const NodeInfo &, const NodeInfo &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_NODE_H
