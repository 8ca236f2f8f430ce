#ifndef BRONZEPASS_CORE_CLI_FINDINGPRINTER_H
#define BRONZEPASS_CORE_CLI_FINDINGPRINTER_H

#include "Core/Cli/Command.h"
#include "Core/Model/Finding.h"

namespace bronzepass::core::cli {

/// Prints each finding on a line, or all as a JSON list, to the output; then
/// their number to the error stream.
void printFindings(const model::FindingList &Findings,
                   const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_FINDINGPRINTER_H
