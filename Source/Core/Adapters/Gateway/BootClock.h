#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_BOOTCLOCK_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_BOOTCLOCK_H

#include "Core/Ports/Ports.h"

#include <ctime>

namespace bronzepass::core::adapters::gateway {

/// Time since the machine's start, that in which it was suspended included: a
/// lease that ran out meanwhile is seen to have run out. Never the time of
/// day, which may jump.
class BootClock : public ports::Clock {
public:
  model::TimePoint now() const override {
    constexpr int64_t NanosPerMicro = 1000;
    timespec Time{};
    ::clock_gettime(CLOCK_BOOTTIME, &Time);
    return model::TimePoint(std::chrono::seconds(Time.tv_sec) +
                            model::Duration(Time.tv_nsec / NanosPerMicro));
  }
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_BOOTCLOCK_H
