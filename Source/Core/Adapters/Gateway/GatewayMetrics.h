#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H

#include "Core/Gateway/RelayCore.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Resources/AnswerMemory.h"
#include "Core/Resources/CallerMemory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Counters and histograms of the traffic thread, kept with prometheus-cpp. The
/// number of series is bounded: labels are route kinds, outcomes and the first
/// organisations, never routes or models. Thread-safe, apart from count() and
/// setOrganisations(), which one thread calls.
class GatewayMetrics {
public:
  GatewayMetrics();
  ~GatewayMetrics();
  GatewayMetrics(const GatewayMetrics &) = delete;
  GatewayMetrics &operator=(const GatewayMetrics &) = delete;

  /// Counts the event that \p Entry logs: a send, a retry, or the end of a
  /// request with its duration.
  void count(const core::gateway::RelayLogEntry &Entry);
  void count(const core::gateway::LinksChange &Change);
  /// An endpoint's statement of itself could not be read.
  void countUnreadableStatement();
  /// The connection of a request that was read whole had ended by then.
  void countDroppedRequest();
  /// One turn of the traffic thread's loop.
  void observeTurn(std::chrono::microseconds Length);
  /// \p Step of a configuration on its way to its first request: "read",
  /// "taken" or "used".
  void observeConfigStep(const char *Step, model::Duration Time);
  /// The platform's store has been restored from a backup.
  void countStoreRestore();
  /// Requests of other organisations than these, or beyond the first
  /// MaxOrganisations, are counted together.
  void setOrganisations(const std::vector<std::string> &Names);
  /// nullopt: the configuration was never shown to be in force.
  void setConfigAge(std::optional<model::Duration> Age);
  void setActive(size_t Requests, size_t Connections);
  void setCallerMemory(const resources::CallerMemory &Memory);
  void setAnswerMemory(const resources::AnswerMemory &Memory);
  void setCallerPlaces(uint64_t GivenUp, uint64_t AcceptPauses);
  void setConfigVersion(uint64_t Version);
  void setQuarantinedTraits(size_t Traits);
  void setPacedEndpoints(size_t Endpoints);
  /// In sum over all organisations.
  void setQuotas(const std::vector<core::organisations::QuotaUse> &Uses);
  void setLinesDropped(uint64_t Lines);

  /// Organisations that have series of their own.
  static constexpr size_t MaxOrganisations = 64;

  /// Returns all series in the Prometheus text format.
  std::string text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYMETRICS_H
