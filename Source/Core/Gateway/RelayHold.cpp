#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr double MillisPerMicro = 1e-3;
constexpr double MicrosPerMilli = 1e3;
constexpr double MillisPerSecond = 1e3;
constexpr model::Duration MinHeldRetryAfter = std::chrono::milliseconds(150);
/// The network, and the steps of the batch until the first event.
constexpr double FirstEventMs = 60;

double millis(model::Duration Value) {
  return static_cast<double>(Value.count()) * MillisPerMicro;
}

model::Duration fromMillis(double Value) {
  return model::Duration(static_cast<int64_t>(Value * MicrosPerMilli));
}

} // namespace

double RelayCore::prefillMs(const ActiveRequest &Active,
                            uint32_t Tokens) const {
  const auto Service = m_Services.find(Active.m_Service);
  return Service == m_Services.end()
             ? 0
             : Service->second.m_PrefillMsPerToken * Tokens;
}

/// A request for an engine waits at this node while the prefill that is queued
/// at the best engine would delay its streams beyond their event gap, so that
/// it can still go to another engine, and after more urgent ones. An engine
/// without a queue takes any prompt.
bool RelayCore::mustHold(const ActiveRequest &Active,
                         const EndpointView &Endpoint) const {
  const auto Service = m_Services.find(Active.m_Service);
  const bool IsPaced = Service != m_Services.end() &&
                       !Active.m_Request.m_ModelRef.m_Model.empty() &&
                       !Active.m_ForwardingStarted &&
                       Active.m_Route->m_LatencyTarget.count() > 0;
  if (!IsPaced || Endpoint.prefillTokens() == 0)
    return false;
  const double Queued = prefillMs(Active, Endpoint.prefillTokens());
  const double Own = prefillMs(Active, missingTokens(Active, Endpoint));
  return Queued + Own > Service->second.m_MaxQueuedPrefillMs;
}

/// Prefill of the requests held here for the same model that go first.
double RelayCore::heldPrefillMs(const ActiveRequest &Active) const {
  double Sum = 0;
  const HoldKey Own{Active.m_Priority, Active.m_Request.m_Number};
  for (const HoldKey &Key : m_Held) {
    if (Key >= Own)
      break;
    const ActiveRequest &Other = m_ActiveRequests.at(Key.second);
    if (Other.m_Request.m_ModelRef.m_Model ==
        Active.m_Request.m_ModelRef.m_Model)
      Sum += prefillMs(Other, Other.m_Request.m_PromptTokens);
  }
  return Sum;
}

void RelayCore::holdOrReject(ActiveRequest &Active, const Choice &Chosen,
                             RelayEffectList &Out) {
  const double WaitedMs = millis(m_Now - Active.m_Request.m_BeganAt);
  // The other nodes hold requests for the same engines.
  const double AheadMs =
      heldPrefillMs(Active) * m_NodeCount / std::max(1U, Chosen.m_Candidates);
  const double OwnMs =
      prefillMs(Active, missingTokens(Active, *Chosen.m_Endpoint)) +
      FirstEventMs;
  const double LateMs =
      WaitedMs + AheadMs + OwnMs - millis(Active.m_Route->m_LatencyTarget);
  if (LateMs > 0) {
    const model::Duration Left = Active.m_Deadline - m_Now;
    const model::Duration RetryAfter =
        std::max(MinHeldRetryAfter, jittered(fromMillis(LateMs)));
    reject(Active, ServiceUnavailable, std::min(RetryAfter, Left / 3),
           "the engines that hold the model are behind by more than its time "
           "to the first event",
           Out);
    return;
  }
  hold(Active, "the engines' prefill queues are full", Out);
}

void RelayCore::hold(ActiveRequest &Active, const char *Reason,
                     RelayEffectList &Out) {
  if (!Active.m_IsHeld)
    log(Active, "wait", 0, Reason, Out);
  Active.m_IsHeld = true;
  m_Held.insert({Active.m_Priority, Active.m_Request.m_Number});
}

/// Requests held here for the same model that go first.
size_t RelayCore::heldAhead(const ActiveRequest &Active) const {
  size_t Count = 0;
  const HoldKey Own{Active.m_Priority, Active.m_Request.m_Number};
  for (const HoldKey &Key : m_Held) {
    if (Key >= Own)
      break;
    Count += m_ActiveRequests.at(Key.second).m_Request.m_ModelRef.m_Model ==
                     Active.m_Request.m_ModelRef.m_Model
                 ? 1
                 : 0;
  }
  return Count;
}

/// Where every endpoint that could run it has reached its limit, a request
/// waits for its turn if that comes within its time to the first event.
void RelayCore::holdForLimit(ActiveRequest &Active, const Choice &Chosen,
                             RelayEffectList &Out) {
  const double PeriodMs = MillisPerSecond / Chosen.m_LimitedPerSecond;
  const double FirstMs = std::min(PeriodMs, millis(*Chosen.m_TimeToNext));
  const double WaitMs =
      FirstMs + static_cast<double>(heldAhead(Active)) * PeriodMs;
  const double WaitedMs = millis(m_Now - Active.m_Request.m_BeganAt);
  if (WaitedMs + WaitMs + FirstEventMs <=
      millis(Active.m_Route->m_LatencyTarget)) {
    hold(Active, EndpointsTakeNoMore, Out);
    return;
  }
  const model::Duration Left = Active.m_Deadline - m_Now;
  reject(Active, ServiceUnavailable,
         std::min(std::max(MinHeldRetryAfter, jittered(fromMillis(WaitMs))),
                  Left / 3),
         EndpointsTakeNoMore, Out);
}

void RelayCore::releaseHold(ActiveRequest &Active) {
  if (!Active.m_IsHeld)
    return;
  Active.m_IsHeld = false;
  m_Held.erase({Active.m_Priority, Active.m_Request.m_Number});
}

void RelayCore::dispatchHeld(RelayEffectList &Out) {
  // A copy, because a dispatched request is removed from the set.
  const std::vector<HoldKey> Held(m_Held.begin(), m_Held.end());
  for (const HoldKey &Key : Held)
    dispatch(m_ActiveRequests.at(Key.second), Out);
}

} // namespace bronzepass::core::gateway
