#ifndef BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H
#define BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// One of the services that share a route's requests.
struct ServiceShare {
  std::string m_Service;
  /// In parts of the sum of the route's weights.
  uint32_t m_Weight = 1;

  friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

/// Requests of one host whose path begins with one prefix.
struct RouteSpec {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash; the longest one that fits wins.
  std::string m_PathPrefix;
  std::vector<ServiceShare> m_Services;
  /// A request may run more than once.
  bool m_Repeatable = false;
  /// Its answer is a stream of events.
  bool m_Stream = false;
  /// A broken stream may go on at another endpoint behind its last event.
  bool m_Resumable = false;
  /// The longest that a caller is kept waiting.
  model::Duration m_Timeout{0};
  /// Longest pause between two events that is still in time; zero where the
  /// route has no stream.
  model::Duration m_LongestPause{0};
  /// 0 is the most urgent.
  uint32_t m_Rank = 0;
  /// Endpoints that one request may be sent to.
  uint32_t m_MaxAttempts = 1;

  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;
};

/// A model that a service's engines can hold.
struct ServedModel {
  std::string m_Name;
  uint64_t m_WeightsMb = 0;
  model::Duration m_LoadTime{0};
  uint32_t m_AdapterCount = 0;
  uint64_t m_AdapterMb = 0;

  friend auto operator<=>(const ServedModel &, const ServedModel &) = default;
};

/// What the model engines of a service have in common.
struct EngineSpec {
  uint32_t m_Slots = 1;
  uint64_t m_CacheTokens = 0;
  /// For weights and adapters together.
  uint64_t m_WeightsMb = 0;
  uint32_t m_AdapterPlaces = 0;
  /// Loads from the weight store, over all engines.
  double m_LoadsPerSecond = 0;
  std::vector<ServedModel> m_Models;

  const ServedModel *model(const std::string &Name) const {
    for (const ServedModel &Each : m_Models)
      if (Each.m_Name == Name)
        return &Each;
    return nullptr;
  }
  friend auto operator<=>(const EngineSpec &, const EngineSpec &) = default;
};

struct ServiceSpec {
  std::string m_Name;
  /// Connections that one endpoint accepts, over all nodes; 0: not limited.
  uint32_t m_MaxConnections = 0;
  /// Set where its endpoints are model engines.
  std::optional<EngineSpec> m_Engine;

  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;
};

/// What callers may send, and how long they may take.
struct CallerInputLimits {
  uint32_t m_MaxHeaderBytes = 16 << 10;
  uint64_t m_MaxBodyBytes = 4 << 20;
  model::Duration m_HeaderTimeout = std::chrono::seconds(3);
  model::Duration m_IdleTimeout = std::chrono::seconds(15);

  friend auto operator<=>(const CallerInputLimits &,
                          const CallerInputLimits &) = default;
};

/// One accepted version of what the operator declares for the gateway.
struct GatewayConfig {
  uint64_t m_Version = 0;
  std::vector<RouteSpec> m_Routes;
  std::vector<ServiceSpec> m_Services;
  CallerInputLimits m_Limits;

  friend auto operator<=>(const GatewayConfig &,
                          const GatewayConfig &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H
