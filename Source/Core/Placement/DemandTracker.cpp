#include "Core/Placement/DemandTracker.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::placement {

namespace {
constexpr double MinArrivalRate = 1e-6;
/// Averaging periods after which an artifact's demand is removed.
constexpr int ForgetAfterPeriods = 40;
} // namespace

void DemandTracker::decay(DemandRate &Rate, model::TimePoint Now) const {
  if (Now <= Rate.m_UpdatedAt)
    return;
  const double Periods =
      std::chrono::duration<double>(Now - Rate.m_UpdatedAt).count() /
      std::chrono::duration<double>(m_AveragingTime).count();
  const double Left = std::exp(-Periods);
  Rate.m_Arrivals *= Left;
  Rate.m_Unserved *= Left;
  Rate.m_Slots *= Left;
  Rate.m_Waiting *= Left;
  Rate.m_UpdatedAt = Now;
}

void DemandTracker::addTo(DemandRate &Rate, const model::DemandSample &Sample,
                          model::TimePoint Now) const {
  decay(Rate, Now);
  const double PeriodSeconds =
      std::chrono::duration<double>(m_AveragingTime).count();
  const double Unserved =
      std::max(0.0, double(Sample.m_Arrivals) - double(Sample.m_InTime));
  Rate.m_Arrivals += Sample.m_Arrivals / PeriodSeconds;
  Rate.m_Unserved += Unserved / PeriodSeconds;
  Rate.m_Slots += Sample.m_SlotSeconds / PeriodSeconds;
  Rate.m_Waiting = std::max(Rate.m_Waiting, double(Sample.m_Waiting));
  if (Sample.m_Arrivals > 0 || Sample.m_Waiting > 0)
    Rate.m_LastArrivalAt = Now;
}

void DemandTracker::add(const model::DemandSample &Sample,
                        model::TimePoint Now) {
  addTo(m_Rates[Sample.m_Artifact], Sample, Now);
  if (Sample.m_Artifact.isAdapter())
    addTo(m_Rates[Sample.m_Artifact.base()], Sample, Now);
}

DemandRate DemandTracker::rate(const model::ArtifactId &Artifact,
                               model::TimePoint Now) const {
  auto Found = m_Rates.find(Artifact);
  if (Found == m_Rates.end())
    return {};
  DemandRate Rate = Found->second;
  decay(Rate, Now);
  return Rate;
}

void DemandTracker::forget(model::TimePoint Now) {
  for (auto It = m_Rates.begin(); It != m_Rates.end();) {
    const bool Idle =
        Now > It->second.m_UpdatedAt + ForgetAfterPeriods * m_AveragingTime ||
        It->second.m_Arrivals < MinArrivalRate;
    It = Idle ? m_Rates.erase(It) : std::next(It);
  }
}

} // namespace bronzepass::core::placement
