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

/// A caller's window where it names none, and the longest it may name.
struct WindowLimits {
  model::Duration m_Default = std::chrono::seconds(60);
  model::Duration m_Max = std::chrono::minutes(30);
};

/// "250ms" or "2s"; nothing for any other text or for zero.
std::optional<model::Duration> parseWindow(std::string_view Text);

/// Who asks: the Bronzepass-Caller header, else the name in "Authorization:
/// Bearer NAME", else "anonymous". It is a name, not a proof: the balancer in
/// front of the nodes authenticates.
model::CallerId callerOf(const pistache::HttpRequest &Request);

/// Whether \p Request was forwarded by another node: it carries the hop header
/// and comes from an address of a node of \p Table. From anyone else the
/// header means nothing.
bool isForwarded(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table);

/// Fills in caller, window, priority and idempotency key. Appends what is
/// wrong with the headers to \p Errors.
void readHeaders(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table,
                 const WindowLimits &Windows, model::TimePoint Now,
                 model::Request &Into, std::vector<std::string> &Errors);

} // namespace bronzepass::core::adapters::callers

#endif // BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERHEADERS_H
