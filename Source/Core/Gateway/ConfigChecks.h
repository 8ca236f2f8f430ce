#ifndef BRONZEPASS_CORE_GATEWAY_CONFIGCHECKS_H
#define BRONZEPASS_CORE_GATEWAY_CONFIGCHECKS_H

#include "Core/Gateway/GatewayConfig.h"
#include "Core/Model/Finding.h"

namespace bronzepass::core::gateway {

/// What is wrong in a configuration that can be read: names that nothing
/// bears, entries that can never match, limits that contradict each other. An
/// error is a part that fails every request that it is for; a warning one that
/// has no effect, or hardly the intended one.
model::FindingList checkConfig(const GatewayConfig &Config);

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_CONFIGCHECKS_H
