#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Pistache/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::traffic {

/// The headers of an endpoint's answer that its caller gets: all but those of
/// the connection and the load hints.
std::vector<pistache::HttpHeader>
relayedHeaders(const curl::TransferHead &Head);

/// Nothing for an answer in chunks.
std::optional<uint64_t> contentLength(const curl::TransferHead &Head);

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_RELAYEDHEAD_H
