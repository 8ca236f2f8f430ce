#ifndef BRONZEPASS_CORE_CLI_DIFFCOMMAND_H
#define BRONZEPASS_CORE_CLI_DIFFCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints the changes that applying an intent file would make.
class DiffCommand : public Command {
public:
  std::string name() const override { return "diff"; }
  std::string summary() const override {
    return "say what applying an intent file would change";
  }
  std::string positionalName() const override { return "file"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_DIFFCOMMAND_H
