#ifndef BRONZEPASS_CORE_CLI_GATEWAYCOMMAND_H
#define BRONZEPASS_CORE_CLI_GATEWAYCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Runs a gateway node in front of the platform's endpoints until it receives
/// a stop signal.
class GatewayCommand : public Command {
public:
  std::string name() const override { return "gateway"; }
  std::string summary() const override {
    return "run one node in front of the platform's endpoints";
  }
  std::string positionalName() const override { return "settings"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GATEWAYCOMMAND_H
