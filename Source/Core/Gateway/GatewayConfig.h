#ifndef BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H
#define BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H

#include "Core/Model/Time.h"
#include "Core/Organisations/OrganisationSpec.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// One of the services among which a route's requests are split.
struct ServiceShare {
  std::string m_Service;
  /// Relative to the sum of the route's weights.
  uint32_t m_Weight = 1;

  friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

/// How requests for one host and path prefix are handled.
struct RouteSpec {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash; the longest matching prefix wins.
  std::string m_PathPrefix;
  std::vector<ServiceShare> m_Services;
  /// A request may be run more than once.
  bool m_Repeatable = false;
  /// The answer is a stream of events.
  bool m_Stream = false;
  /// A broken stream may be resumed at another endpoint after its last event.
  bool m_Resumable = false;
  /// The longest that a caller is kept waiting.
  model::Duration m_Timeout{0};
  /// The longest acceptable gap between two events; zero if the route has no
  /// stream.
  model::Duration m_EventGapTarget{0};
  /// Time to the answer, or to a stream's first event, within which it has its
  /// full value; zero if the route has no such target.
  model::Duration m_LatencyTarget{0};
  /// 0 is the most urgent.
  uint32_t m_Priority = 0;
  /// Maximum number of sends that may have run one request.
  uint32_t m_MaxAttempts = 1;
  /// Callers need no key for it.
  bool m_IsOpen = false;

  friend auto operator<=>(const RouteSpec &, const RouteSpec &) = default;
};

/// A model that a service's engines can load.
struct ServedModel {
  std::string m_Name;
  uint64_t m_WeightsMb = 0;
  model::Duration m_LoadTime{0};
  uint32_t m_AdapterCount = 0;
  uint64_t m_AdapterMb = 0;

  friend auto operator<=>(const ServedModel &, const ServedModel &) = default;
};

/// Properties common to all model engines of a service.
struct EngineSpec {
  uint32_t m_Slots = 1;
  uint64_t m_CacheTokens = 0;
  /// Memory for weights and adapters together.
  uint64_t m_WeightsMb = 0;
  uint32_t m_AdapterSlots = 0;
  /// Limit on loads from the weight store, over all engines.
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
  /// Connections that one endpoint accepts from all nodes together; 0: no
  /// limit.
  uint32_t m_MaxConnections = 0;
  /// Set if the endpoints are model engines.
  std::optional<EngineSpec> m_Engine;

  friend auto operator<=>(const ServiceSpec &, const ServiceSpec &) = default;
};

/// Limits on the size of callers' requests and on the time to send them.
struct CallerInputLimits {
  uint32_t m_MaxHeaderBytes = 16 << 10;
  uint64_t m_MaxBodyBytes = 4 << 20;
  model::Duration m_HeaderTimeout = std::chrono::seconds(3);
  model::Duration m_IdleTimeout = std::chrono::seconds(15);

  friend auto operator<=>(const CallerInputLimits &,
                          const CallerInputLimits &) = default;
};

/// One accepted version of the operator's configuration of the gateway.
struct GatewayConfig {
  uint64_t m_Version = 0;
  std::vector<RouteSpec> m_Routes;
  std::vector<ServiceSpec> m_Services;
  CallerInputLimits m_Limits;
  /// Whose callers may send requests; nullopt: all may, without a key.
  std::optional<std::vector<organisations::OrganisationSpec>> m_Organisations;

  friend auto operator<=>(const GatewayConfig &,
                          const GatewayConfig &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_GATEWAYCONFIG_H
