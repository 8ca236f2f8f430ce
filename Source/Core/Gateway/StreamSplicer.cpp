#include "Core/Gateway/StreamSplicer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

std::string_view idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  size_t LineStart = 0;
  while (LineStart < Event.size()) {
    const size_t LineEnd = Event.find('\n', LineStart);
    std::string_view Line = Event.substr(LineStart, LineEnd - LineStart);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.empty())
      break;
    if (Line.substr(0, Field.size()) == Field) {
      Line.remove_prefix(Field.size());
      if (!Line.empty() && Line.front() == ' ')
        Line.remove_prefix(1);
      return Line;
    }
    if (LineEnd == std::string_view::npos)
      break;
    LineStart = LineEnd + 1;
  }
  return {};
}

std::optional<uint64_t> numberOf(std::string_view Text) {
  uint64_t Number = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

} // namespace

std::optional<size_t> StreamSplicer::nextEventLength(size_t Start) {
  for (;;) {
    const size_t LineEnd = m_Partial.find('\n', m_SearchedTo);
    if (LineEnd == std::string::npos) {
      m_SearchedTo = m_Partial.size();
      return std::nullopt;
    }
    std::string_view Line =
        std::string_view(m_Partial).substr(m_LineStart, LineEnd - m_LineStart);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    const bool IsFirst = m_LineStart == Start;
    m_LineStart = LineEnd + 1;
    if (Line.empty() && IsFirst)
      // Empty lines in a row count as one event.
      m_LineStart = std::min(m_Partial.find_first_not_of("\r\n", m_LineStart),
                             m_Partial.size());
    m_SearchedTo = m_LineStart;
    if (Line.empty())
      return m_LineStart - Start;
  }
}

void StreamSplicer::startAfter(const std::string &LastId) {
  m_LastId = LastId;
  m_LastNumber = numberOf(LastId);
  m_AwaitsId = !LastId.empty();
}

std::string StreamSplicer::feed(std::string_view Bytes) {
  m_Partial.append(Bytes);
  std::string Whole;
  size_t Start = 0;
  while (const std::optional<size_t> Length = nextEventLength(Start)) {
    const std::string_view Event =
        std::string_view(m_Partial).substr(Start, *Length);
    if (isNew(Event))
      Whole.append(Event);
    Start += *Length;
  }
  m_Partial.erase(0, Start);
  m_LineStart -= Start;
  m_SearchedTo -= Start;
  return Whole;
}

bool StreamSplicer::isNew(std::string_view Event) {
  const std::string_view Id = idOf(Event);
  if (Id.empty()) {
    m_Events += m_LastId.empty() ? 1 : 0;
    return !m_AwaitsId;
  }
  const std::optional<uint64_t> Number = numberOf(Id);
  if (Number && m_LastNumber && *Number <= *m_LastNumber)
    return false;
  m_LastNumber = Number;
  m_LastId = std::string(Id);
  m_AwaitsId = false;
  ++m_Events;
  return true;
}

size_t StreamSplicer::discardPartial() {
  m_LineStart = 0;
  m_SearchedTo = 0;
  m_AwaitsId = !m_LastId.empty();
  return std::exchange(m_Partial, {}).size();
}

} // namespace bronzepass::core::gateway
