#ifndef BRONZEPASS_CORE_CLI_SELECTOREDIT_H
#define BRONZEPASS_CORE_CLI_SELECTOREDIT_H

#include "Core/Cli/Command.h"

#include <functional>
#include <string>
#include <vector>

namespace bronzepass::core::model {
struct Intent;
} // namespace bronzepass::core::model

namespace bronzepass::core::cli {

/// One kind of selector that a command adds for a thing named on the command
/// line.
struct SelectorEdit {
  /// The command's name; the selector is named "<command>-<thing>".
  std::string m_Command;
  /// The command's argument, e.g. "endpoint".
  std::string m_Argument;
  /// Names of all such things in an intent.
  std::function<std::vector<std::string>(const model::Intent &)> m_Names;
  /// The selector's body for a thing, without its name.
  std::function<std::string(const std::string &)> m_Body;
};

void addSelectorOptions(const SelectorEdit &Edit,
                        boost::program_options::options_description &Options);
ExitCode runSelectorEdit(const SelectorEdit &Edit,
                         const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_SELECTOREDIT_H
