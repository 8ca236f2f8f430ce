#ifndef BRONZEPASS_CORE_CLI_COMMANDLINE_H
#define BRONZEPASS_CORE_CLI_COMMANDLINE_H

#include "Core/Cli/Command.h"

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// Selects the subcommand, parses its options and runs it.
class CommandLine {
public:
  explicit CommandLine(std::vector<std::unique_ptr<Command>> Commands);

  /// \p Arguments does not include the program name.
  ExitCode run(const std::vector<std::string> &Arguments, std::ostream &Out,
               std::ostream &Err) const;

private:
  const Command *find(const std::string &Name) const;
  void printHelp(std::ostream &Out) const;
  ExitCode runCommand(const Command &Selected,
                      const std::vector<std::string> &Arguments,
                      std::ostream &Out, std::ostream &Err) const;

  std::vector<std::unique_ptr<Command>> m_Commands;
};

/// All subcommands of the program.
std::vector<std::unique_ptr<Command>> allCommands();

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_COMMANDLINE_H
