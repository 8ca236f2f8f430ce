#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

/// Longer than a plain service's answer and the steps of a full batch, shorter
/// than what callers of a stream wait for.
constexpr model::Duration SilenceTime = std::chrono::milliseconds(600);
constexpr model::Duration SilenceNotePeriod = std::chrono::milliseconds(100);
/// Mean answers of the service, without a sign of an endpoint, after which it
/// probably has not read the request.
constexpr double StandstillFactor = 4;
constexpr model::Duration MinStandstill = std::chrono::milliseconds(200);
/// A request that is taken back later may have been begun long after its caller
/// left.
constexpr model::Duration MaxStandstill = std::chrono::milliseconds(400);
/// Mean answers that have to fit into MaxStandstill: with fewer, silence tells
/// nothing in time.
constexpr double MinStandstillFactor = 2;
constexpr double MicrosPerMilli = 1e3;

} // namespace

void RelayCore::updateLinks(const ActiveRequest &Active,
                            const EndpointView &Endpoint,
                            const SendOutcome &Outcome) {
  const std::string &Service = Endpoint.m_Entry.m_Service;
  if (Outcome.m_Result == SendResult::NotSent)
    m_Links.onConnectFailed(Service, Endpoint.m_Entry.m_Id, m_Now);
  else if (Outcome.m_Result != SendResult::Broken || Outcome.m_AnswerEnd)
    m_Links.onHeard(Service, false);
  else if (!Active.m_AnswerStarted)
    m_Links.onSilence(Service, Endpoint.m_Entry.m_Id, m_Now);
}

void RelayCore::onHeardFrom(EndpointView &Endpoint) {
  Endpoint.m_HeardAt = m_Now;
  Endpoint.m_UnansweredSince.reset();
  m_Links.onHeard(Endpoint.m_Entry.m_Service, false);
}

void RelayCore::onNewConnectionAnswered(model::AttemptId Attempt) {
  if (const EndpointView *const Endpoint = endpointOf(Attempt))
    m_Links.onHeard(Endpoint->m_Entry.m_Service, true);
}

void RelayCore::takeBackFromSilent(RelayEffectList &Out) {
  // A copy, because a request that ends is removed from the set.
  const std::vector<model::RequestId> Left(m_LeftToFinish.begin(),
                                           m_LeftToFinish.end());
  for (const model::RequestId &Number : Left) {
    ActiveRequest &Active = m_ActiveRequests.at(Number);
    const EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint);
    if (!Endpoint || Active.m_AnswerStarted)
      continue;
    const double Measured = m_Services[Active.m_Service].m_AnswerMs;
    const double AnswerMs = Measured > 0 ? Measured : DefaultAnswerMs;
    const auto Answers = [AnswerMs](double Count) {
      return model::Duration(
          static_cast<int64_t>(Count * AnswerMs * MicrosPerMilli));
    };
    const model::Duration Least =
        std::clamp(Answers(StandstillFactor), MinStandstill, MaxStandstill);
    const model::Duration Silence =
        m_Now - std::max(Active.m_SentAt, Endpoint->m_HeardAt);
    if (Answers(MinStandstillFactor) > MaxStandstill || Silence < Least)
      continue;
    cancelSend(Active, Out);
    log(Active, "end", 0, "taken back from an endpoint that stands still", Out);
    removeRequest(Active);
  }
}

void RelayCore::noteSilentEndpoints() {
  if (m_Now - m_SilenceNotedAt < SilenceNotePeriod)
    return;
  m_SilenceNotedAt = m_Now;
  for (const auto &Each : m_Attempts) {
    const ActiveRequest &Active = m_ActiveRequests.at(Each.second);
    const EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint);
    if (Endpoint &&
        m_Now - std::max(Active.m_SentAt, Endpoint->m_HeardAt) > SilenceTime)
      m_Links.onSilence(Endpoint->m_Entry.m_Service, Endpoint->m_Entry.m_Id,
                        m_Now);
  }
}

} // namespace bronzepass::core::gateway
