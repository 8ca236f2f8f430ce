#ifndef BRONZEPASS_CORE_CLI_FINDINGPRINTER_H
#define BRONZEPASS_CORE_CLI_FINDINGPRINTER_H

#include "Core/Cli/Command.h"
#include "Core/Model/Finding.h"

namespace bronzepass::core::cli {

/// Prints one finding a line to the output and their number to the error
/// stream; with --output json, prints them as a JSON list only.
void printFindings(const model::FindingList &Findings,
                   const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_FINDINGPRINTER_H
