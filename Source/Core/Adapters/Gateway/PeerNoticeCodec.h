#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H

#include "Core/Gateway/PeerNotice.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::gateway {

/// Largest datagram that is sent; a longer one is not.
inline constexpr size_t MaxNoticeBytes = 60 << 10;

/// CBOR with the field names of docs/PROTOCOLS.md; nullopt where it is longer
/// than MaxNoticeBytes.
std::optional<std::string>
encodeNotice(const core::gateway::PeerNotice &Notice);

/// Never throws; \p Reason says why nothing was returned.
std::optional<core::gateway::PeerNotice> decodeNotice(std::string_view Bytes,
                                                      std::string &Reason);

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERNOTICECODEC_H
