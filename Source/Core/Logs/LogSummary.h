#ifndef BRONZEPASS_CORE_LOGS_LOGSUMMARY_H
#define BRONZEPASS_CORE_LOGS_LOGSUMMARY_H

#include "Core/Logs/LogLine.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::logs {

/// Outcomes and response times of all requests of one kind.
struct KindSummary {
  uint64_t m_Answered = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Cut = 0;
  /// The caller disconnected first.
  uint64_t m_Gone = 0;
  /// Time until the answer was complete, over answered requests.
  int64_t m_MedianMs = 0;
  int64_t m_P99Ms = 0;
  int64_t m_MaxMs = 0;

  friend auto operator<=>(const KindSummary &, const KindSummary &) = default;
};

/// Requests that were refused or cut for the same reason.
struct FailureCause {
  std::string m_Action;
  std::string m_Status;
  /// Names and numbers that differ between requests are replaced by "...".
  std::string m_Reason;
  uint64_t m_Count = 0;
  /// Id of one of these requests, for the explain command.
  std::string m_ExampleRequest;

  friend auto operator<=>(const FailureCause &, const FailureCause &) = default;
};

/// Totals over the log lines of any number of nodes.
struct LogSummary {
  uint64_t m_Lines = 0;
  int64_t m_FromMs = 0;
  int64_t m_UntilMs = 0;
  /// Lines that the nodes dropped, by their own count.
  uint64_t m_LinesDropped = 0;
  std::map<std::string, KindSummary> m_Kinds;
  /// Most frequent first.
  std::vector<FailureCause> m_Causes;
  /// Load and unload orders, counted by action and artifact.
  std::map<std::string, uint64_t> m_Orders;
  /// The answered requests that took longest, slowest first.
  std::vector<LogLine> m_Slowest;
  /// Changes of configuration, proof, leases, dependencies and processes,
  /// oldest first.
  std::vector<LogLine> m_Changes;

  friend auto operator<=>(const LogSummary &, const LogSummary &) = default;
};

LogSummary summarize(const std::vector<LogLine> &Lines);

} // namespace bronzepass::core::logs

#endif // BRONZEPASS_CORE_LOGS_LOGSUMMARY_H
