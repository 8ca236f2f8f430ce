#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H

#include "Core/Gateway/PeerNotice.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::gateway {

/// Maximum size of an encoded notice, sent or received.
inline constexpr size_t MaxNoticeBytes = 60 << 10;

/// Encodes \p Notice as CBOR with the field names of docs/PROTOCOLS.md; returns
/// nullopt if the result is longer than MaxNoticeBytes.
std::optional<std::string>
encodeNotice(const core::gateway::PeerNotice &Notice);

/// Never throws; returns nullopt and sets \p Reason if \p Bytes are invalid.
std::optional<core::gateway::PeerNotice> decodeNotice(std::string_view Bytes,
                                                      std::string &Reason);

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H
