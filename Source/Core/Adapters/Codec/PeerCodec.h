#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H

#include "Core/Ports/PeerMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// A peer message with its sequence number on its link. Numbers start at 1 and
/// increase by one, so that a replayed or lost message is detected.
struct NumberedMessage {
  uint64_t m_Number = 0;
  ports::PeerMessage m_Message;

  friend auto operator<=>(const NumberedMessage &,
                          const NumberedMessage &) = default;
};

/// Encodes and decodes peer messages as CBOR maps of "type", "number" and
/// "body". Ignores unknown fields; rejects an unknown type, since a node sends
/// a peer only the types of the peer's protocol version.
/// Never throws: on failure returns nullopt and lastReason() says why.
class PeerCodec {
public:
  /// The message as bytes; nullopt if larger than MaxMessageBytes.
  std::optional<std::string> encode(const NumberedMessage &Message);

  std::optional<NumberedMessage> decode(std::string_view Bytes);

  /// Why the last call returned nullopt; empty if it succeeded.
  const std::string &lastReason() const { return m_LastReason; }

private:
  std::string m_LastReason;
};

/// "heartbeat", "intentOffer" and so on, for metrics and logs.
std::string_view typeName(const ports::PeerMessage &Message);

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H
