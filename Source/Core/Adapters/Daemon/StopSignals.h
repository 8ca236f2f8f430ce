#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H

#include "Core/Model/Time.h"

#include <atomic>
#include <csignal>

namespace bronzepass::core::adapters::daemon {

/// How a graceful stop ended.
enum class StopOutcome { Finished, SecondSignal, TimedOut };

/// Waits for SIGTERM and SIGINT synchronously, instead of by signal handlers.
class StopSignals {
public:
  /// Blocks both signals in this thread and the threads that it starts.
  static void block();

  /// Blocks until the first signal.
  void waitForStopSignal();
  /// Waits for notifyFinished() or a second signal, at most for \p Limit.
  StopOutcome waitForOutcome(model::Duration Limit);
  /// Reports that the graceful stop has finished; callable from any thread.
  void notifyFinished() { m_Finished = true; }

private:
  static sigset_t stopSignalSet();

  std::atomic<bool> m_Finished = false;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_STOPSIGNALS_H
