#include "Core/Routing/EndpointView.h"

#include "Core/Routing/Seconds.h"

#include <algorithm>

namespace bronzepass::core::routing {

double batchFactor(double Load, uint32_t Slots) {
  double Filled = std::min(1.0, Load / std::max(1U, Slots));
  return 1 + FullBatchSlowdown * Filled;
}

void EndpointView::advance(model::TimePoint Now) {
  int64_t Bucket = Now.time_since_epoch() / BucketTime;
  if (Bucket <= m_Bucket)
    return;
  int64_t First = std::max(m_Bucket, Bucket - static_cast<int64_t>(Buckets));
  for (int64_t Index = First; Index < Bucket; ++Index)
    m_History[Index % Buckets] = m_InFlight;
  m_Bucket = Bucket;
}

uint32_t EndpointView::inFlightAt(model::TimePoint When) const {
  int64_t Bucket = When.time_since_epoch() / BucketTime;
  if (Bucket >= m_Bucket)
    return m_InFlight;
  Bucket = std::max(Bucket, m_Bucket - static_cast<int64_t>(Buckets));
  return m_History[Bucket % Buckets];
}

void EndpointView::started(model::TimePoint Now) {
  advance(Now);
  ++m_InFlight;
  m_LastStart = Now;
}

void EndpointView::finished(model::TimePoint Now) {
  advance(Now);
  if (m_InFlight > 0)
    --m_InFlight;
}

void EndpointView::reported(const LoadHint &Load, model::TimePoint MadeAt) {
  if (m_HasReport && MadeAt < m_ReportedAt)
    return;
  m_HasReport = true;
  m_ReportedAt = MadeAt;
  m_Reported = Load.m_Running + Load.m_Waiting;
  m_OwnAtReport = inFlightAt(MadeAt);
}

double EndpointView::load(double Mirror) const {
  double Own = m_InFlight;
  if (!m_HasReport)
    return Own * Mirror;
  double Since = Own - m_OwnAtReport;
  return std::max(Own, m_Reported + Since * Mirror);
}

void EndpointView::grew(uint32_t Tokens, model::Duration Took, uint32_t Slots) {
  double PerToken = toSeconds(Took) / std::max(1U, Tokens);
  mixInto(m_TokenTime, PerToken / batchFactor(load(1), Slots),
          m_Settings->m_AverageWeight);
}

void EndpointView::answered(model::Duration Took, model::TimePoint Now) {
  m_Failures = 0;
  mixInto(m_ServiceTime, toSeconds(Took), m_Settings->m_AverageWeight);
  if (m_Ejections == 0 || Now < m_EjectedUntil)
    return;
  if (m_ProbationLeft > 0)
    --m_ProbationLeft;
  if (m_ProbationLeft == 0)
    m_Ejections = 0;
}

void EndpointView::failed(bool Refused, model::TimePoint Now) {
  ++m_Failures;
  bool OnProbation = m_Ejections > 0;
  if (Refused || OnProbation || m_Failures >= m_Settings->m_EjectFailures)
    eject(Now);
}

void EndpointView::eject(model::TimePoint Now) {
  // Failures of attempts that began before the ejection add nothing new.
  if (Now < m_EjectedUntil)
    return;
  constexpr uint32_t MaxDoublings = 10;
  model::Duration Span =
      m_Settings->m_EjectTime * (1U << std::min(m_Ejections, MaxDoublings));
  m_EjectedUntil = Now + std::min(Span, m_Settings->m_EjectTimeMax);
  ++m_Ejections;
  m_ProbationLeft = m_Settings->m_ProbationAnswers;
  m_Failures = 0;
}

bool EndpointView::accepts(model::TimePoint Now) const {
  if (m_Ejections == 0)
    return true;
  return Now >= m_EjectedUntil && m_InFlight == 0;
}

void EndpointView::reset() {
  m_HasReport = false;
  m_TokenTime = 0;
  m_ServiceTime = 0;
  m_Failures = 0;
  m_Ejections = 0;
  m_EjectedUntil = model::TimePoint();
}

} // namespace bronzepass::core::routing
