#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_BOOTCLOCK_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_BOOTCLOCK_H

#include "Core/Ports/Ports.h"

#include <ctime>

namespace bronzepass::core::adapters::gateway {

/// Time since boot, including time in which the machine was suspended, so that
/// a lease that expired during suspension counts as expired. Wall-clock time is
/// not used because it may jump.
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
