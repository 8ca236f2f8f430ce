#ifndef BRONZEPASS_CORE_CLI_EXITCODE_H
#define BRONZEPASS_CORE_CLI_EXITCODE_H

namespace bronzepass::core::cli {

/// Exit codes of the program; docs/OPERATORS.md lists them for scripts.
enum class ExitCode {
  Ok = 0,
  /// The work failed: an address did not answer, or answered with an error.
  Failed = 1,
  /// The command line was wrong; nothing was done.
  Usage = 2,
  /// A file has findings; nothing was done.
  Findings = 3,
  /// Somebody else's change came first; nothing was done.
  Conflict = 4,
  /// What was named is not there.
  NotFound = 5,
  /// The change is accepted, but not in force everywhere within the time given.
  NotInForce = 6,
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_EXITCODE_H
