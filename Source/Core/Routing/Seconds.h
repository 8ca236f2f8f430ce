#ifndef BRONZEPASS_CORE_ROUTING_SECONDS_H
#define BRONZEPASS_CORE_ROUTING_SECONDS_H

#include "Core/Model/Time.h"

namespace bronzepass::core::routing {

inline double toSeconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

inline model::Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<model::Duration>(
      std::chrono::duration<double>(Value));
}

/// Updates an exponential moving average with \p Newest; the first value sets
/// it.
inline void updateMovingAverage(double &Average, double Newest, double Weight) {
  Average = Average == 0 ? Newest : Average + Weight * (Newest - Average);
}

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_SECONDS_H
