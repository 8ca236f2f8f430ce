#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr double MicrosPerMilli = 1e3;
/// Another node serves the caller at once.
constexpr model::Duration StoppingRetryAfter = std::chrono::milliseconds(50);
/// A service's long answers take about this many times the mean.
constexpr double LongAnswerFactor = 2;

} // namespace

void RelayCore::beginStop(model::TimePoint End, model::TimePoint Now,
                          RelayEffectList &Out) {
  m_Now = Now;
  m_StopEnd = End;
  for (auto &Each : m_ActiveRequests) {
    ActiveRequest &Active = Each.second;
    if (Active.m_Deadline <= End)
      continue;
    m_Deadlines.erase({Active.m_Deadline, Each.first});
    Active.m_Deadline = End;
    m_Deadlines.emplace(End, Each.first);
  }
  rejectWaitingBeyondStop(Out);
}

bool RelayCore::endsBeyondStop(const ActiveRequest &Active,
                               double MeanAnswers) const {
  if (!isBoundByStop(Active))
    return false;
  const auto Service = m_Services.find(Active.m_Service);
  const bool IsMeasured =
      Service != m_Services.end() && Service->second.m_AnswerMs > 0;
  const double AnswerMs =
      IsMeasured ? Service->second.m_AnswerMs : DefaultAnswerMs;
  return m_Now + model::Duration(static_cast<int64_t>(MeanAnswers * AnswerMs *
                                                      MicrosPerMilli)) >=
         *m_StopEnd;
}

bool RelayCore::rejectBeyondStop(ActiveRequest &Active, RelayEffectList &Out) {
  if (Active.m_ForwardingStarted || Active.m_PossibleRuns > 0 ||
      !endsBeyondStop(Active, LongAnswerFactor))
    return false;
  reject(Active, ServiceUnavailable, stoppingRetryAfter(Active),
         "this node stops before the answer could be complete", Out);
  return true;
}

void RelayCore::rejectWaitingBeyondStop(RelayEffectList &Out) {
  if (!m_StopEnd)
    return;
  std::vector<model::RequestId> Waiting;
  for (const auto &Each : m_ActiveRequests)
    if (!Each.second.m_Attempt)
      Waiting.push_back(Each.first);
  for (const model::RequestId &Number : Waiting)
    rejectBeyondStop(m_ActiveRequests.at(Number), Out);
}

std::optional<model::Duration>
RelayCore::stoppingRetryAfter(const ActiveRequest &Active) const {
  if (Active.m_Request.m_Forwarded)
    return std::nullopt;
  return jittered(StoppingRetryAfter);
}

} // namespace bronzepass::core::gateway
