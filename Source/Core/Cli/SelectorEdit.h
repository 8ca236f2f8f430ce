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

/// Describes the selector that a command adds to the intent for a target named
/// on the command line.
struct SelectorEdit {
  /// The command's name; the selector is named "<command>-<target>".
  std::string m_Command;
  /// Name of the positional option, e.g. "endpoint".
  std::string m_TargetKind;
  /// Lists the names of all valid targets in an intent.
  std::function<std::vector<std::string>(const model::Intent &)> m_ListTargets;
  /// Returns the selector's text for a target, without the selector's name.
  std::function<std::string(const std::string &)> m_MakeBody;
};

void addSelectorOptions(const SelectorEdit &Edit,
                        boost::program_options::options_description &Options);
ExitCode runSelectorEdit(const SelectorEdit &Edit,
                         const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_SELECTOREDIT_H
