#ifndef BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H
#define BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H

#include "Core/Logs/LogLine.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::json {

/// Parses one line of a gateway node's log. Ignores the text before the first
/// brace, such as columns added by a log collector. Returns nullopt if the line
/// is not a node's.
std::optional<logs::LogLine> readLogLine(std::string_view Text);

struct LogReadResult {
  std::vector<logs::LogLine> m_Lines;
  /// Lines that are not a node's, for instance truncated ones.
  uint64_t m_UnreadableLines = 0;
};

/// Appends all lines of \p In to \p Result.
void readLog(std::istream &In, LogReadResult &Result);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H
