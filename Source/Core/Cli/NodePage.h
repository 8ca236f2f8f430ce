#ifndef BRONZEPASS_CORE_CLI_NODEPAGE_H
#define BRONZEPASS_CORE_CLI_NODEPAGE_H

#include "Core/Cli/Command.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// The option that names a node's operators' address.
void addNodeOptions(boost::program_options::options_description &Options);

/// One page of that node as JSON. Where there is none, prints why and sets
/// \p Code.
std::optional<nlohmann::ordered_json> fetchPage(const CommandContext &Context,
                                                const std::string &Command,
                                                const std::string &Path,
                                                ExitCode &Code);

/// A member of \p Object as a cell of a table; empty where there is none.
std::string cell(const nlohmann::ordered_json &Object, const char *Key);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_NODEPAGE_H
