#ifndef BRONZEPASS_CORE_CLI_STATUSCOMMAND_H
#define BRONZEPASS_CORE_CLI_STATUSCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints a node's view of nodes, endpoints and models, fetched from its
/// operators' address.
class StatusCommand : public Command {
public:
  std::string name() const override { return "status"; }
  std::string summary() const override {
    return "say what a node knows of nodes, leases and what waits";
  }

  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_STATUSCOMMAND_H
