#ifndef BRONZEPASS_CORE_CLI_SERVECOMMAND_H
#define BRONZEPASS_CORE_CLI_SERVECOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Runs a node until it receives a stop signal.
class ServeCommand : public Command {
public:
  std::string name() const override { return "serve"; }
  std::string summary() const override {
    return "run one node between callers and endpoints";
  }
  std::string positionalName() const override { return "settings"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_SERVECOMMAND_H
