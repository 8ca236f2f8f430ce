#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H

#include "Core/Ports/PeerMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// A peer message with its number on its link: the first is 1, and each
/// further one is one higher, so that a replayed or lost one shows.
struct NumberedMessage {
  uint64_t m_Number = 0;
  ports::PeerMessage m_Message;

  friend auto operator<=>(const NumberedMessage &,
                          const NumberedMessage &) = default;
};

/// Peer messages as CBOR: a map of "type", "number" and "body". Fields that
/// are not known are passed over; an unknown type is refused, since a node
/// sends a peer only the types of the peer's protocol version.
/// Never throws; where nothing is returned, lastReason() says why.
class PeerCodec {
public:
  /// The message as bytes; nullopt past MaxMessageBytes.
  std::optional<std::string> encode(const NumberedMessage &Message);

  std::optional<NumberedMessage> decode(std::string_view Bytes);

  /// Why the last call returned nothing; empty where it did not.
  const std::string &lastReason() const { return m_LastReason; }

private:
  std::string m_LastReason;
};

/// "heartbeat", "intentOffer" and so on, for metrics and logs.
std::string_view typeName(const ports::PeerMessage &Message);

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_PEERCODEC_H
