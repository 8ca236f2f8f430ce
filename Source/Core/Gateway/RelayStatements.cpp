#include "Core/Gateway/RelayCore.h"

#include <algorithm>

namespace bronzepass::core::gateway {

namespace {

constexpr model::Duration MaxPauseSpread = std::chrono::milliseconds(500);

} // namespace

EndpointView *RelayCore::endpointOf(model::AttemptId Attempt) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return nullptr;
  const ActiveRequest &Active = m_ActiveRequests.at(Found->second);
  return findEndpoint(Active.m_ForwardedTo ? Active.m_ForwardedTo->m_Endpoint
                                           : Active.m_Endpoint);
}

void RelayCore::onEndpointPaused(model::AttemptId Attempt,
                                 model::Duration Pause, model::TimePoint Now,
                                 RelayEffectList &Out) {
  m_Now = Now;
  EndpointView *const Endpoint = endpointOf(Attempt);
  if (!Endpoint || Pause <= model::Duration::zero())
    return;
  // Nodes that were paused together do not come back together.
  const model::Duration Spread = std::min(Pause, MaxPauseSpread);
  const model::Duration Added(static_cast<int64_t>(
      m_Random.next() % (static_cast<uint64_t>(Spread.count()) + 1)));
  const bool IsNews = Endpoint->m_PausedUntil <= Now;
  Endpoint->m_PausedUntil =
      std::max(Endpoint->m_PausedUntil, Now + Pause + Added);
  beginPace(*Endpoint, PaceCause::Pause, Endpoint->m_PausedUntil);
  if (IsNews)
    Out.push_back(
        PauseBegun{Endpoint->m_Entry.m_Id, Endpoint->m_PausedUntil - Now});
}

void RelayCore::onAnswerHead(model::AttemptId Attempt,
                             const EndpointStatement &Statement,
                             model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  EndpointView *const Endpoint = endpointOf(Attempt);
  if (!Endpoint)
    return;
  const bool IsNews = Statement != EndpointStatement() ||
                      Endpoint->m_Statement != EndpointStatement();
  if (!IsNews)
    return;
  Endpoint->m_OwnStatement = Statement;
  Endpoint->m_OwnStatedAt = Now;
  applyStatement(*Endpoint, Statement, Now, Out);
}

void RelayCore::applyStatement(EndpointView &Endpoint,
                               const EndpointStatement &Statement,
                               model::TimePoint At, RelayEffectList &Out) {
  // Answers overtake each other: an endpoint that leaves does not come back
  // under this start.
  Endpoint.m_HasSaidLeaving |= Statement.m_IsLeaving;
  if (At < Endpoint.m_StatedAt)
    return;
  Endpoint.m_StatedAt = At;
  if (Statement.m_RejectsPerSecond) {
    ServiceState &Service = m_Services[Endpoint.m_Entry.m_Service];
    Service.m_RejectsPerSecond = *Statement.m_RejectsPerSecond;
    Service.m_BrittleAt = At;
  }
  if (Endpoint.m_Statement == Statement)
    return;
  Endpoint.m_Statement = Statement;
  updateRateShare(Endpoint);
  Out.push_back(StatementChange{Endpoint.m_Entry.m_Id, Statement});
}

} // namespace bronzepass::core::gateway
