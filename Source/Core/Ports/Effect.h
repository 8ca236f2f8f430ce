#ifndef BRONZEPASS_CORE_PORTS_EFFECT_H
#define BRONZEPASS_CORE_PORTS_EFFECT_H

#include "Core/Model/Decision.h"
#include "Core/Model/Node.h"
#include "Core/Model/Order.h"
#include "Core/Ports/PeerMessage.h"
#include "Core/Ports/Store.h"

#include <compare>
#include <memory>
#include <variant>
#include <vector>

namespace bronzepass::core::routing {
class RoutingTable;
} // namespace bronzepass::core::routing

namespace bronzepass::core::ports {

/// Ask an engine for its report.
struct ReportRequest {
  model::EndpointId m_Endpoint;
  model::Address m_Address;

  friend auto operator<=>(const ReportRequest &,
                          const ReportRequest &) = default;
};

/// An order with the address it goes to.
struct OrderSend {
  model::EngineOrder m_Order;
  model::Address m_Address;

  friend auto operator<=>(const OrderSend &, const OrderSend &) = default;
};

struct PeerSend {
  model::NodeId m_To;
  PeerMessage m_Message;

  friend auto operator<=>(const PeerSend &, const PeerSend &) = default;
};

struct PeerConnect {
  model::NodeInfo m_Peer;

  friend auto operator<=>(const PeerConnect &, const PeerConnect &) = default;
};

struct PeerDisconnect {
  model::NodeId m_Peer;

  friend auto operator<=>(const PeerDisconnect &,
                          const PeerDisconnect &) = default;
};

/// Ask the platform for its list of VMs.
struct VmListRequest {
  friend auto operator<=>(const VmListRequest &,
                          const VmListRequest &) = default;
};

/// The answer to a ClaimRequested.
struct ClaimVerdict {
  model::RequestId m_Request;
  ClaimVerdictKind m_Kind = ClaimVerdictKind::Unavailable;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimVerdict &, const ClaimVerdict &) = default;
};

/// A new routing table, which traffic uses from now on.
struct RoutingTablePublished {
  std::shared_ptr<const routing::RoutingTable> m_Table;

  friend auto operator<=>(const RoutingTablePublished &,
                          const RoutingTablePublished &) = default;
};

/// Usage of callers' limits on all other nodes, from which traffic computes
/// this node's share.
struct PeerUsageUpdated {
  std::vector<CallerUsage> m_Others;

  friend auto operator<=>(const PeerUsageUpdated &,
                          const PeerUsageUpdated &) = default;
};

/// Readiness to report to the load balancer.
struct ReadinessChanged {
  bool m_Ready = false;
  std::string m_Reason;

  friend auto operator<=>(const ReadinessChanged &,
                          const ReadinessChanged &) = default;
};

/// Traffic must accept no new requests and finish those it has.
struct TrafficStop {
  friend auto operator<=>(const TrafficStop &, const TrafficStop &) = default;
};

/// Everything is handed over; the process may exit.
struct StopFinished {
  friend auto operator<=>(const StopFinished &, const StopFinished &) = default;
};

/// Every effect that the control core can request.
using Effect =
    std::variant<StoreCall, OrderSend, ReportRequest, PeerSend, PeerConnect,
                 PeerDisconnect, VmListRequest, ClaimVerdict,
                 RoutingTablePublished, PeerUsageUpdated, ReadinessChanged,
                 TrafficStop, StopFinished, model::Decision>;

/// Effects in the order of their execution.
using EffectList = std::vector<Effect>;

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_EFFECT_H
