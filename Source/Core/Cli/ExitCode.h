#ifndef BRONZEPASS_CORE_CLI_EXITCODE_H
#define BRONZEPASS_CORE_CLI_EXITCODE_H

namespace bronzepass::core::cli {

/// Exit codes of the program; docs/OPERATORS.md lists them for scripts.
enum class ExitCode {
  Ok = 0,
  /// The command failed: a file could not be read, or an address did not answer
  /// or answered with an error.
  Failed = 1,
  /// The command line is invalid; nothing was done.
  Usage = 2,
  /// A file has findings; nothing was done.
  Findings = 3,
  /// Another change was accepted first; nothing was done.
  Conflict = 4,
  /// The named object does not exist.
  NotFound = 5,
  /// The change is accepted, but was not in force on all nodes within the time
  /// limit.
  NotInForce = 6,
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_EXITCODE_H
