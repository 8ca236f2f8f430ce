#ifndef BRONZEPASS_CORE_CLI_COMMAND_H
#define BRONZEPASS_CORE_CLI_COMMAND_H

#include "Core/Cli/ExitCode.h"

#include <boost/program_options.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// Parsed options and output streams of one invocation.
struct CommandContext {
  const boost::program_options::variables_map &m_Options;
  std::ostream &m_Out;
  std::ostream &m_Err;

  /// Whether --output json is set.
  bool wantsJson() const;
  /// The value of option \p Name; empty if it is not set.
  std::string optionValue(const std::string &Name) const;
  /// All values of option \p Name, which may be repeated.
  std::vector<std::string> optionValues(const std::string &Name) const;
};

/// A subcommand of the program.
class Command {
public:
  virtual ~Command() = default;
  virtual std::string name() const = 0;
  /// One line for the list of subcommands.
  virtual std::string summary() const = 0;
  /// The option that positional arguments set; empty if none are accepted.
  virtual std::string positionalName() const { return {}; }
  /// Maximum number of positional arguments; -1 means no limit.
  virtual int maxPositionalCount() const { return 1; }
  virtual void
  addOptions(boost::program_options::options_description &Options) const = 0;
  virtual ExitCode run(const CommandContext &Context) const = 0;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_COMMAND_H
