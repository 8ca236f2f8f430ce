#ifndef BRONZEPASS_CORE_CLI_GETCOMMAND_H
#define BRONZEPASS_CORE_CLI_GETCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints the accepted intent or its history.
class GetCommand : public Command {
public:
  std::string name() const override { return "get"; }
  std::string summary() const override {
    return "print the accepted configuration, ready to edit and apply";
  }
  void addOptions(
      boost::program_options::options_description &Options) const override;
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GETCOMMAND_H
