#ifndef BRONZEPASS_CORE_CLI_COMMAND_H
#define BRONZEPASS_CORE_CLI_COMMAND_H

#include "Core/Cli/ExitCode.h"

#include <boost/program_options.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// What a command reads its options from and writes to.
struct CommandContext {
  const boost::program_options::variables_map &m_Options;
  std::ostream &m_Out;
  std::ostream &m_Err;

  /// Whether --output json was asked for.
  bool wantsJson() const;
  /// The text given for \p Name, or empty.
  std::string text(const std::string &Name) const;
  /// All texts given for \p Name.
  std::vector<std::string> texts(const std::string &Name) const;
};

/// One subcommand.
class Command {
public:
  virtual ~Command() = default;
  virtual std::string name() const = 0;
  /// One line for the list of subcommands.
  virtual std::string summary() const = 0;
  /// Name of the argument that needs no option, or empty; it is an option too.
  virtual std::string argument() const { return {}; }
  /// How often that argument may stand; -1: as often as wanted.
  virtual int argumentCount() const { return 1; }
  virtual void
  addOptions(boost::program_options::options_description &Options) const = 0;
  virtual ExitCode run(const CommandContext &Context) const = 0;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_COMMAND_H
