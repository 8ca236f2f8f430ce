#include "Core/Gateway/RelayCore.h"

#include "Core/Routing/Seconds.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr double MicrosPerMilli = 1e3;
/// Weight of the newest answer in moving averages of an endpoint and of a
/// service: some ten and some thirty answers.
constexpr double EndpointWeight = 0.1;
constexpr double ServiceWeight = 0.03;
constexpr double MostSlowness = 20;
/// Shorter prompts tell more of the network than of the engine.
constexpr uint32_t LeastTokensToLearn = 500;
constexpr double FasterWeight = 0.1;
constexpr double SlowerWeight = 0.005;
constexpr model::Duration NotRunRetryAfter = std::chrono::milliseconds(150);
/// A copy that the endpoint said it lacks is looked for elsewhere this long;
/// its own entry is to follow meanwhile.
constexpr model::Duration AbsentCopyFor = std::chrono::seconds(1);

} // namespace

void RelayCore::pieceCame(model::AttemptId Attempt, model::TimePoint Now) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  Live &Value = m_Live.at(Found->second);
  EndpointView *const Endpoint = view(Value.m_Endpoint);
  if (!Endpoint)
    return;
  const model::TimePoint Before = std::exchange(Value.m_LastPieceAt, Now);
  if (Value.m_BeganSeen) {
    if (Now - Before > Value.m_Pace.m_LongestPause) {
      Value.m_Pace.m_LongestPause = Now - Before;
      Value.m_Pace.m_PauseEnd = Now - Value.m_Request.m_BeganAt;
    }
    return;
  }
  Value.m_BeganSeen = true;
  Value.m_Pace.m_First = Now - Value.m_SentAt;
  const double Millis =
      std::max(0.1, static_cast<double>((Now - Value.m_SentAt).count()) /
                        MicrosPerMilli);
  ServiceView &Service = m_Services[Value.m_Service];
  routing::updateMovingAverage(Service.m_FirstMs, Millis, ServiceWeight);
  const double Ratio = std::min(MostSlowness, Millis / Service.m_FirstMs);
  const double Old = Endpoint->slownessAt(Now, m_Settings.m_SlownessHalfLife);
  Endpoint->m_Slowness = Old + EndpointWeight * (Ratio - Old);
  Endpoint->m_SlownessSeenAt = Now;
  learnPrefill(Service, Value, Millis);
  endPrefill(Value, *Endpoint);
}

void RelayCore::learnPrefill(ServiceView &Service, const Live &Value,
                             double FirstMs) {
  if (Value.m_TokensAhead < LeastTokensToLearn)
    return;
  const double Sample = FirstMs / Value.m_TokensAhead;
  // Waiting for a slot only ever adds to it.
  const double Weight =
      Sample < Service.m_PrefillMsPerToken ? FasterWeight : SlowerWeight;
  Service.m_PrefillMsPerToken +=
      Weight * (Sample - Service.m_PrefillMsPerToken);
}

void RelayCore::endPrefill(Live &Value, EndpointView &Endpoint) {
  Endpoint.m_PrefillTokens -=
      std::min(Endpoint.m_PrefillTokens, Value.m_PrefillTokens);
  Value.m_PrefillTokens = 0;
}

void RelayCore::judgeEndpoint(const Live &Value, EndpointView &Endpoint,
                              const SendOutcome &Outcome) {
  const bool Answered =
      Outcome.m_End == SendEnd::Whole || Outcome.m_End == SendEnd::Failed ||
      Outcome.m_End == SendEnd::NotRun || Outcome.m_End == SendEnd::Misdirected;
  if (Outcome.m_End == SendEnd::Misdirected) {
    // It may hold the model no longer, or be another endpoint by now.
    Endpoint.m_News[Value.m_Request.m_Use] = {false, m_Now + AbsentCopyFor};
    if (Value.m_Request.m_Use.m_Model.empty())
      Endpoint.m_EjectedUntil = m_Now + AbsentCopyFor;
  }
  if (Outcome.m_End != SendEnd::Misdirected) {
    const bool Failure =
        Outcome.m_End == SendEnd::Failed || Outcome.m_End == SendEnd::Broken;
    const double Old =
        Endpoint.failureShareAt(m_Now, m_Settings.m_FailureHalfLife);
    Endpoint.m_FailureShare = Old + EndpointWeight * ((Failure ? 1 : 0) - Old);
    Endpoint.m_FailureSeenAt = m_Now;
  }
  if (Answered) {
    Endpoint.m_FailuresInRow = 0;
    return;
  }
  ++Endpoint.m_FailuresInRow;
  const bool Refused = Outcome.m_End == SendEnd::NotSent;
  if (!Refused && Endpoint.m_FailuresInRow < m_Settings.m_EjectAfter)
    return;
  const uint32_t Doublings = std::min(Endpoint.m_FailuresInRow - 1, 3U);
  Endpoint.m_EjectedUntil =
      m_Now + std::min(m_Settings.m_EjectFor * (1 << Doublings),
                       m_Settings.m_EjectMost);
}

void RelayCore::endSend(Live &Value) {
  if (!Value.m_Attempt)
    return;
  m_Attempts.erase(Value.m_Attempt);
  Value.m_Attempt = {};
  if (EndpointView *const Endpoint = view(Value.m_Endpoint)) {
    Endpoint->m_InFlight -= std::min(Endpoint->m_InFlight, 1U);
    endPrefill(Value, *Endpoint);
  }
  dropIfUnused(Value.m_Endpoint);
}

bool RelayCore::mayGoOn(const Live &Value, const SendOutcome &Outcome) {
  if (Value.m_CallerGone || Value.m_Sends >= m_Settings.m_MaxSends ||
      Value.m_Deadline - m_Now < m_Settings.m_LeastRemaining)
    return false;
  const RouteSpec &Route = *Value.m_Route;
  const bool MayHaveRun =
      Outcome.m_End == SendEnd::Broken || Outcome.m_End == SendEnd::Failed;
  if (MayHaveRun) {
    const bool MayRepeat =
        Route.m_Repeatable || (Route.m_Stream && Route.m_Resumable);
    if (!MayRepeat || Value.m_Runs >= Route.m_MaxAttempts)
      return false;
    // A whole failure was an answer; a stream that has begun can't be replaced
    // by one.
    if (Outcome.m_End == SendEnd::Failed && Value.m_CallerAnswered)
      return false;
  } else if (Value.m_CallerAnswered && Value.m_Runs >= Route.m_MaxAttempts) {
    return false;
  }
  // A send that reached nobody is no arrival anywhere.
  return Outcome.m_End == SendEnd::NotSent ||
         m_Retries.take(Value.m_Service, m_Now);
}

void RelayCore::sendEnded(model::AttemptId Attempt, const SendOutcome &Outcome,
                          model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  Live &Value = m_Live.at(Found->second);
  if (EndpointView *const Endpoint = view(Value.m_Endpoint))
    judgeEndpoint(Value, *Endpoint, Outcome);
  if (Outcome.m_End == SendEnd::Whole)
    routing::updateMovingAverage(
        m_Services[Value.m_Service].m_WholeMs,
        static_cast<double>((Now - Value.m_SentAt).count()) / MicrosPerMilli,
        ServiceWeight);
  endSend(Value);
  Value.m_LastDetail = std::string(toString(Outcome.m_End)) +
                       (Outcome.m_Detail.empty() ? "" : ": ") +
                       Outcome.m_Detail;
  const bool MayHaveRun = Outcome.m_End == SendEnd::Broken ||
                          Outcome.m_End == SendEnd::Failed ||
                          Outcome.m_End == SendEnd::Whole;
  if (MayHaveRun)
    ++Value.m_Runs;
  Value.m_HasFailure = Outcome.m_End == SendEnd::Failed;
  if (Value.m_CallerGone) {
    note(Value, "end", Outcome.m_Status, Value.m_LastDetail, Out);
    forget(Value);
    return;
  }
  if (Outcome.m_End == SendEnd::Whole) {
    note(Value, "answer", Outcome.m_Status, "", Out);
    Out.push_back(PassAnswer{Value.m_Request.m_Number});
    forget(Value);
    return;
  }
  if (mayGoOn(Value, Outcome)) {
    // A whole failure is still better than none if nobody else can be asked.
    const bool OthersLeft = choose(Value).m_Endpoint != nullptr;
    if (OthersLeft || Outcome.m_End != SendEnd::Failed) {
      place(Value, Out);
      return;
    }
  }
  finishAfter(Value, Outcome, Out);
}

void RelayCore::finishAfter(Live &Value, const SendOutcome &Outcome,
                            RelayEffectList &Out) {
  if (Value.m_CallerAnswered) {
    cut(Value, Value.m_LastDetail, Out);
    return;
  }
  if (Value.m_HasFailure) {
    note(Value, "answer", Outcome.m_Status, "the endpoint failed it", Out);
    Out.push_back(PassAnswer{Value.m_Request.m_Number});
    forget(Value);
    return;
  }
  if (Value.m_Runs > 0) {
    refuse(Value, BadGateway, std::nullopt, Value.m_LastDetail, Out);
    return;
  }
  const model::Duration Left = Value.m_Deadline - m_Now;
  refuse(Value, ServiceUnavailable,
         std::min(jittered(NotRunRetryAfter),
                  std::max(model::Duration::zero(), Left / 3)),
         Value.m_LastDetail, Out);
}

} // namespace bronzepass::core::gateway
