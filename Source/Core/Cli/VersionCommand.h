#ifndef BRONZEPASS_CORE_CLI_VERSIONCOMMAND_H
#define BRONZEPASS_CORE_CLI_VERSIONCOMMAND_H

#include "Core/Cli/Command.h"

namespace bronzepass::core::cli {

/// Prints the program's version and the versions of its protocols.
class VersionCommand : public Command {
public:
  std::string name() const override { return "version"; }
  std::string summary() const override {
    return "print this program's and its protocols' versions";
  }
  void
  addOptions(boost::program_options::options_description &) const override {}
  ExitCode run(const CommandContext &Context) const override;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_VERSIONCOMMAND_H
