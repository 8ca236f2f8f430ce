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
  /// The caller has a stream up to the event with this id.
  void startAfter(const std::string &LastId);

  /// Returns the whole events to forward; empty while none is complete. Events
  /// that were already forwarded, by their ids, are left out.
  std::string feed(std::string_view Bytes);

  /// The answer ended: discards the bytes of an incomplete event, which only
  /// the endpoint that sent them could complete. Returns their number.
  size_t discardPartial();

  /// Bytes held of an incomplete event.
  size_t partialBytes() const { return m_Partial.size(); }

  /// What the incomplete event takes.
  size_t heldBytes() const { return m_Partial.capacity(); }

  /// Id of the last event forwarded; empty if none had one.
  const std::string &lastId() const { return m_LastId; }
  /// Events forwarded; of a stream whose events have ids, only those.
  uint64_t eventCount() const { return m_Events; }

private:
  /// Length of the first event in m_Partial after \p Start, including its blank
  /// line; nullopt if it is incomplete.
  std::optional<size_t> nextEventLength(size_t Start);
  bool isNew(std::string_view Event);

  std::string m_Partial;
  /// Start of the first line in m_Partial whose end has not been found, and how
  /// far it was searched.
  size_t m_LineStart = 0;
  size_t m_SearchedTo = 0;
  std::string m_LastId;
  std::optional<uint64_t> m_LastNumber;
  uint64_t m_Events = 0;
  /// An answer goes on with a stream whose events have ids, and has not shown
  /// yet that it does.
  bool m_AwaitsId = false;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMSPLICER_H
