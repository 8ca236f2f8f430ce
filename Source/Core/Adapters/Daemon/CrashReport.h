#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_CRASHREPORT_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_CRASHREPORT_H

#include <string>
#include <string_view>

namespace bronzepass::core::adapters::daemon {

/// Writes a log line with the place of the fault when a signal such as SIGSEGV
/// is about to end the process, which then ends by that signal as before.
class CrashReport {
public:
  /// Leaves signals alone that something else handles already, such as a
  /// sanitizer. Covers the calling thread.
  static void install(const std::string &Node);
  /// Names the calling thread in the report, and lets it write one even if its
  /// stack is exhausted. \p Thread must be a literal.
  static void coverThread(const char *Thread);
  /// What the calling thread works on from now on, for example a request's id.
  static void setSubject(std::string_view Subject);
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_CRASHREPORT_H
