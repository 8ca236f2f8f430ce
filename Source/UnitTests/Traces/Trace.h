#ifndef BRONZEPASS_UNITTESTS_TRACES_TRACE_H
#define BRONZEPASS_UNITTESTS_TRACES_TRACE_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::traces {

/// One request of a recorded trace, which is one line of its CSV file. The
/// columns have the order of the fields.
struct TraceLine {
  /// Arrival time since the start of the trace.
  uint32_t m_AtMs = 0;
  uint32_t m_Caller = 0;
  /// Index in the intent; -1 for a call to the plain service that must not be
  /// repeated.
  int32_t m_Model = 0;
  /// Index in the intent; -1 for the base model.
  int32_t m_Adapter = -1;
  bool m_Batch = false;
  uint32_t m_PromptTokens = 0;
  /// Requests of one conversation share a prompt prefix.
  uint32_t m_Conversation = 0;
  uint32_t m_MaxTokens = 0;
  /// Number of tokens that the engine generates.
  uint32_t m_Tokens = 0;
  uint32_t m_WindowMs = 0;
};

/// Throws std::runtime_error if the file can't be read or a field is
/// malformed.
std::vector<TraceLine> readTrace(const std::string &Path);
void writeTrace(const std::vector<TraceLine> &Lines, std::ostream &To);

} // namespace bronzepass::unit_tests::traces

#endif // BRONZEPASS_UNITTESTS_TRACES_TRACE_H
