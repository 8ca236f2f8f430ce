#ifndef BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H
#define BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H

#include "Core/Model/Intent.h"
#include "Core/Model/Node.h"
#include "Core/Model/Residency.h"

#include <compare>
#include <memory>
#include <vector>

namespace bronzepass::core::routing {

/// All that a routing table is built from, by the control thread.
struct RoutingInputs {
  std::shared_ptr<const model::Intent> m_Intent;
  /// Copies that engines reported, on any engine.
  std::vector<model::Copy> m_Copies;
  /// Endpoints that are not plainly live; one that is absent is live.
  std::vector<model::EndpointState> m_EndpointStates;
  /// Live nodes, this one included.
  std::vector<model::NodeInfo> m_Nodes;
  model::NodeInfo m_Self;

  friend bool operator==(const RoutingInputs &,
                         const RoutingInputs &) = default;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H
