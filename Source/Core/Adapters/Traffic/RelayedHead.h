#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Pistache/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::traffic {

/// The headers of an endpoint's response that are relayed to the caller: all
/// except those of the connection and the load reports.
std::vector<pistache::HttpHeader>
relayedHeaders(const curl::TransferHead &Head);

/// Whether the response is a stream of events, which ends with a marker.
bool isEventStream(const curl::TransferHead &Head);

/// The length to declare to the caller; empty for a chunked response. A stream
/// is always chunked: with a length, one that lacks its marker would look
/// complete.
std::optional<uint64_t> relayedLength(const curl::TransferHead &Head);

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H
