#ifndef BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H
#define BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H

#include "Core/Model/Intent.h"
#include "Core/Model/Node.h"
#include "Core/Model/Residency.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <vector>

namespace bronzepass::core::routing {

/// Network delays to assume, and how many nodes send to one endpoint directly.
struct TableSettings {
  /// Nodes that send to one endpoint directly; the others forward to one of
  /// these. With no more nodes than this, every node sends directly to every
  /// endpoint.
  uint32_t m_DirectNodesPerEndpoint = 8;
  /// One-way delays between failure domains of a region and between regions.
  model::Duration m_DomainDelay = std::chrono::microseconds(1500);
  model::Duration m_RegionDelay = std::chrono::milliseconds(40);

  friend bool operator==(const TableSettings &,
                         const TableSettings &) = default;
};

/// Inputs from which the control thread builds a routing table.
struct RoutingInputs {
  std::shared_ptr<const model::Intent> m_Intent;
  /// Copies that the engines reported.
  std::vector<model::Copy> m_Copies;
  /// Endpoints that are not live; an absent endpoint is live.
  std::vector<model::EndpointState> m_EndpointStates;
  /// Live nodes, this one included.
  std::vector<model::NodeInfo> m_Nodes;
  model::NodeInfo m_Self;
  TableSettings m_Settings;

  friend bool operator==(const RoutingInputs &,
                         const RoutingInputs &) = default;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H
