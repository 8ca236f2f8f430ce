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

/// How a node weighs distance, and how many nodes drive one endpoint.
struct TableSettings {
  /// Nodes that send to one endpoint directly; the others forward. Where there
  /// are no more nodes than this, every node drives every endpoint.
  uint32_t m_DriveDegree = 8;
  /// One way between failure domains of one region, and between regions.
  model::Duration m_DomainDelay = std::chrono::microseconds(1500);
  model::Duration m_RegionDelay = std::chrono::milliseconds(40);

  friend bool operator==(const TableSettings &,
                         const TableSettings &) = default;
};

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
  TableSettings m_Settings;

  friend bool operator==(const RoutingInputs &,
                         const RoutingInputs &) = default;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ROUTINGINPUTS_H
