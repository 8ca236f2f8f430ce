#ifndef BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H
#define BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::gateway {

/// Cuts an event stream at the ends of its events, so that a caller never gets
/// part of one, and joins what two endpoints send of the same stream.
class StreamSplicer {
public:
  /// Bytes of whole events that are to be passed on; empty while none is whole
  /// yet. Events whose id was passed on before are left out.
  std::string feed(std::string_view Bytes);

  /// The connection broke: what is left is part of an event.
  void dropPart() { m_Part.clear(); }
  /// Bytes of an event that is not whole.
  bool hasPart() const { return !m_Part.empty(); }
  /// What is kept of the last bytes, where the stream has ended cleanly without
  /// a blank line.
  std::string takePart();

  /// Id of the last event passed on; empty where none had one.
  const std::string &lastId() const { return m_LastId; }
  uint64_t eventCount() const { return m_Events; }

private:
  bool isNew(std::string_view Event);

  std::string m_Part;
  std::string m_LastId;
  std::optional<uint64_t> m_LastNumber;
  uint64_t m_Events = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H
