#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMPORTS_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMPORTS_H

#include "Core/Ports/Ports.h"

#include <chrono>
#include <random>

namespace bronzepass::core::adapters::daemon {

/// System time at construction, advanced by the steady clock, so that changes
/// of the system time never make it jump.
class SystemClock : public ports::Clock {
public:
  SystemClock()
      : m_Epoch(std::chrono::duration_cast<model::Duration>(
            std::chrono::system_clock::now().time_since_epoch())),
        m_Start(std::chrono::steady_clock::now()) {}

  model::TimePoint now() const override {
    return model::TimePoint(m_Epoch +
                            std::chrono::duration_cast<model::Duration>(
                                std::chrono::steady_clock::now() - m_Start));
  }

private:
  const model::Duration m_Epoch;
  const std::chrono::steady_clock::time_point m_Start;
};

/// A generator seeded from std::random_device. Not thread-safe.
class SystemRandom : public ports::Random {
public:
  SystemRandom() : m_Engine(std::random_device()()) {}

  uint64_t next() override { return m_Engine(); }

private:
  std::mt19937_64 m_Engine;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMPORTS_H
