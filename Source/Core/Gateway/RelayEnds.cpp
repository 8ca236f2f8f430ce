#include "Core/Gateway/RelayCore.h"

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
constexpr model::Duration ExpiredRetryAfter = std::chrono::milliseconds(500);

} // namespace

void RelayCore::onCallerDisconnected(model::RequestId Request,
                                     model::TimePoint Now,
                                     RelayEffectList &Out) {
  m_Now = Now;
  leave(Request, "gone", "the caller disconnected", Out);
}

void RelayCore::onConnectionClosed(model::RequestId Request,
                                   const std::string &Reason,
                                   model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  leave(Request, "cut", Reason, Out);
}

void RelayCore::leave(model::RequestId Request, const char *Action,
                      const std::string &Reason, RelayEffectList &Out) {
  const auto Found = m_ActiveRequests.find(Request);
  if (Found == m_ActiveRequests.end())
    return;
  ActiveRequest &Active = Found->second;
  log(Active, Action, 0, Reason, Out);
  // A request that must run at most once is left to finish where an endpoint
  // has it: if it were cancelled, its outcome would be unknown. Another node
  // decides that for itself.
  const bool MayHaveBegun = Active.m_Attempt && !Active.m_ForwardedTo &&
                            Active.m_Route && !Active.m_Route->m_Repeatable &&
                            !Active.m_Route->m_Stream;
  if (MayHaveBegun) {
    Active.m_CallerDisconnected = true;
    m_LeftToFinish.insert(Request);
    Out.push_back(WithdrawSend{Active.m_Attempt});
    return;
  }
  if (Active.m_Attempt)
    cancelSend(Active, Out);
  removeRequest(Active);
}

const char *RelayCore::stageOf(const ActiveRequest &Active) {
  if (Active.m_Attempt && Active.m_AnswerStarted)
    return "answering";
  if (Active.m_Attempt)
    return Active.m_ForwardedTo ? "forwarded" : "sent";
  if (Active.m_IsHeld)
    return "held";
  if (Active.m_QuotaWaitEnd)
    return "quota";
  if (Active.m_WaitsUntil)
    return "adapter";
  return Active.m_UnconfirmedSince ? "confirmation" : "received";
}

void RelayCore::onSendWithdrawn(model::AttemptId Attempt, bool MayHaveRun,
                                model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  ActiveRequest &Active = m_ActiveRequests.at(Found->second);
  const EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint);
  if (MayHaveRun && Endpoint)
    m_Quarantine.onSendCancelled(Active.m_Traits, Endpoint->m_Key,
                                 Active.m_SentAt, m_Now);
  if (!MayHaveRun)
    giveQuotaBack(Active, {.m_Result = SendResult::NotSent});
  const char *const Reason = MayHaveRun
                                 ? "taken back before all of it was received"
                                 : "taken back before it was sent";
  // Else the line that tells of the caller was written when it left.
  log(Active, Active.m_CallerDisconnected ? "end" : "gone", 0, Reason, Out);
  removeRequest(Active);
}

void RelayCore::onProcessEnd(model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  // The loop may have been busy since the end of the stop.
  expireDue(Out);
  for (auto &Each : m_ActiveRequests)
    log(Each.second, Each.second.m_CallerDisconnected ? "end" : "cut", 0,
        "the process ends", Out);
}

void RelayCore::cancelSend(ActiveRequest &Active, RelayEffectList &Out) {
  if (const EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint))
    m_Quarantine.onSendCancelled(Active.m_Traits, Endpoint->m_Key,
                                 Active.m_SentAt, m_Now);
  Out.push_back(CancelSend{Active.m_Attempt});
}

void RelayCore::expireDue(RelayEffectList &Out) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= m_Now)
    expire(m_ActiveRequests.at(m_Deadlines.begin()->second), Out);
}

void RelayCore::expire(ActiveRequest &Active, RelayEffectList &Out) {
  if (Active.m_Attempt) {
    if (EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint)) {
      const SendOutcome Outcome{SendResult::Broken, 0, !Active.m_AnswerStarted,
                                "timed out"};
      updateEndpointHealth(Active, *Endpoint, Outcome);
      updateLinks(Active, *Endpoint, Outcome);
    }
    cancelSend(Active, Out);
  }
  const char *const Reason = isBoundByStop(Active)
                                 ? "the time of this node's stop is up"
                                 : "its time is up";
  if (Active.m_CallerDisconnected) {
    log(Active, "end", 0, Reason, Out);
    removeRequest(Active);
  } else if (Active.m_ForwardingStarted)
    abortAnswer(Active, Reason, Out);
  else if (Active.m_PossibleRuns > 0 || Active.m_Attempt)
    reject(Active, GatewayTimeout, std::nullopt, Reason, Out);
  else if (isBoundByStop(Active))
    reject(Active, ServiceUnavailable, stoppingRetryAfter(Active), Reason, Out);
  else
    reject(Active, ServiceUnavailable, jittered(ExpiredRetryAfter),
           "its time is up before it was sent", Out);
}

bool RelayCore::expireIfDue(ActiveRequest &Active, RelayEffectList &Out) {
  if (m_Now < Active.m_Deadline)
    return false;
  expire(Active, Out);
  return true;
}

void RelayCore::reject(ActiveRequest &Active, int Status,
                       std::optional<model::Duration> RetryAfter,
                       const std::string &Reason, RelayEffectList &Out) {
  log(Active, "refuse", Status, Reason, Out);
  Out.push_back(
      RejectRequest{Active.m_Request.m_Number, Status, RetryAfter, Reason});
  removeRequest(Active);
}

void RelayCore::abortAnswer(ActiveRequest &Active, const std::string &Reason,
                            RelayEffectList &Out) {
  log(Active, "cut", 0, Reason, Out);
  Out.push_back(AbortAnswer{Active.m_Request.m_Number, Reason});
  removeRequest(Active);
}

void RelayCore::removeRequest(ActiveRequest &Active) {
  endSend(Active);
  const model::RequestId Number = Active.m_Request.m_Number;
  m_Deadlines.erase({Active.m_Deadline, Number});
  endWaiting(Active);
  m_LeftToFinish.erase(Number);
  m_ActiveRequests.erase(Number);
}

void RelayCore::endWaiting(ActiveRequest &Active) {
  const model::RequestId Number = Active.m_Request.m_Number;
  Active.m_WaitsUntil.reset();
  Active.m_QuotaWaitEnd.reset();
  m_Waiting.erase(Number);
  m_Unconfirmed.erase(Number);
  m_QuotaWaiting.erase(Number);
  releaseHold(Active);
}

} // namespace bronzepass::core::gateway
