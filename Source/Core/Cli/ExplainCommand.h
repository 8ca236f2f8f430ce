#ifndef BRONZEPASS_CORE_CLI_EXPLAINCOMMAND_H
#define BRONZEPASS_CORE_CLI_EXPLAINCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints a node's placement or routing decisions, fetched from its operators'
/// address, or the timeline of a request from the logs of gateway nodes.
class ExplainCommand : public Command {
public:
  std::string name() const override { return "explain"; }
  std::string summary() const override {
    return "say why a model is where it is, or why a request went where it did";
  }
  std::string positionalName() const override { return "subject"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_EXPLAINCOMMAND_H
