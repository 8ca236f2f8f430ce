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

/// What a control core is told at its start.
struct NodeConfig {
  model::NodeInfo m_Self;
  leases::GovernorSettings m_Governor;
  leases::LeaseSettings m_Leases;
  claims::ClaimSettings m_Claims;
  placement::PlacementSettings m_Placement;
  routing::TableSettings m_Table;
  /// Between two reports that this node asks of one engine.
  model::Duration m_ReportPeriod = std::chrono::milliseconds(500);
  /// Between two accounts of demand and of callers' use to other nodes.
  model::Duration m_TrafficReportPeriod = std::chrono::seconds(2);
  /// Between two routing tables at least.
  model::Duration m_MinTableInterval = std::chrono::milliseconds(200);
  /// How long a stopping node still takes requests, so that the balancer can
  /// see that it is no longer ready.
  model::Duration m_LameDuck = std::chrono::seconds(3);
  /// Upper time for handing over after the last request has ended.
  model::Duration m_HandOverTimeout = std::chrono::seconds(10);
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_NODECONFIG_H
