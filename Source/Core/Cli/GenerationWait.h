#ifndef BRONZEPASS_CORE_CLI_GENERATIONWAIT_H
#define BRONZEPASS_CORE_CLI_GENERATIONWAIT_H

#include "Core/Cli/Command.h"
#include "Core/Model/Id.h"

namespace bronzepass::core::cli {

/// Options of commands that can wait until a generation is in force.
void addWaitOptions(boost::program_options::options_description &Options);

/// With --wait: asks the node named until every live node has \p Wanted in
/// force, and names those that have not when the time is up.
ExitCode waitUntilInForce(model::Generation Wanted,
                          const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GENERATIONWAIT_H
