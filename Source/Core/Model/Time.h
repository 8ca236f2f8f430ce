#ifndef BRONZEPASS_CORE_MODEL_TIME_H
#define BRONZEPASS_CORE_MODEL_TIME_H

#include <chrono>

namespace bronzepass::core::model {

/// Resolution of all times and durations in the core.
using Duration = std::chrono::microseconds;

/// Clock type of the core's time points. The core never reads a clock itself:
/// each event carries the time at which it arrived. A node sets the time to
/// Unix time once at start and then advances it by a steady clock, so that it
/// never jumps.
struct NodeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock, duration>;
  static constexpr bool is_steady = true; // NOLINT: the standard names it.
};

/// Microseconds since the Unix epoch, never running backwards on one node.
/// Between nodes it agrees only within the platform's clock skew.
using TimePoint = NodeClock::time_point;

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_TIME_H
