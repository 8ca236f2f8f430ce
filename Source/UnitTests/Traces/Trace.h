#ifndef BRONZEPASS_UNITTESTS_TRACES_TRACE_H
#define BRONZEPASS_UNITTESTS_TRACES_TRACE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::traces {

/// One request of a recorded trace; one line of its CSV file, fields in this
/// order.
struct TraceLine {
  /// Since the trace began, milliseconds.
  uint32_t m_AtMs = 0;
  uint32_t m_Caller = 0;
  /// Position in the intent; -1 for a call of the plain service that must not
  /// be repeated.
  int32_t m_Model = 0;
  /// -1 for the bare model.
  int32_t m_Adapter = -1;
  bool m_Batch = false;
  uint32_t m_PromptTokens = 0;
  /// Requests of one conversation share their prompt's beginning.
  uint32_t m_Conversation = 0;
  uint32_t m_MaxTokens = 0;
  /// Tokens that the engine will make.
  uint32_t m_Tokens = 0;
  uint32_t m_WindowMs = 0;
};

/// Throws std::runtime_error where the file can't be read or a field is bad.
std::vector<TraceLine> readTrace(const std::string &Path);
void writeTrace(const std::vector<TraceLine> &Lines, std::ostream &To);

} // namespace bronzepass::unit_tests::traces

#endif // BRONZEPASS_UNITTESTS_TRACES_TRACE_H
