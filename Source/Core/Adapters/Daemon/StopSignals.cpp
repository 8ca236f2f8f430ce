#include "Core/Adapters/Daemon/StopSignals.h"

#include <chrono>
#include <pthread.h>
#include <system_error>

namespace bronzepass::core::adapters::daemon {

namespace {

/// How often waitForOutcome() checks whether the stop has finished.
constexpr long PollPeriodNanos = 20'000'000;

} // namespace

sigset_t StopSignals::stopSignalSet() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void StopSignals::block() {
  const sigset_t Signals = stopSignalSet();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void StopSignals::waitForStopSignal() {
  const sigset_t Signals = stopSignalSet();
  int Signal = 0;
  // Fails only for an invalid set; without it, no stop would be noticed.
  const int Error = sigwait(&Signals, &Signal);
  if (Error != 0)
    throw std::system_error(Error, std::generic_category(),
                            "cannot wait for signals");
}

StopOutcome StopSignals::waitForOutcome(model::Duration Limit) {
  const sigset_t Signals = stopSignalSet();
  const std::chrono::steady_clock::time_point Deadline =
      std::chrono::steady_clock::now() + Limit;
  while (!m_Finished) {
    const timespec Pause{.tv_sec = 0, .tv_nsec = PollPeriodNanos};
    if (sigtimedwait(&Signals, nullptr, &Pause) > 0)
      return StopOutcome::SecondSignal;
    if (std::chrono::steady_clock::now() >= Deadline)
      return StopOutcome::TimedOut;
  }
  return StopOutcome::Finished;
}

} // namespace bronzepass::core::adapters::daemon
