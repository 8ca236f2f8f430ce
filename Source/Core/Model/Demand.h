#ifndef BRONZEPASS_CORE_MODEL_DEMAND_H
#define BRONZEPASS_CORE_MODEL_DEMAND_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>

namespace bronzepass::core::model {

/// Demand of callers for one artifact through one node in one period.
struct DemandSample {
  ArtifactId m_Artifact;
  uint32_t m_Arrivals = 0;
  /// Requests answered completely within their window.
  uint32_t m_InTime = 0;
  uint32_t m_Refused = 0;
  /// Requests waiting at the end of the period.
  uint32_t m_Waiting = 0;
  /// Engine slot time used, in seconds; measures the load on a copy.
  double m_SlotSeconds = 0;

  friend auto operator<=>(const DemandSample &, const DemandSample &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_DEMAND_H
