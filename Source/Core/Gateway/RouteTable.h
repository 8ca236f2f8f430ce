#ifndef BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H
#define BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H

#include "Core/Gateway/GatewayConfig.h"
#include "Core/Organisations/OrganisationTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bronzepass::core::gateway {

/// One version of the configuration, indexed for lookups. Immutable: the
/// control thread builds it and the traffic thread reads it.
class RouteTable {
public:
  /// \p ReceivedAt: when this node received the configuration.
  explicit RouteTable(GatewayConfig Config, model::TimePoint ReceivedAt = {});

  const GatewayConfig &config() const { return m_Config; }
  model::TimePoint receivedAt() const { return m_ReceivedAt; }

  /// The route of \p Host with the longest prefix of \p Path; null if none
  /// matches. \p Host may have a port; its case is ignored.
  const RouteSpec *find(std::string_view Host, std::string_view Path) const;
  const ServiceSpec *service(const std::string &Name) const;
  /// Null where callers need no keys.
  const organisations::OrganisationTable *organisations() const {
    return m_Organisations ? &*m_Organisations : nullptr;
  }
  /// The shortest event gap target among the streaming routes of \p Service;
  /// nullopt if no route sets one.
  std::optional<model::Duration>
  shortestEventGapTarget(const std::string &Service) const;
  /// Picks a service by weight. \p Draw is a random number, uniform over all
  /// values.
  static const std::string &pickService(const RouteSpec &Route, uint64_t Draw);

private:
  using PrefixMap = std::unordered_map<std::string, size_t>;

  GatewayConfig m_Config;
  model::TimePoint m_ReceivedAt;
  std::optional<organisations::OrganisationTable> m_Organisations;
  std::unordered_map<std::string, PrefixMap> m_Hosts;
  std::map<std::string, size_t> m_Services;
  std::map<std::string, model::Duration> m_ShortestEventGapTargets;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ROUTETABLE_H
