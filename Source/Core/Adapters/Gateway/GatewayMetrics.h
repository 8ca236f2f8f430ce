#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H

#include "Core/Gateway/RelayCore.h"
#include "Core/Gateway/RelayTypes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// Counters and histograms of the traffic thread, by prometheus-cpp. Series are
/// bounded: labels are kinds of route and outcomes, never routes or models.
/// Each member may be called from any thread.
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();
  GatewayMetrics(const GatewayMetrics &) = delete;
  GatewayMetrics &operator=(const GatewayMetrics &) = delete;

  /// Counts what the line tells: a send, a retry, or a request's end with its
  /// time.
  void count(const core::gateway::RelayLogEntry &Note);
  void setLive(size_t Requests, size_t Connections);
  void setConfigVersion(uint64_t Version);
  void setLinesDropped(uint64_t Lines);

  /// All series in Prometheus's text format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H
