#ifndef BRONZEPASS_CORE_CLI_LOGFILES_H
#define BRONZEPASS_CORE_CLI_LOGFILES_H

#include "Core/Adapters/Json/LogLineReader.h"
#include "Core/Cli/Command.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// Reads the logs at \p Paths ("-": standard input). nullopt, and a line on the
/// error output, where one can't be opened or none holds a node's line.
std::optional<adapters::json::LogReadResult>
readLogs(const CommandContext &Context, const std::string &Command,
         const std::vector<std::string> &Paths);

/// A line's fields as "name=value" words, without \p Left.
std::string fieldsText(const logs::LogLine &Line,
                       const std::vector<std::string> &Left = {});

/// Time of day, UTC, with milliseconds.
std::string timeText(int64_t UnixMs);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_LOGFILES_H
