#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_STATUSPAGES_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_STATUSPAGES_H

#include "Core/Adapters/Daemon/DecisionRing.h"
#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Node/ControlCore.h"

namespace bronzepass::core::adapters::daemon {

/// Builds the JSON status page that an operator requested. Call on the control
/// thread.
///
/// /status, /models, /engines, /moves, /generation?wanted=N,
/// /explain?model=NAME or ?request=NUMBER. docs/PROTOCOLS.md describes them.
pistache::HttpReply makePage(const pistache::HttpRequest &Request,
                             const node::ControlCore &Core,
                             const DecisionRing &Decisions,
                             model::TimePoint Now);

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_STATUSPAGES_H
