#ifndef BRONZEPASS_CORE_CLI_DRAINCOMMAND_H
#define BRONZEPASS_CORE_CLI_DRAINCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Adds a selector that drains an endpoint to the accepted intent; --undo
/// removes it.
class DrainCommand : public Command {
public:
  std::string name() const override { return "drain"; }
  std::string summary() const override {
    return "give an endpoint no new work and empty it";
  }
  std::string positionalName() const override { return "endpoint"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_DRAINCOMMAND_H
