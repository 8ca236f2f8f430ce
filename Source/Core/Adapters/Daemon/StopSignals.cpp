#include "Core/Adapters/Daemon/StopSignals.h"

#include <chrono>
#include <pthread.h>

namespace bronzepass::core::adapters::daemon {

namespace {

/// How often a stop that has finished is noticed.
constexpr long LookPeriodNanos = 20'000'000;

} // namespace

sigset_t StopSignals::set() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void StopSignals::block() {
  const sigset_t Signals = set();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void StopSignals::waitForStop() {
  const sigset_t Signals = set();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

StopEnd StopSignals::waitForEnd(model::Duration Limit) {
  const sigset_t Signals = set();
  const std::chrono::steady_clock::time_point GiveUpAt =
      std::chrono::steady_clock::now() + Limit;
  while (!m_Finished) {
    const timespec Pause{.tv_sec = 0, .tv_nsec = LookPeriodNanos};
    if (sigtimedwait(&Signals, nullptr, &Pause) > 0)
      return StopEnd::SecondSignal;
    if (std::chrono::steady_clock::now() >= GiveUpAt)
      return StopEnd::TimeUp;
  }
  return StopEnd::Finished;
}

} // namespace bronzepass::core::adapters::daemon
