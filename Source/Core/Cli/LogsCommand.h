#ifndef BRONZEPASS_CORE_CLI_LOGSCOMMAND_H
#define BRONZEPASS_CORE_CLI_LOGSCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints a summary of the logs of gateway nodes.
class LogsCommand : public Command {
public:
  std::string name() const override { return "logs"; }
  std::string summary() const override {
    return "sum up gateway logs: ends, causes, slowest requests, changes";
  }
  std::string positionalName() const override { return "file"; }
  int maxPositionalCount() const override { return -1; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_LOGSCOMMAND_H
