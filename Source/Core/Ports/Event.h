#ifndef BRONZEPASS_CORE_PORTS_EVENT_H
#define BRONZEPASS_CORE_PORTS_EVENT_H

#include "Core/Model/Demand.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Order.h"
#include "Core/Model/Residency.h"
#include "Core/Ports/PeerMessage.h"
#include "Core/Ports/Store.h"

#include <compare>
#include <variant>
#include <vector>

namespace bronzepass::core::ports {

/// Time has passed; due timers run.
struct Tick {
  friend auto operator<=>(const Tick &, const Tick &) = default;
};

/// A requested report did not arrive.
struct ReportFailed {
  model::EndpointId m_Endpoint;
  /// The endpoint refused the connection, rather than being slow.
  bool m_Refused = false;

  friend auto operator<=>(const ReportFailed &, const ReportFailed &) = default;
};

/// Traffic saw an endpoint refuse a connection or answer again.
struct EndpointObserved {
  model::EndpointId m_Endpoint;
  bool m_Refused = false;

  friend auto operator<=>(const EndpointObserved &,
                          const EndpointObserved &) = default;
};

struct PeerMessageReceived {
  model::NodeId m_From;
  PeerMessage m_Message;

  friend auto operator<=>(const PeerMessageReceived &,
                          const PeerMessageReceived &) = default;
};

/// A link to a peer was established (its Hello follows), broke, or could not be
/// established.
struct PeerLinkChanged {
  /// Empty if the dialled peer never identified itself.
  model::NodeId m_Peer;
  bool m_Up = false;
  /// The VM that was dialled; empty for a link that the peer opened.
  model::VmId m_Vm;
  /// The peer violated the protocol, rather than disconnecting.
  bool m_Violation = false;

  friend auto operator<=>(const PeerLinkChanged &,
                          const PeerLinkChanged &) = default;
};

struct VmListReceived {
  std::vector<model::VmState> m_Vms;

  friend auto operator<=>(const VmListReceived &,
                          const VmListReceived &) = default;
};

/// Traffic asks for the right to run a request with an idempotency key.
struct ClaimRequested {
  model::RequestId m_Request;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  model::TimePoint m_Deadline;

  friend auto operator<=>(const ClaimRequested &,
                          const ClaimRequested &) = default;
};

/// Outcome of a run that was granted to traffic.
struct ClaimEnded {
  model::RequestId m_Request;
  uint64_t m_KeyHash = 0;
  model::ClaimState m_State = model::ClaimState::Done;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimEnded &, const ClaimEnded &) = default;
};

/// Demand and usage that traffic counted since the previous report.
struct TrafficReport {
  std::vector<model::DemandSample> m_Demand;
  std::vector<CallerUsage> m_Usage;

  friend auto operator<=>(const TrafficReport &,
                          const TrafficReport &) = default;
};

/// The process was told to stop gracefully.
struct StopRequested {
  friend auto operator<=>(const StopRequested &,
                          const StopRequested &) = default;
};

/// Traffic has answered everything after a StopRequested.
struct TrafficDrained {
  friend auto operator<=>(const TrafficDrained &,
                          const TrafficDrained &) = default;
};

/// Every event that the control core can receive.
using Event =
    std::variant<Tick, StoreAnswer, model::EngineReport, ReportFailed,
                 EndpointObserved, model::OrderAnswer, PeerMessageReceived,
                 PeerLinkChanged, VmListReceived, ClaimRequested, ClaimEnded,
                 TrafficReport, StopRequested, TrafficDrained>;

/// Receives events from adapters; callable from any thread.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void post(Event Incoming) = 0;
};

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_EVENT_H
