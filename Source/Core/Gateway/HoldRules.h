#ifndef BRONZEPASS_CORE_GATEWAY_HOLDRULES_H
#define BRONZEPASS_CORE_GATEWAY_HOLDRULES_H

#include "Core/Gateway/GatewayConfig.h"
#include "Core/Gateway/HoldQueue.h"

#include <compare>
#include <string>

namespace bronzepass::core::gateway {

/// What the configuration calls for where requests for a service wait.
struct HoldRules {
  HoldOrder m_Order = HoldOrder::Rank;
  /// With HoldOrder::Slack: a request waits at its node rather than at an
  /// engine on which it would wait longer for a slot, so that the engine starts
  /// the most urgent requests in time that come meanwhile.
  double m_MaxSlotWaitMs = 0;

  friend auto operator<=>(const HoldRules &, const HoldRules &) = default;
};

/// Ranks and times agree, and HoldOrder::Rank serves them, unless a request of
/// higher rank can have at least twice the time of one of lower rank.
HoldRules holdRules(const GatewayConfig &Config, const std::string &Service);

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_HOLDRULES_H
