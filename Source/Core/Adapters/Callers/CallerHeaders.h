#ifndef BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERHEADERS_H
#define BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERHEADERS_H

#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Model/Request.h"
#include "Core/Model/Time.h"
#include "Core/Routing/RoutingTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::callers {

/// Default and maximum of a request's window: the time from its receipt to its
/// deadline.
struct WindowLimits {
  model::Duration m_Default = std::chrono::seconds(60);
  model::Duration m_Max = std::chrono::minutes(30);
};

/// Parses "250ms" or "2s". Empty for zero and for any other text.
std::optional<model::Duration> parseWindow(std::string_view Text);

/// The caller's name: the Bronzepass-Caller header, else the name in
/// "Authorization: Bearer NAME", else "anonymous". It is not verified here: the
/// load balancer in front of the nodes authenticates callers.
model::CallerId callerOf(const pistache::HttpRequest &Request);

/// Whether \p Request was forwarded by another node: it has the Bronzepass-Hop
/// header and its sender's IP is that of a node of \p Table. The header is
/// ignored if another sender sets it.
bool isForwarded(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table);

/// Sets caller, deadline, priority, idempotency key and forwarded flag of
/// \p Into. Appends a message for each invalid header to \p Errors.
void readHeaders(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table,
                 const WindowLimits &Windows, model::TimePoint Now,
                 model::Request &Into, std::vector<std::string> &Errors);

} // namespace bronzepass::core::adapters::callers

#endif // BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERHEADERS_H
