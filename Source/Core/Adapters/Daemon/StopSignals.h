#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H

#include "Core/Model/Time.h"

#include <atomic>
#include <csignal>

namespace bronzepass::core::adapters::daemon {

/// How a graceful stop ended.
enum class StopEnd { Finished, SecondSignal, TimeUp };

/// SIGTERM and SIGINT as something to wait for, instead of a handler.
class StopSignals {
public:
  /// Blocks both for this thread and those that it starts.
  static void block();

  /// Returns on the first signal.
  void waitForStop();
  /// Waits until stopFinished(), a second signal, or \p Limit is up.
  StopEnd waitForEnd(model::Duration Limit);
  /// From any thread.
  void stopFinished() { m_Finished = true; }

private:
  static sigset_t set();

  std::atomic<bool> m_Finished = false;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H
