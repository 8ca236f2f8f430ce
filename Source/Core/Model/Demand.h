#ifndef BRONZEPASS_CORE_MODEL_DEMAND_H
#define BRONZEPASS_CORE_MODEL_DEMAND_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>

namespace bronzepass::core::model {

/// What callers asked of one artifact through one node in one period.
struct DemandSample {
  ArtifactId m_Artifact;
  uint32_t m_Arrivals = 0;
  /// Answered whole within the window.
  uint32_t m_InTime = 0;
  uint32_t m_Refused = 0;
  /// Waiting at the period's end.
  uint32_t m_Waiting = 0;
  /// Seconds of engine slots used, the measure of load on a copy.
  double m_SlotSeconds = 0;

  friend auto operator<=>(const DemandSample &, const DemandSample &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_DEMAND_H
