#include "Core/Gateway/RelayCore.h"

#include <algorithm>

namespace bronzepass::core::gateway {

namespace {

/// Longer than a plain service's answer and the steps of a full batch, shorter
/// than what callers of a stream wait for.
constexpr model::Duration SilenceTime = std::chrono::milliseconds(600);
constexpr model::Duration SilenceNotePeriod = std::chrono::milliseconds(100);

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
