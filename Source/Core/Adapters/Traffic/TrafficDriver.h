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
  /// Idle connections to endpoints that are kept.
  long m_MaxIdleConnections = 512;
  /// How often the decider gets a TrafficTick.
  model::Duration m_TickPeriod = std::chrono::milliseconds(10);
  /// Longest answer to a request with a key that is kept for repeats.
  size_t m_KeptAnswerBytes = 4 << 10;
};

/// What the driver is connected to; each outlives it and may be called from
/// the traffic thread.
struct TrafficPorts {
  const ports::Clock &m_Clock;
  /// Gets ClaimRequested, ClaimEnded, EndpointObserved, TrafficReport,
  /// TrafficDrained.
  ports::EventSink &m_Control;
  ports::DecisionLog &m_DecisionLog;
  ports::Metrics &m_Metrics;
};

/// The traffic thread: carries requests between callers and endpoints as its
/// decider says. It never waits for a caller, an endpoint or the control
/// thread.
class TrafficDriver {
public:
  TrafficDriver(TrafficOptions Options, std::unique_ptr<TrafficDecider> Decider,
                TrafficPorts Ports);
  ~TrafficDriver();
  TrafficDriver(const TrafficDriver &) = delete;
  TrafficDriver &operator=(const TrafficDriver &) = delete;

  void start();
  /// Stops at once; a graceful stop posts a TrafficStopRequested first and
  /// waits for TrafficDrained.
  void stop();

  /// Each may be called from any thread.
  void accept(CallerRequest Request);
  void post(routing::TrafficEvent Event);
  void setTable(std::shared_ptr<const routing::RoutingTable> Table);

  /// The loop that callers' answers are written on.
  net::EventLoop &loop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDRIVER_H
