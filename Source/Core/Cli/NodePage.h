#ifndef BRONZEPASS_CORE_CLI_NODEPAGE_H
#define BRONZEPASS_CORE_CLI_NODEPAGE_H

#include "Core/Cli/Command.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// Adds the option for a node's operators' address.
void addNodeOptions(boost::program_options::options_description &Options);

/// Fetches the JSON page at \p Path from that node. On failure prints an error,
/// sets \p Code and returns nullopt.
std::optional<nlohmann::ordered_json> fetchPage(const CommandContext &Context,
                                                const std::string &Command,
                                                const std::string &Path,
                                                ExitCode &Code);

/// The member \p Key of \p Object as text for a table cell; empty if missing.
std::string cell(const nlohmann::ordered_json &Object, const char *Key);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_NODEPAGE_H
