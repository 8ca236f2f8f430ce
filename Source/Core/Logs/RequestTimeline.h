#ifndef BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H
#define BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H

#include "Core/Logs/LogLine.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::logs {

/// A log line of the request, or one about the state of its nodes, endpoints or
/// models around that time.
struct TimelineEntry {
  LogLine m_Line;
  /// Time since the request's first line; negative before it.
  int64_t m_OffsetMs = 0;
  /// The line itself names the request.
  bool m_IsRequestLine = false;

  friend auto operator<=>(const TimelineEntry &,
                          const TimelineEntry &) = default;
};

/// Log lines about one request, from all nodes read, with its outcome and the
/// likely causes.
struct RequestTimeline {
  /// Ordered by time; empty if no line names the request.
  std::vector<TimelineEntry> m_Entries;
  /// "answer", "refuse", "cut", "gone" or "end"; empty if no line has it.
  std::string m_Outcome;
  /// HTTP status of the outcome, as text; empty if there is none.
  std::string m_Status;
  /// Why it ended this way, one sentence each, most likely first.
  std::vector<std::string> m_Causes;

  friend auto operator<=>(const RequestTimeline &,
                          const RequestTimeline &) = default;
};

/// Builds the timeline of the request with the caller's id \p Request from
/// \p Lines, which may be in any order and from any number of nodes.
RequestTimeline explainRequest(const std::vector<LogLine> &Lines,
                               const std::string &Request);

} // namespace bronzepass::core::logs

#endif // BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H
