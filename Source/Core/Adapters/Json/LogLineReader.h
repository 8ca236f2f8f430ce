#ifndef BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H
#define BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H

#include "Core/Logs/LogLine.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::json {

/// Reads one line of a gateway node's log; what stands before its first brace
/// (a collector's own columns) is passed over. nullopt where it is no such
/// line.
std::optional<logs::LogLine> readLogLine(std::string_view Text);

struct LogReadResult {
  std::vector<logs::LogLine> m_Lines;
  /// Lines that are not a node's, for instance half ones.
  uint64_t m_UnreadableLines = 0;
};

/// Adds all lines of \p In to \p Reading.
void readLog(std::istream &In, LogReadResult &Reading);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_LOGLINEREADER_H
