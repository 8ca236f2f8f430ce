#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_NODESETUP_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_NODESETUP_H

#include "Core/Adapters/Callers/CallerServer.h"
#include "Core/Adapters/ObjectApi/ObjectApiSettings.h"
#include "Core/Adapters/Pistache/HttpServer.h"
#include "Core/Adapters/Traffic/TrafficDriver.h"
#include "Core/Node/NodeConfig.h"
#include "Core/Routing/TrafficSettings.h"
#include "Core/Settings/NodeSettings.h"

namespace bronzepass::core::adapters::daemon {

// Builds the configuration of each component of a node from the settings.

/// This node; \p Now, the start time of the process, is its incarnation.
model::NodeInfo makeSelf(const settings::NodeSettings &Settings,
                         model::TimePoint Now);
node::NodeConfig makeNodeConfig(const settings::NodeSettings &Settings,
                                const model::NodeInfo &Self);
routing::TrafficSettings
makeTrafficSettings(const settings::NodeSettings &Settings);
traffic::TrafficOptions makeTrafficOptions(const model::NodeInfo &Self);
callers::CallerServerOptions
makeCallerServerOptions(const settings::NodeSettings &Settings);
pistache::HttpServerOptions
makeOperatorServerOptions(const settings::NodeSettings &Settings);
object_api::ObjectApiSettings
makeObjectApiSettings(const settings::NodeSettings &Settings);

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_NODESETUP_H
