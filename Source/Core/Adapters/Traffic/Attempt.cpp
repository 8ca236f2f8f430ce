#include "Core/Adapters/Traffic/Attempt.h"

#include "Core/Adapters/Traffic/RelayedHead.h"

#include <algorithm>
#include <charconv>

namespace bronzepass::core::adapters::traffic {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr std::string_view TerminalMarker = "data: [DONE]";
constexpr std::string_view EventEnd = "\n\n";
/// Fits the marker between LF or CRLF line ends.
constexpr size_t TailBytes = 32;

std::optional<uint64_t> parseNumber(const std::string &Text) {
  uint64_t Value = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Result.ec != std::errc() ||
      Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<routing::ReportedLoad>
parseReportedLoad(const curl::TransferHead &Head) {
  const std::optional<uint64_t> Running =
      parseNumber(Head.header("bronzepass-running"));
  const std::optional<uint64_t> Waiting =
      parseNumber(Head.header("bronzepass-waiting"));
  if (!Running || !Waiting)
    return std::nullopt;
  return routing::ReportedLoad{static_cast<uint32_t>(*Running),
                               static_cast<uint32_t>(*Waiting)};
}

uint32_t countEvents(std::string_view Bytes) {
  uint32_t Count = 0;
  for (size_t At = Bytes.find(EventEnd); At != std::string_view::npos;
       At = Bytes.find(EventEnd, At + EventEnd.size()))
    ++Count;
  return Count;
}

} // namespace

std::optional<routing::AttemptHead>
Attempt::handleHead(const curl::TransferHead &Head) {
  m_Head = Head;
  m_HasHead = true;
  m_Unusable = !isOfThisAttempt();
  if (m_Unusable)
    return std::nullopt;
  m_Declined = Head.m_Status == ServiceUnavailable &&
               Head.header("bronzepass-run-state") == "not_run";
  if (m_Declined)
    return std::nullopt;
  m_IsStream = isEventStream(Head);
  m_Unusable = !resumesStream();
  if (m_Unusable)
    return std::nullopt;
  return routing::AttemptHead{m_Start.m_Attempt,
                              static_cast<uint16_t>(Head.m_Status),
                              parseReportedLoad(Head)};
}

bool Attempt::namesAttempt() const {
  return parseNumber(m_Head.header("bronzepass-attempt")) ==
         m_Start.m_Attempt.m_Value;
}

bool Attempt::isOfThisAttempt() const {
  const bool NamesNone = m_Head.header("bronzepass-attempt").empty();
  return namesAttempt() || (NamesNone && m_Head.m_OnNewConnection);
}

bool Attempt::resumesStream() const {
  if (m_Start.m_ResumeOffset == 0)
    return true;
  // The length of another body would count as the end of the stream.
  return m_IsStream && parseNumber(m_Head.header("bronzepass-resume-offset")) ==
                           m_Start.m_ResumeOffset;
}

std::optional<routing::AttemptChunk>
Attempt::handleChunk(std::string_view Bytes) {
  if (m_Declined || m_Unusable)
    return std::nullopt;
  const routing::AttemptChunk Chunk{m_Start.m_Attempt, m_Offset, Bytes.size(),
                                    m_IsStream ? countEvents(Bytes) : 0};
  m_Offset += Bytes.size();
  m_Tail.append(Bytes.substr(Bytes.size() - std::min(Bytes.size(), TailBytes)));
  if (m_Tail.size() > TailBytes)
    m_Tail.erase(0, m_Tail.size() - TailBytes);
  m_ReplayTooLong =
      m_ReplayTooLong || m_ReplayBody.size() + Bytes.size() > m_MaxReplayBytes;
  if (m_ReplayTooLong)
    m_ReplayBody.clear();
  else
    m_ReplayBody.append(Bytes);
  return Chunk;
}

bool Attempt::hasTerminalMarker() const {
  const std::string_view Tail = m_Tail;
  const size_t LineEndsAt = Tail.find_last_not_of("\r\n") + 1;
  const std::string_view LineEnds = Tail.substr(LineEndsAt);
  const std::string_view Text = Tail.substr(0, LineEndsAt);
  // An event ends with an empty line.
  const bool EventEnds =
      std::count(LineEnds.begin(), LineEnds.end(), '\n') >= 2;
  if (!EventEnds || !Text.ends_with(TerminalMarker))
    return false;
  const std::string_view Before =
      Text.substr(0, Text.size() - TerminalMarker.size());
  const bool StartsBody = Before.empty() && Tail.size() < TailBytes;
  return StartsBody || Before.ends_with('\n');
}

routing::AttemptEnded Attempt::handleEnd(const curl::TransferResult &Result) {
  routing::AttemptEnded Ended{
      m_Start.m_Attempt, routing::AttemptOutcome::Broken,
      static_cast<uint16_t>(m_Head.m_Status), m_ReplayBody};
  if (m_Unusable)
    return Ended;
  if (m_Declined)
    Ended.m_Outcome = routing::AttemptOutcome::Declined;
  else if (m_HasHead && (m_IsStream ? hasTerminalMarker() : Result.m_Complete))
    Ended.m_Outcome = routing::AttemptOutcome::Complete;
  else if (!m_HasHead && Result.m_BytesSent == 0)
    Ended.m_Outcome = routing::AttemptOutcome::NotSent;
  return Ended;
}

routing::AttemptEnded Attempt::makeBrokenEnd() const {
  return {m_Start.m_Attempt, routing::AttemptOutcome::Broken,
          static_cast<uint16_t>(m_Head.m_Status), ""};
}

} // namespace bronzepass::core::adapters::traffic
