#ifndef BRONZEPASS_CORE_CLI_CHECKCOMMAND_H
#define BRONZEPASS_CORE_CLI_CHECKCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Reads a settings or intent file and prints all findings.
class CheckCommand : public Command {
public:
  std::string name() const override { return "check"; }
  std::string summary() const override {
    return "find all faults of a settings or intent file";
  }
  std::string positionalName() const override { return "file"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_CHECKCOMMAND_H
