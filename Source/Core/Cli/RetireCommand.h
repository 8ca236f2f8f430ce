#ifndef BRONZEPASS_CORE_CLI_RETIRECOMMAND_H
#define BRONZEPASS_CORE_CLI_RETIRECOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Adds a selector that retires a model to the accepted intent; --undo removes
/// it.
class RetireCommand : public Command {
public:
  std::string name() const override { return "retire"; }
  std::string summary() const override {
    return "unload a model once nobody uses it";
  }
  std::string positionalName() const override { return "model"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_RETIRECOMMAND_H
