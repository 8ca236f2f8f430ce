#ifndef BRONZEPASS_CORE_GATEWAY_CONFIGDIFF_H
#define BRONZEPASS_CORE_GATEWAY_CONFIGDIFF_H

#include "Core/Gateway/GatewayConfig.h"

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// One difference between two configurations.
struct ConfigChange {
  /// "added", "removed" or "changed".
  std::string m_Kind;
  /// For example "route r" or "organisation o".
  std::string m_Subject;
  /// The fields that differ, with both values; keys are counted, not told.
  std::string m_Detail;

  friend auto operator<=>(const ConfigChange &, const ConfigChange &) = default;
};

/// What \p New changes against \p Old, in the order of routes, services,
/// models, organisations and limits.
std::vector<ConfigChange> diffConfigs(const GatewayConfig &Old,
                                      const GatewayConfig &New);

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_CONFIGDIFF_H
