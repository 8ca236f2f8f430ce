#ifndef BRONZEPASS_CORE_CLI_APPLYCOMMAND_H
#define BRONZEPASS_CORE_CLI_APPLYCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Checks an intent file and writes it as the next accepted generation.
class ApplyCommand : public Command {
public:
  std::string name() const override { return "apply"; }
  std::string summary() const override {
    return "make an intent file the accepted configuration";
  }
  std::string positionalName() const override { return "file"; }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_APPLYCOMMAND_H
