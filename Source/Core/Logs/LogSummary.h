#ifndef BRONZEPASS_CORE_LOGS_LOGSUMMARY_H
#define BRONZEPASS_CORE_LOGS_LOGSUMMARY_H

#include "Core/Logs/LogLine.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::logs {

/// Requests of one kind.
struct KindSummary {
  uint64_t m_Answered = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Cut = 0;
  uint64_t m_Gone = 0;
  /// Time to the end of whole answers, in milliseconds.
  int64_t m_MedianMs = 0;
  int64_t m_P99Ms = 0;
  int64_t m_MostMs = 0;

  friend auto operator<=>(const KindSummary &, const KindSummary &) = default;
};

/// Requests that ended badly for one reason.
struct FailureCause {
  std::string m_Action;
  std::string m_Status;
  /// Without the names and figures that differ from request to request.
  std::string m_Reason;
  uint64_t m_Count = 0;
  /// One of them, to be explained.
  std::string m_Example;

  friend auto operator<=>(const FailureCause &, const FailureCause &) = default;
};

struct LogSummary {
  uint64_t m_Lines = 0;
  int64_t m_FromMs = 0;
  int64_t m_UntilMs = 0;
  /// Lines that the nodes left out, as they told.
  uint64_t m_LinesDropped = 0;
  std::map<std::string, KindSummary> m_Kinds;
  /// The most frequent first.
  std::vector<FailureCause> m_Causes;
  /// Loads and unloads that were ordered, by artifact.
  std::map<std::string, uint64_t> m_Orders;
  /// The requests that took longest, slowest first.
  std::vector<LogLine> m_Slowest;
  /// Configuration, lease, dependencies, processes, in the order of time.
  std::vector<LogLine> m_Changes;

  friend auto operator<=>(const LogSummary &, const LogSummary &) = default;
};

LogSummary summarize(const std::vector<LogLine> &Lines);

} // namespace bronzepass::core::logs

#endif // BRONZEPASS_CORE_LOGS_LOGSUMMARY_H
