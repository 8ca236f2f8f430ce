#ifndef BRONZEPASS_CORE_GATEWAY_SUSPENSIONDETECTOR_H
#define BRONZEPASS_CORE_GATEWAY_SUSPENSIONDETECTOR_H

#include "Core/Model/Time.h"

#include <optional>

namespace bronzepass::core::gateway {

/// Tells whether this process has stood still: what it receives just after that
/// may have waited in its sockets for as long.
class SuspensionDetector {
public:
  /// Call about every 20 ms.
  void onTick(model::TimePoint Now) {
    if (standsStill(Now))
      m_Until = Now + DrainTime;
    m_TickedAt = Now;
  }

  /// What was received shortly before \p Now may be old.
  bool mayLag(model::TimePoint Now) const {
    return standsStill(Now) || Now < m_Until;
  }

private:
  /// Several ticks are missed on a busy VM, too.
  static constexpr model::Duration MaxTickGap = std::chrono::milliseconds(300);
  /// By then, what waited has been received.
  static constexpr model::Duration DrainTime = std::chrono::milliseconds(500);

  bool standsStill(model::TimePoint Now) const {
    return m_TickedAt && Now - *m_TickedAt > MaxTickGap;
  }

  std::optional<model::TimePoint> m_TickedAt;
  model::TimePoint m_Until;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_SUSPENSIONDETECTOR_H
