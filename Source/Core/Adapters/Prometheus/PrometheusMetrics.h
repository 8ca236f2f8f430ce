#ifndef BRONZEPASS_CORE_ADAPTERS_PROMETHEUS_PROMETHEUSMETRICS_H
#define BRONZEPASS_CORE_ADAPTERS_PROMETHEUS_PROMETHEUSMETRICS_H

#include "Core/Ports/Ports.h"

#include <memory>
#include <string>

namespace bronzepass::core::adapters::prometheus {

/// Metrics kept by prometheus-cpp; all members may be called from any thread.
class PrometheusMetrics : public ports::Metrics {
public:
  PrometheusMetrics();
  ~PrometheusMetrics() override;
  PrometheusMetrics(const PrometheusMetrics &) = delete;
  PrometheusMetrics &operator=(const PrometheusMetrics &) = delete;

  void add(ports::Metric Which, const std::string &Label,
           double Amount) override;
  void set(ports::Metric Which, const std::string &Label,
           double Value) override;

  /// All series in the Prometheus text exposition format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::prometheus

#endif // BRONZEPASS_CORE_ADAPTERS_PROMETHEUS_PROMETHEUSMETRICS_H
