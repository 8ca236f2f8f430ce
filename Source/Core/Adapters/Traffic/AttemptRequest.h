#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPTREQUEST_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPTREQUEST_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Traffic/CallerRequest.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Routing/TrafficEffect.h"

namespace bronzepass::core::adapters::traffic {

/// Builds the HTTP request of one attempt, sent to an endpoint or forwarded to
/// another node.
curl::TransferRequest makeAttemptRequest(const routing::StartAttempt &Start,
                                         const CallerRequest &Request,
                                         const model::NodeId &Self,
                                         model::TimePoint Now);

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPTREQUEST_H
