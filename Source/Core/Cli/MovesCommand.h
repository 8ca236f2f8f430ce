#ifndef BRONZEPASS_CORE_CLI_MOVESCOMMAND_H
#define BRONZEPASS_CORE_CLI_MOVESCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints the loads and unloads in progress, fetched from a node's operators'
/// address.
class MovesCommand : public Command {
public:
  std::string name() const override { return "moves"; }
  std::string summary() const override {
    return "list loads and unloads that are under way";
  }

  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_MOVESCOMMAND_H
