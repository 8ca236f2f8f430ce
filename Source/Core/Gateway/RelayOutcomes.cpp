#include "Core/Gateway/RelayCore.h"

#include "Core/Routing/Seconds.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr double MicrosPerMilli = 1e3;
/// Weight of the newest answer in the moving averages of an endpoint and of a
/// service, which cover some ten and some thirty answers.
constexpr double EndpointAverageWeight = 0.1;
constexpr double ServiceAverageWeight = 0.03;
/// The same for the requests that an endpoint turns away, which cost it and
/// this node little: some five answers.
constexpr double RejectAverageWeight = 0.2;
constexpr double MaxSlowness = 20;
/// For shorter prompts the network dominates the time to the first chunk.
constexpr uint32_t MinTokensForPrefillRate = 500;
constexpr double FasterSampleWeight = 0.1;
constexpr double SlowerSampleWeight = 0.005;
constexpr model::Duration NotRunRetryAfter = std::chrono::milliseconds(150);
/// How long an endpoint that said it lacks a copy is not asked for it; by then
/// its own entry should be up to date.
constexpr model::Duration MissingCopyLifetime = std::chrono::seconds(1);

/// Whether a caller takes the status for a proof that its request did not run.
bool promisesNotRun(int Status) {
  constexpr int RequestTimeout = 408;
  constexpr int TooManyRequests = 429;
  return Status == RequestTimeout || Status == TooManyRequests ||
         Status == ServiceUnavailable;
}

} // namespace

void RelayCore::onAnswerChunk(model::AttemptId Attempt, model::TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  ActiveRequest &Active = m_ActiveRequests.at(Found->second);
  EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint);
  if (!Endpoint)
    return;
  m_Quarantine.onEngineAlive(Endpoint->m_Key, Now);
  m_Now = Now;
  noteSilenceEnd(*Endpoint);
  onHeardFrom(*Endpoint);
  const model::TimePoint Before = std::exchange(Active.m_LastChunkAt, Now);
  if (Active.m_AnswerStarted) {
    if (Now - Before > Active.m_Timing.m_LongestPause) {
      Active.m_Timing.m_LongestPause = Now - Before;
      Active.m_Timing.m_PauseEnd = Now - Active.m_Request.m_BeganAt;
    }
    return;
  }
  Active.m_AnswerStarted = true;
  Active.m_Timing.m_TimeToFirstChunk = Now - Active.m_SentAt;
  const double Millis =
      std::max(0.1, static_cast<double>((Now - Active.m_SentAt).count()) /
                        MicrosPerMilli);
  ServiceState &Service = m_Services[Active.m_Service];
  if (Active.m_SentAt < Endpoint->m_SilenceEndedAt) {
    clearPrefillTokens(Active, *Endpoint);
    return;
  }
  noteFirstChunk(Active, *Endpoint, Service.m_FirstChunkMs);
  routing::updateMovingAverage(Service.m_FirstChunkMs, Millis,
                               ServiceAverageWeight);
  const double Ratio = std::min(MaxSlowness, Millis / Service.m_FirstChunkMs);
  const double Old = Endpoint->slownessAt(Now, m_Settings.m_SlownessHalfLife);
  Endpoint->m_Slowness = Old + EndpointAverageWeight * (Ratio - Old);
  Endpoint->m_SlownessAt = Now;
  updatePrefillRate(Service, Active, Millis);
  clearPrefillTokens(Active, *Endpoint);
}

void RelayCore::updatePrefillRate(ServiceState &Service,
                                  const ActiveRequest &Active,
                                  double FirstChunkMs) {
  if (Active.m_TokensAhead < MinTokensForPrefillRate)
    return;
  const double Sample = FirstChunkMs / Active.m_TokensAhead;
  // Samples include the wait for a slot, so lower ones are more accurate.
  const double Weight = Sample < Service.m_PrefillMsPerToken
                            ? FasterSampleWeight
                            : SlowerSampleWeight;
  Service.m_PrefillMsPerToken +=
      Weight * (Sample - Service.m_PrefillMsPerToken);
}

void RelayCore::clearPrefillTokens(ActiveRequest &Active,
                                   EndpointView &Endpoint) {
  m_PrefillChanges += Active.m_PrefillTokens > 0;
  Endpoint.m_PrefillTokens -=
      std::min(Endpoint.m_PrefillTokens, Active.m_PrefillTokens);
  Active.m_PrefillTokens = 0;
}

void RelayCore::updateEndpointHealth(const ActiveRequest &Active,
                                     EndpointView &Endpoint,
                                     const SendOutcome &Outcome) {
  if (isUnheard(Active, Endpoint, Outcome)) {
    noteUnheard(Endpoint);
    return;
  }
  Endpoint.m_UnansweredSince.reset();
  updatePace(Endpoint, Outcome);
  const bool Answered = Outcome.m_Result == SendResult::Completed ||
                        Outcome.m_Result == SendResult::Failed ||
                        Outcome.m_Result == SendResult::NotRun ||
                        Outcome.m_Result == SendResult::Misdirected;
  if (Outcome.m_Result == SendResult::Misdirected) {
    // The endpoint may have unloaded the model, or its address may belong to
    // another endpoint by now.
    Endpoint.m_CopyOverrides[Active.m_Request.m_ModelRef] = {
        false, m_Now + MissingCopyLifetime};
    if (Active.m_Request.m_ModelRef.m_Model.empty())
      Endpoint.m_EjectedUntil = m_Now + MissingCopyLifetime;
  }
  if (Outcome.m_Result != SendResult::Misdirected) {
    const bool Failure = Outcome.m_Result == SendResult::Failed ||
                         Outcome.m_Result == SendResult::Broken;
    const double Old =
        Endpoint.failureShareAt(m_Now, m_Settings.m_FailureHalfLife);
    Endpoint.m_FailureShare =
        Old + EndpointAverageWeight * ((Failure ? 1 : 0) - Old);
    Endpoint.m_FailureShareAt = m_Now;
  }
  if (Outcome.m_Result != SendResult::NotSent) {
    const bool Rejected = Outcome.m_Result == SendResult::NotRun;
    const double Old =
        Endpoint.rejectShareAt(m_Now, m_Settings.m_RejectHalfLife);
    Endpoint.m_RejectShare =
        Old + RejectAverageWeight * ((Rejected ? 1 : 0) - Old);
    Endpoint.m_RejectShareAt = m_Now;
  }
  if (Answered) {
    Endpoint.m_ConsecutiveFailures = 0;
    return;
  }
  ++Endpoint.m_ConsecutiveFailures;
  const bool Refused = Outcome.m_Result == SendResult::NotSent;
  if (!Refused &&
      Endpoint.m_ConsecutiveFailures < m_Settings.m_EjectAfterFailures)
    return;
  const uint32_t Doublings = std::min(Endpoint.m_ConsecutiveFailures - 1, 3U);
  Endpoint.m_EjectedUntil =
      m_Now + std::min(m_Settings.m_BaseEjectionTime * (1 << Doublings),
                       m_Settings.m_MaxEjectionTime);
  beginPace(Endpoint, PaceCause::Ejection, Endpoint.m_EjectedUntil);
}

void RelayCore::updateQuarantine(const ActiveRequest &Active,
                                 const EndpointView &Endpoint,
                                 const SendOutcome &Outcome) {
  if (Outcome.m_Result == SendResult::Broken && !Outcome.m_TimedOut)
    m_Quarantine.onSendBroken(Active.m_Traits, Endpoint.m_Key, Active.m_SentAt,
                              m_Now);
  else if (Outcome.m_Result == SendResult::NotSent)
    m_Quarantine.onEngineRefused(Endpoint.m_Key, m_Now);
  else if (Outcome.m_Result == SendResult::Completed)
    m_Quarantine.onAnswerCompleted(Active.m_Traits, Endpoint.m_Key, m_Now);
}

void RelayCore::endSend(ActiveRequest &Active) {
  if (!Active.m_Attempt)
    return;
  m_Attempts.erase(Active.m_Attempt);
  Active.m_Attempt = {};
  if (EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint)) {
    Endpoint->m_InFlight -= std::min(Endpoint->m_InFlight, 1U);
    clearPrefillTokens(Active, *Endpoint);
  }
}

bool RelayCore::mayRetry(const ActiveRequest &Active,
                         const SendOutcome &Outcome) {
  if (Active.m_CallerDisconnected || Active.m_Sends >= m_Settings.m_MaxSends ||
      Active.m_Deadline - m_Now < m_Settings.m_MinTimeForRetry)
    return false;
  // Unlike a new request, it may not be tried elsewhere by its caller.
  if (!Active.m_ForwardingStarted && endsBeyondStop(Active, 1))
    return false;
  if (!m_Quarantine.allowsRetry(Active.m_Traits.m_Fingerprint))
    return false;
  // The other node has tried what may be tried.
  if (Active.m_ForwardedTo && Outcome.m_RetryAfter)
    return false;
  const RouteSpec &Route = *Active.m_Route;
  const bool MayResume = Route.m_Stream && Route.m_Resumable;
  // Only a resumed stream continues what the caller has received.
  if (Active.m_ForwardingStarted && !MayResume)
    return false;
  const bool MayHaveRun = Outcome.m_Result == SendResult::Broken ||
                          Outcome.m_Result == SendResult::Failed;
  if (MayHaveRun) {
    if ((!Route.m_Repeatable && !MayResume) ||
        Active.m_PossibleRuns >= maxRuns(Active))
      return false;
    // The failure is a complete answer, and a stream that has started can't be
    // replaced by it.
    if (Outcome.m_Result == SendResult::Failed && Active.m_ForwardingStarted)
      return false;
  } else if (Active.m_ForwardingStarted &&
             Active.m_PossibleRuns >= maxRuns(Active)) {
    return false;
  }
  // A send that reached no endpoint adds no load, so it is not limited.
  return Outcome.m_Result == SendResult::NotSent ||
         Outcome.m_Result == SendResult::Declined ||
         m_Retries.tryTakeRetry(Active.m_Service, m_Now);
}

void RelayCore::onSendFinished(model::AttemptId Attempt,
                               const SendOutcome &Outcome, model::TimePoint Now,
                               RelayEffectList &Out) {
  m_Now = Now;
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  ActiveRequest &Active = m_ActiveRequests.at(Found->second);
  if (EndpointView *const Endpoint = findEndpoint(Active.m_Endpoint)) {
    updateEndpointHealth(Active, *Endpoint, Outcome);
    updateQuarantine(Active, *Endpoint, Outcome);
    updateLinks(Active, *Endpoint, Outcome);
    updateRoom(*Endpoint, Outcome);
  }
  if (Outcome.m_Result == SendResult::Completed && !Active.m_ForwardedTo)
    routing::updateMovingAverage(
        m_Services[Active.m_Service].m_AnswerMs,
        static_cast<double>((Now - Active.m_SentAt).count()) / MicrosPerMilli,
        ServiceAverageWeight);
  endSend(Active);
  giveQuotaBack(Active, Outcome);
  Active.m_AnswerEnd = Outcome.m_AnswerEnd;
  Active.m_LastFailure = std::string(toString(Outcome.m_Result)) +
                         (Outcome.m_Detail.empty() ? "" : ": ") +
                         Outcome.m_Detail;
  const bool MayHaveRun = Outcome.m_Result == SendResult::Broken ||
                          Outcome.m_Result == SendResult::Failed ||
                          Outcome.m_Result == SendResult::Completed;
  if (MayHaveRun)
    Active.m_PossibleRuns +=
        Active.m_ForwardedTo ? Active.m_ForwardedTo->m_RunsLeft : 1;
  Active.m_HasFailureAnswer = Outcome.m_Result == SendResult::Failed;
  Active.m_LastSendBrokeOff = Outcome.m_Result == SendResult::Broken;
  if (Active.m_CallerDisconnected) {
    log(Active, "end", Outcome.m_Status, Active.m_LastFailure, Out);
    removeRequest(Active);
    return;
  }
  if (Outcome.m_Result == SendResult::Completed) {
    m_Origins.onStreamCompleted(firstAttemptOf(Active.m_Request));
    log(Active, "answer", Outcome.m_Status, "", Out);
    Out.push_back(ForwardAnswer{Active.m_Request.m_Number});
    removeRequest(Active);
    return;
  }
  if (mayRetry(Active, Outcome)) {
    // A failure answer is better than none if no other endpoint can be tried.
    const bool OthersLeft = chooseEndpoint(Active).m_Endpoint != nullptr;
    if (OthersLeft || Outcome.m_Result != SendResult::Failed) {
      dispatch(Active, Out);
      return;
    }
  }
  finishUnsuccessful(Active, Outcome, Out);
}

void RelayCore::finishUnsuccessful(ActiveRequest &Active,
                                   const SendOutcome &Outcome,
                                   RelayEffectList &Out) {
  if (Active.m_ForwardingStarted) {
    abortAnswer(Active, Active.m_LastFailure, Out);
    return;
  }
  const RouteSpec &Route = *Active.m_Route;
  const bool MayRunAgain =
      Route.m_Repeatable || (Route.m_Stream && Route.m_Resumable);
  if (Active.m_HasFailureAnswer && !MayRunAgain &&
      promisesNotRun(Outcome.m_Status)) {
    reject(Active, BadGateway, std::nullopt,
           Active.m_LastFailure + ", which does not prove that it did not run",
           Out);
    return;
  }
  if (Active.m_HasFailureAnswer) {
    log(Active, "answer", Outcome.m_Status,
        "the endpoint answered with a failure", Out);
    Out.push_back(ForwardAnswer{Active.m_Request.m_Number});
    removeRequest(Active);
    return;
  }
  if (Active.m_PossibleRuns > 0) {
    reject(Active, BadGateway, std::nullopt, Active.m_LastFailure, Out);
    return;
  }
  const model::Duration Left = Active.m_Deadline - m_Now;
  const model::Duration RetryAfter =
      Outcome.m_RetryAfter ? *Outcome.m_RetryAfter : jittered(NotRunRetryAfter);
  reject(Active, ServiceUnavailable,
         std::min(RetryAfter, std::max(model::Duration::zero(), Left / 3)),
         Active.m_LastFailure, Out);
}

} // namespace bronzepass::core::gateway
