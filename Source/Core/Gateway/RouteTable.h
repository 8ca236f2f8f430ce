#ifndef BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H
#define BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H

#include "Core/Gateway/GatewayConfig.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bronzepass::core::gateway {

/// One version of the configuration, arranged for lookups; immutable, so that
/// the control thread builds it and traffic reads it.
class RouteTable {
public:
  explicit RouteTable(GatewayConfig Config);

  const GatewayConfig &config() const { return m_Config; }

  /// The route of \p Host with the longest prefix of \p Path; null where none
  /// fits. \p Host may have a port, and any spelling.
  const RouteSpec *find(std::string_view Host, std::string_view Path) const;
  const ServiceSpec *service(const std::string &Name) const;
  /// Of the streams that \p Service answers, the shortest of the longest pauses
  /// still in time; nullopt where no route names one.
  std::optional<model::Duration>
  shortestPause(const std::string &Service) const;
  /// The service that \p Draw (uniform over all values) falls to, by weight.
  static const std::string &pickService(const RouteSpec &Route, uint64_t Draw);

private:
  using PrefixMap = std::unordered_map<std::string, size_t>;

  GatewayConfig m_Config;
  std::unordered_map<std::string, PrefixMap> m_Hosts;
  std::map<std::string, size_t> m_Services;
  std::map<std::string, model::Duration> m_ShortestPauses;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H
