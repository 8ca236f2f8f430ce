#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDRIVER_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDRIVER_H

#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/Traffic/CallerRequest.h"
#include "Core/Adapters/Traffic/TrafficDecider.h"
#include "Core/Model/Id.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/TrafficEvent.h"

#include <memory>

namespace bronzepass::core::adapters::traffic {

struct TrafficOptions {
  model::NodeId m_Node;
  /// Idle connections to endpoints that are kept for reuse.
  long m_MaxIdleConnections = 512;
  /// How often the decider gets a TrafficTick.
  model::Duration m_TickPeriod = std::chrono::milliseconds(10);
  /// Size limit of an answer to a request with an idempotency key that is
  /// stored to replay for repeats.
  size_t m_MaxReplayBytes = 4 << 10;
};

/// Interfaces that the driver uses. Each must outlive it and be callable from
/// the traffic thread.
struct TrafficPorts {
  const ports::Clock &m_Clock;
  /// Receives ClaimRequested, ClaimEnded, EndpointObserved, TrafficReport and
  /// TrafficDrained.
  ports::EventSink &m_Control;
  ports::DecisionLog &m_DecisionLog;
  ports::Metrics &m_Metrics;
};

/// Runs the traffic thread, which relays requests and responses between callers
/// and endpoints as its TrafficDecider decides. The thread never blocks on a
/// caller, an endpoint or the control thread.
class TrafficDriver {
public:
  TrafficDriver(TrafficOptions Options, std::unique_ptr<TrafficDecider> Decider,
                TrafficPorts Ports);
  ~TrafficDriver();
  TrafficDriver(const TrafficDriver &) = delete;
  TrafficDriver &operator=(const TrafficDriver &) = delete;

  void start();
  /// Stops immediately. For a graceful stop, post TrafficStopRequested first
  /// and wait for TrafficDrained.
  void stop();

  /// These three may be called from any thread.
  void accept(CallerRequest Request);
  void post(routing::TrafficEvent Event);
  void setTable(std::shared_ptr<const routing::RoutingTable> Table);

  /// The loop on which answers to callers are written.
  net::EventLoop &loop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDRIVER_H
