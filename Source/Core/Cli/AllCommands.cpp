#include "Core/Cli/ApplyCommand.h"
#include "Core/Cli/CheckCommand.h"
#include "Core/Cli/CommandLine.h"
#include "Core/Cli/DiffCommand.h"
#include "Core/Cli/DrainCommand.h"
#include "Core/Cli/ExplainCommand.h"
#include "Core/Cli/GatewayCommand.h"
#include "Core/Cli/GetCommand.h"
#include "Core/Cli/LogsCommand.h"
#include "Core/Cli/MovesCommand.h"
#include "Core/Cli/RetireCommand.h"
#include "Core/Cli/ServeCommand.h"
#include "Core/Cli/StatusCommand.h"
#include "Core/Cli/VersionCommand.h"

namespace bronzepass::core::cli {

std::vector<std::unique_ptr<Command>> allCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<ServeCommand>());
  Commands.push_back(std::make_unique<GatewayCommand>());
  Commands.push_back(std::make_unique<CheckCommand>());
  Commands.push_back(std::make_unique<ApplyCommand>());
  Commands.push_back(std::make_unique<GetCommand>());
  Commands.push_back(std::make_unique<DiffCommand>());
  Commands.push_back(std::make_unique<DrainCommand>());
  Commands.push_back(std::make_unique<RetireCommand>());
  Commands.push_back(std::make_unique<StatusCommand>());
  Commands.push_back(std::make_unique<ExplainCommand>());
  Commands.push_back(std::make_unique<LogsCommand>());
  Commands.push_back(std::make_unique<MovesCommand>());
  Commands.push_back(std::make_unique<VersionCommand>());
  return Commands;
}

} // namespace bronzepass::core::cli
