#ifndef BRONZEPASS_CORE_CLI_GENERATIONWAIT_H
#define BRONZEPASS_CORE_CLI_GENERATIONWAIT_H

#include "Core/Cli/Command.h"
#include "Core/Model/Id.h"

namespace bronzepass::core::cli {

/// Adds the options of commands that can wait until a generation is in force.
void addWaitOptions(boost::program_options::options_description &Options);

/// If --wait is set, polls the node given by --node until every live node has
/// \p Wanted in force. On timeout, prints the nodes that do not.
ExitCode waitUntilInForce(model::Generation Wanted,
                          const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GENERATIONWAIT_H
