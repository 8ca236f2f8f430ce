#ifndef BRONZEPASS_UNITTESTS_CROWD_ENDLESSCALLERS_H
#define BRONZEPASS_UNITTESTS_CROWD_ENDLESSCALLERS_H

#include "UnitTests/Crowd/EndlessAnswer.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::crowd {

/// What the callers of faulty endpoints got.
struct EndlessOutcome {
  /// Requests by status; of 200, those that were cut. 0: closed without one.
  std::map<int, size_t> m_Ends;
  /// Received as complete although the answer has no end.
  size_t m_Complete = 0;
  std::chrono::milliseconds m_Longest{0};
};

/// Sends \p Count requests at once, each on a connection of its own, and waits
/// for what becomes of them.
EndlessOutcome callFaulty(uint16_t Port, const EndlessAnswer &Answer,
                          size_t Count, std::chrono::milliseconds Deadline);

/// Callers of sound endpoints, which go on until they are stopped.
class SoundCallers {
public:
  explicit SoundCallers(uint16_t Port);
  ~SoundCallers() { stop(); }
  SoundCallers(const SoundCallers &) = delete;
  SoundCallers &operator=(const SoundCallers &) = delete;

  void stop();
  size_t sent() const { return m_Sent; }
  size_t answered() const { return m_Answered; }
  std::chrono::milliseconds longest() const {
    return std::chrono::milliseconds(m_LongestMs);
  }

private:
  void call(uint16_t Port, size_t Caller);

  std::atomic<bool> m_Stopping = false;
  std::atomic<size_t> m_Sent = 0;
  std::atomic<size_t> m_Answered = 0;
  std::atomic<int64_t> m_LongestMs = 0;
  std::list<std::thread> m_Threads;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_ENDLESSCALLERS_H
