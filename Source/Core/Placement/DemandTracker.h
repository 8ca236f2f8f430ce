#ifndef BRONZEPASS_CORE_PLACEMENT_DEMANDTRACKER_H
#define BRONZEPASS_CORE_PLACEMENT_DEMANDTRACKER_H

#include "Core/Model/Demand.h"

#include <map>

namespace bronzepass::core::placement {

/// Averages of demand for one artifact, per second.
struct DemandRate {
  double m_Arrivals = 0;
  /// Arrivals that were not answered in time.
  double m_Unserved = 0;
  /// Engine slots in use.
  double m_Slots = 0;
  /// Requests waiting, as last told.
  double m_Waiting = 0;
  model::TimePoint m_LastArrivalAt;
  model::TimePoint m_UpdatedAt;
};

/// Exponential averages of what callers ask of artifacts and groups.
class DemandTracker {
public:
  explicit DemandTracker(model::Duration AveragingTime)
      : m_AveragingTime(AveragingTime) {}

  /// Counts \p Sample for its artifact and, where that is an adapter, for its
  /// group's base too.
  void add(const model::DemandSample &Sample, model::TimePoint Now);
  /// The averages as of \p Now.
  DemandRate rate(const model::ArtifactId &Artifact,
                  model::TimePoint Now) const;
  /// Forgets artifacts without demand.
  void forget(model::TimePoint Now);

private:
  void addTo(DemandRate &Rate, const model::DemandSample &Sample,
             model::TimePoint Now) const;
  void decay(DemandRate &Rate, model::TimePoint Now) const;

  model::Duration m_AveragingTime;
  std::map<model::ArtifactId, DemandRate> m_Rates;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_DEMANDTRACKER_H
