#ifndef BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H
#define BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H

#include "Core/Logs/LogLine.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::logs {

/// A line that belongs to a request, or that tells what the node knew then.
struct TimelineEntry {
  LogLine m_Line;
  /// Since the request's first line; negative before it.
  int64_t m_OffsetMs = 0;
  /// It names the request itself.
  bool m_IsOwn = false;

  friend auto operator<=>(const TimelineEntry &,
                          const TimelineEntry &) = default;
};

/// What became of one request, over all nodes whose lines were read.
struct RequestTimeline {
  /// In the order of time; empty where no line names the request.
  std::vector<TimelineEntry> m_Steps;
  /// "answer", "refuse", "cut", "gone", "end"; empty where it has no end yet.
  std::string m_Outcome;
  /// HTTP status of the outcome, as text; empty where there is none.
  std::string m_Status;
  /// Why it ended so, in one sentence each, the most likely first.
  std::vector<std::string> m_Causes;

  friend auto operator<=>(const RequestTimeline &,
                          const RequestTimeline &) = default;
};

/// Follows the request with the caller's id \p Request through \p Lines, which
/// may be in any order and of any number of nodes.
RequestTimeline explainRequest(const std::vector<LogLine> &Lines,
                               const std::string &Request);

} // namespace bronzepass::core::logs

#endif // BRONZEPASS_CORE_LOGS_REQUESTTIMELINE_H
