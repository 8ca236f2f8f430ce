#include "Core/Routing/EndpointStats.h"

#include "Core/Routing/Seconds.h"

#include <algorithm>

namespace bronzepass::core::routing {

double batchFactor(double Load, uint32_t Slots) {
  double Filled = std::min(1.0, Load / std::max(1U, Slots));
  return 1 + FullBatchSlowdown * Filled;
}

void EndpointStats::advance(model::TimePoint Now) {
  int64_t Bucket = Now.time_since_epoch() / BucketTime;
  if (Bucket <= m_Bucket)
    return;
  int64_t First =
      std::max(m_Bucket, Bucket - static_cast<int64_t>(BucketCount));
  for (int64_t Index = First; Index < Bucket; ++Index)
    m_History[Index % BucketCount] = m_InFlight;
  m_Bucket = Bucket;
}

uint32_t EndpointStats::inFlightAt(model::TimePoint When) const {
  int64_t Bucket = When.time_since_epoch() / BucketTime;
  if (Bucket >= m_Bucket)
    return m_InFlight;
  Bucket = std::max(Bucket, m_Bucket - static_cast<int64_t>(BucketCount));
  return m_History[Bucket % BucketCount];
}

void EndpointStats::onAttemptStarted(model::TimePoint Now) {
  advance(Now);
  ++m_InFlight;
  m_LastStart = Now;
}

void EndpointStats::onAttemptEnded(model::TimePoint Now) {
  advance(Now);
  if (m_InFlight > 0)
    --m_InFlight;
}

void EndpointStats::onLoadReport(const ReportedLoad &Load,
                                 model::TimePoint MadeAt) {
  if (m_HasReport && MadeAt < m_ReportedAt)
    return;
  m_HasReport = true;
  m_ReportedAt = MadeAt;
  m_ReportedRequests = Load.m_Running + Load.m_Waiting;
  m_InFlightAtReport = inFlightAt(MadeAt);
}

double EndpointStats::load(double PeerFactor) const {
  double Own = m_InFlight;
  if (!m_HasReport)
    return Own * PeerFactor;
  double Since = Own - m_InFlightAtReport;
  return std::max(Own, m_ReportedRequests + Since * PeerFactor);
}

void EndpointStats::onTokensReceived(uint32_t Tokens, model::Duration Took,
                                     uint32_t Slots) {
  double PerToken = toSeconds(Took) / std::max(1U, Tokens);
  updateMovingAverage(m_TokenTime, PerToken / batchFactor(load(1), Slots),
                      m_Settings->m_AverageWeight);
}

void EndpointStats::onAnswerCompleted(model::Duration Took,
                                      model::TimePoint Now) {
  m_Failures = 0;
  updateMovingAverage(m_ServiceTime, toSeconds(Took),
                      m_Settings->m_AverageWeight);
  if (m_Ejections == 0 || Now < m_EjectedUntil)
    return;
  if (m_ProbationLeft > 0)
    --m_ProbationLeft;
  if (m_ProbationLeft == 0)
    m_Ejections = 0;
}

void EndpointStats::onAttemptFailed(bool Refused, model::TimePoint Now) {
  ++m_Failures;
  bool OnProbation = m_Ejections > 0;
  if (Refused || OnProbation || m_Failures >= m_Settings->m_EjectFailures)
    eject(Now);
}

void EndpointStats::eject(model::TimePoint Now) {
  // Failures of attempts that began before the ejection don't extend it.
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

bool EndpointStats::acceptsRequests(model::TimePoint Now) const {
  if (m_Ejections == 0)
    return true;
  return Now >= m_EjectedUntil && m_InFlight == 0;
}

void EndpointStats::reset() {
  m_HasReport = false;
  m_TokenTime = 0;
  m_ServiceTime = 0;
  m_Failures = 0;
  m_Ejections = 0;
  m_EjectedUntil = model::TimePoint();
}

} // namespace bronzepass::core::routing
