#ifndef BRONZEPASS_CORE_PLACEMENT_ENGINEHEALTH_H
#define BRONZEPASS_CORE_PLACEMENT_ENGINEHEALTH_H

#include "Core/Model/Residency.h"
#include "Core/Placement/PlacementSettings.h"

#include <algorithm>
#include <optional>

namespace bronzepass::core::placement {

/// Tracks whether an engine is up. After each loss within m_FlapResetTime the
/// hold-down, during which the engine takes no new loads, doubles, so that a
/// flapping engine is not loaded again and again.
class EngineHealth {
public:
  void livenessChanged(model::Liveness Value, const PlacementSettings &Settings,
                       model::TimePoint Now) {
    m_Liveness = Value;
    if (Value == model::Liveness::Gone)
      markDown(Settings, Now);
  }

  void reportMissed(bool Refused, const PlacementSettings &Settings,
                    model::TimePoint Now) {
    ++m_MissedReports;
    if (Refused || m_MissedReports >= Settings.m_MaxMissedReports)
      markDown(Settings, Now);
  }

  /// A received report also overrides a VM list that still shows the engine as
  /// gone.
  void reportReceived(const PlacementSettings &Settings, model::TimePoint Now) {
    m_MissedReports = 0;
    if (m_Liveness == model::Liveness::Gone)
      m_Liveness = model::Liveness::Live;
    if (!m_HasReported || !m_DownSince) {
      m_HasReported = true;
      m_DownSince.reset();
      return;
    }
    m_DownSince.reset();
    const uint32_t Doublings = std::min<uint32_t>(m_Flaps, 10) - 1;
    const model::Duration Hold = std::min(
        Settings.m_FlapHoldDown * (1 << Doublings), Settings.m_MaxFlapHoldDown);
    m_HoldDownUntil = Now + Hold;
  }

  /// Whether copies on the engine can answer.
  bool isUp() const { return m_HasReported && !m_DownSince; }
  bool isLeaving() const { return m_Liveness == model::Liveness::Leaving; }
  /// Since when the engine is down; nullopt while it is up.
  std::optional<model::TimePoint> downSince() const { return m_DownSince; }
  /// Whether the engine came back recently and takes no new loads yet.
  bool isHeldDown(model::TimePoint Now) const { return Now < m_HoldDownUntil; }

private:
  void markDown(const PlacementSettings &Settings, model::TimePoint Now) {
    if (m_DownSince)
      return;
    if (Now > m_LastLossAt + Settings.m_FlapResetTime)
      m_Flaps = 0;
    ++m_Flaps;
    m_LastLossAt = Now;
    m_DownSince = Now;
  }

  model::Liveness m_Liveness = model::Liveness::Live;
  bool m_HasReported = false;
  uint32_t m_MissedReports = 0;
  uint32_t m_Flaps = 0;
  model::TimePoint m_LastLossAt;
  model::TimePoint m_HoldDownUntil;
  std::optional<model::TimePoint> m_DownSince;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_ENGINEHEALTH_H
