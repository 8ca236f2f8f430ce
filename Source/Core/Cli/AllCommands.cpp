#include "Core/Cli/CheckCommand.h"
#include "Core/Cli/CommandLine.h"
#include "Core/Cli/VersionCommand.h"

namespace bronzepass::core::cli {

std::vector<std::unique_ptr<Command>> allCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<CheckCommand>());
  Commands.push_back(std::make_unique<VersionCommand>());
  return Commands;
}

} // namespace bronzepass::core::cli
