#ifndef BRONZEPASS_CORE_NODE_NODECONFIG_H
#define BRONZEPASS_CORE_NODE_NODECONFIG_H

#include "Core/Claims/ClaimSettings.h"
#include "Core/Leases/LeaseTracker.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Model/Node.h"
#include "Core/Placement/PlacementSettings.h"
#include "Core/Routing/RoutingInputs.h"

#include <chrono>

namespace bronzepass::core::node {

/// Settings of a control core.
struct NodeConfig {
  model::NodeInfo m_Self;
  leases::GovernorSettings m_Governor;
  leases::LeaseSettings m_Leases;
  claims::ClaimSettings m_Claims;
  placement::PlacementSettings m_Placement;
  routing::TableSettings m_Table;
  /// Time between two report requests to one engine.
  model::Duration m_ReportPeriod = std::chrono::milliseconds(500);
  /// Time between two demand reports to other nodes.
  model::Duration m_DemandReportPeriod = std::chrono::seconds(2);
  /// Minimum time between two routing tables.
  model::Duration m_MinTableInterval = std::chrono::milliseconds(200);
  /// How long a stopping node still accepts requests, so that the load balancer
  /// can see that it is no longer ready.
  model::Duration m_LameDuck = std::chrono::seconds(3);
  /// Maximum time for handing over leases and claims after the last request
  /// has ended.
  model::Duration m_HandOverTimeout = std::chrono::seconds(10);
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_NODECONFIG_H
