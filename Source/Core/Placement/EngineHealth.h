#ifndef BRONZEPASS_CORE_PLACEMENT_ENGINEHEALTH_H
#define BRONZEPASS_CORE_PLACEMENT_ENGINEHEALTH_H

#include "Core/Model/Residency.h"
#include "Core/Placement/PlacementSettings.h"

#include <algorithm>
#include <optional>

namespace bronzepass::core::placement {

/// Whether an engine can be counted on, with hysteresis against flapping: each
/// loss doubles the time for which it then takes no new load.
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

  /// A fresh report also outweighs a list that still calls the engine gone.
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

  /// Copies on it can answer.
  bool isUp() const { return m_HasReported && !m_DownSince; }
  bool isLeaving() const { return m_Liveness == model::Liveness::Leaving; }
  /// Since when it is down; nothing while it is up.
  std::optional<model::TimePoint> downSince() const { return m_DownSince; }
  /// It came back lately and takes no new load yet.
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
