#ifndef BRONZEPASS_CORE_ADAPTERS_CALLERS_REQUESTREADER_H
#define BRONZEPASS_CORE_ADAPTERS_CALLERS_REQUESTREADER_H

#include "Core/Adapters/Callers/CallerHeaders.h"
#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Adapters/Traffic/CallerRequest.h"
#include "Core/Routing/RoutingTable.h"

#include <optional>

namespace bronzepass::core::adapters::callers {

/// Either a request to route, or the error response to an invalid request.
struct RequestReadResult {
  std::optional<traffic::CallerRequest> m_Request;
  pistache::HttpReply m_Refusal;
};

/// Parses a request for a model or a plain service. All errors of its headers,
/// or else of its body, are reported in one response, each with the name of the
/// header or member.
RequestReadResult readRequest(const pistache::HttpRequest &Request,
                              const routing::RoutingTable &Table,
                              const WindowLimits &Windows,
                              model::TimePoint Now);

} // namespace bronzepass::core::adapters::callers

#endif // BRONZEPASS_CORE_ADAPTERS_CALLERS_REQUESTREADER_H
