#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAYCODEC_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAYCODEC_H

#include "Core/Gateway/FeedPublisher.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::gateway {

/// Path of the call with which a node asks a watcher; see docs/PROTOCOLS.md.
inline constexpr const char *FeedRelayPath = "/feeds";
/// Maximum size of an encoded query.
inline constexpr size_t MaxFeedQueryBytes = 1 << 10;
/// Maximum size of an encoded reply that is read.
inline constexpr size_t MaxFeedReplyBytes = 8 << 20;

/// Both encode as CBOR.
std::string encodeFeedQuery(const core::gateway::FeedQuery &Query);
std::string encodeFeedReply(const core::gateway::FeedReply &Reply);

/// Both never throw; they return nullopt and set \p Reason if \p Bytes are
/// invalid.
std::optional<core::gateway::FeedQuery> decodeFeedQuery(std::string_view Bytes,
                                                        std::string &Reason);
std::optional<core::gateway::FeedReply> decodeFeedReply(std::string_view Bytes,
                                                        std::string &Reason);

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAYCODEC_H
