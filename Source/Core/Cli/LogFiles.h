#ifndef BRONZEPASS_CORE_CLI_LOGFILES_H
#define BRONZEPASS_CORE_CLI_LOGFILES_H

#include "Core/Adapters/Json/LogLineReader.h"
#include "Core/Cli/Command.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// Reads the logs at \p Paths; "-" is standard input. Prints an error and
/// returns nullopt if a file can't be opened or no file has a line of a node.
std::optional<adapters::json::LogReadResult>
readLogs(const CommandContext &Context, const std::string &Command,
         const std::vector<std::string> &Paths);

/// The fields of a line as "name=value" pairs, except those in \p Omitted.
std::string formatFields(const logs::LogLine &Line,
                         const std::vector<std::string> &Omitted = {});

/// The UTC time of day with milliseconds.
std::string formatTime(int64_t UnixMs);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_LOGFILES_H
