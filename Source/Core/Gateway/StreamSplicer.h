#ifndef BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H
#define BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::gateway {

/// Splits a stream into whole events, so that a caller never receives part of
/// one, and joins the parts of one stream that come from different endpoints.
class StreamSplicer {
public:
  /// Returns the whole events to forward; empty while none is complete. Events
  /// that were already forwarded, by their ids, are left out.
  std::string feed(std::string_view Bytes);

  /// The answer ended: discards the bytes of an incomplete event, which only
  /// the endpoint that sent them could complete. Returns their number.
  size_t discardPartial();

  /// Id of the last event forwarded; empty if none had one.
  const std::string &lastId() const { return m_LastId; }
  uint64_t eventCount() const { return m_Events; }

private:
  bool isNew(std::string_view Event);

  std::string m_Partial;
  std::string m_LastId;
  std::optional<uint64_t> m_LastNumber;
  uint64_t m_Events = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H
