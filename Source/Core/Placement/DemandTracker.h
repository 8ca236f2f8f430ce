#ifndef BRONZEPASS_CORE_PLACEMENT_DEMANDTRACKER_H
#define BRONZEPASS_CORE_PLACEMENT_DEMANDTRACKER_H

#include "Core/Model/Demand.h"

#include <map>

namespace bronzepass::core::placement {

/// Averages of the demand for one artifact, per second.
struct DemandRate {
  double m_Arrivals = 0;
  /// Arrivals that were not answered in time.
  double m_Unserved = 0;
  /// Engine slots in use.
  double m_Slots = 0;
  /// Waiting requests: the largest recent sample, decayed since.
  double m_Waiting = 0;
  model::TimePoint m_LastArrivalAt;
  model::TimePoint m_UpdatedAt;
};

/// Exponential averages of the demand for artifacts and groups.
class DemandTracker {
public:
  explicit DemandTracker(model::Duration AveragingTime)
      : m_AveragingTime(AveragingTime) {}

  /// Counts \p Sample for its artifact and, if that is an adapter, also for the
  /// base of its group.
  void add(const model::DemandSample &Sample, model::TimePoint Now);
  /// The averages as of \p Now.
  DemandRate rate(const model::ArtifactId &Artifact,
                  model::TimePoint Now) const;
  /// Removes artifacts without demand.
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
