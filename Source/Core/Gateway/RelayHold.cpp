#include "Core/Gateway/RelayCore.h"

#include "Core/Model/Hash.h"

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
/// Share of the caller's time after that to the first event for which a request
/// that can't be in time is held. The rest is for the answer, or for another
/// try elsewhere.
constexpr double LateShare = 0.3;
/// Requests of one model that are offered in vain in a row, until those behind
/// them wait for the next time.
constexpr int MaxVainOffers = 8;
constexpr int MaxVainOffersByRank = 64;

constexpr const char *HeldReason = "the engines' prefill queues are full";
constexpr const char *InTimeReason =
    "the engines' slots or prefill queues are full, it can be in time";
constexpr const char *LateReason =
    "it can't be in time and waits for room behind those that can";
constexpr const char *BehindReason =
    "the engines that hold the model are behind by more than its time to the "
    "first event";
constexpr const char *NoRoomReason =
    "there is no room for it in time, nor late within its share of the "
    "caller's time";

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

bool RelayCore::ordersBySlack(const ActiveRequest &Active) const {
  const auto Service = m_Services.find(Active.m_Service);
  return Service != m_Services.end() &&
         Service->second.m_HoldRules.m_Order == HoldOrder::Slack &&
         !Active.m_Request.m_ModelRef.m_Model.empty() &&
         Active.m_Route->m_LatencyTarget.count() > 0 &&
         Active.m_PossibleRuns == 0 && !hasBegun(Active);
}

HeldRequest RelayCore::heldRequest(const ActiveRequest &Active,
                                   double OwnMs) const {
  const ServiceState &Service = m_Services.at(Active.m_Service);
  const model::TimePoint DueAt =
      Active.m_Request.m_BeganAt + Active.m_Route->m_LatencyTarget;
  const double AfterDueMs = std::max(0.0, millis(Active.m_Deadline - DueAt));
  HeldRequest Held{
      .m_Number = Active.m_Request.m_Number,
      .m_Lane = model::stableHash(Active.m_Request.m_ModelRef.m_Model,
                                  model::stableHash(Active.m_Service)),
      .m_Order = ordersBySlack(Active) ? HoldOrder::Slack : HoldOrder::Rank,
      .m_Rank = Active.m_Priority,
      .m_Organisation = Active.m_Organisation
                            ? model::stableHash(Active.m_Organisation->m_Name)
                            : 0,
      .m_LatestStart = DueAt - fromMillis(OwnMs),
      .m_LateUntil = DueAt + fromMillis(LateShare * AfterDueMs),
      .m_CostMs = prefillMs(Active, Active.m_Request.m_PromptTokens)};
  if (Held.m_Order == HoldOrder::Slack && !Service.m_Endpoints.empty())
    Held.m_CostMs = std::max(
        Held.m_CostMs,
        (Service.m_AnswerMs > 0 ? Service.m_AnswerMs : DefaultAnswerMs) /
            std::max(1U, Service.m_Endpoints.front()->m_Entry.m_Slots));
  return Held;
}

/// A request for an engine waits at this node while the prefill that is queued
/// at the best engine would delay its streams beyond their event gap, so that
/// it can still go to another engine, and after more urgent ones. An engine
/// without a queue takes any prompt. Where requests are ordered by slack, it
/// waits for a slot in the same way, and a late one until an engine is free.
bool RelayCore::mustHold(const ActiveRequest &Active,
                         const Choice &Chosen) const {
  const EndpointView &Endpoint = *Chosen.m_Endpoint;
  const auto Service = m_Services.find(Active.m_Service);
  const bool IsPaced = Service != m_Services.end() &&
                       !Active.m_Request.m_ModelRef.m_Model.empty() &&
                       !hasBegun(Active) &&
                       Active.m_Route->m_LatencyTarget.count() > 0;
  if (!IsPaced)
    return false;
  const uint32_t Queued = Endpoint.prefillTokens();
  if (ordersBySlack(Active)) {
    if (Chosen.m_WaitMs > Service->second.m_HoldRules.m_MaxSlotWaitMs)
      return true;
    if (Active.m_IsHeld && m_Held.isLate(Active.m_Request.m_Number))
      return Queued > 0 || Chosen.m_WaitMs > 0;
    if (!Active.m_IsHeld && !m_Held.empty() &&
        m_Held.countAhead(heldRequest(Active, FirstEventMs)) > 0)
      return true;
  }
  if (Queued == 0)
    return false;
  const double QueuedMs = prefillMs(Active, Queued);
  const double OwnMs = prefillMs(Active, missingTokens(Active, Endpoint));
  return QueuedMs + OwnMs > Service->second.m_MaxQueuedPrefillMs;
}

void RelayCore::holdOrReject(ActiveRequest &Active, const Choice &Chosen,
                             RelayEffectList &Out) {
  const double OwnMs =
      prefillMs(Active, missingTokens(Active, *Chosen.m_Endpoint)) +
      FirstEventMs;
  if (ordersBySlack(Active)) {
    holdBySlack(Active, Chosen, OwnMs, Out);
    return;
  }
  const HeldRequest Held = heldRequest(Active, OwnMs);
  const double WaitedMs = millis(m_Now - Active.m_Request.m_BeganAt);
  // The other nodes hold requests for the same engines.
  const double AheadMs =
      m_Held.costAhead(Held) * m_NodeCount / std::max(1U, Chosen.m_Candidates);
  const double LateMs =
      WaitedMs + AheadMs + OwnMs - millis(Active.m_Route->m_LatencyTarget);
  if (LateMs > 0 && Active.m_PossibleRuns > 0) {
    finishUnsuccessful(
        Active, {SendResult::Broken, 0, false, Active.m_LastFailure}, Out);
    return;
  }
  if (LateMs > 0) {
    const model::Duration Left = Active.m_Deadline - m_Now;
    const model::Duration RetryAfter =
        std::max(MinHeldRetryAfter, jittered(fromMillis(LateMs)));
    reject(Active, ServiceUnavailable, std::min(RetryAfter, Left / 3),
           BehindReason, Out);
    return;
  }
  m_Held.hold(Held, m_Now);
  logHold(Active, HeldReason, Out);
}

void RelayCore::holdBySlack(ActiveRequest &Active, const Choice &Chosen,
                            double OwnMs, RelayEffectList &Out) {
  HeldRequest Held = heldRequest(Active, OwnMs);
  const std::optional<uint64_t> Fingerprint = Active.m_Request.m_Fingerprint;
  if (!Active.m_IsHeld && Fingerprint)
    Held.m_EarlierTurn = m_Refused.take(*Fingerprint, m_Now).value_or(-1);
  const double Others =
      (m_NodeCount - 1) * m_Held.averageShare(Held.m_Lane, m_Now);
  const HoldRoom Room{
      .m_WaitMs = Chosen.m_WaitMs +
                  prefillMs(Active, Chosen.m_Endpoint->prefillTokens()),
      .m_DelayPerMs = (1 + Others) / std::max(1U, Chosen.m_Candidates)};
  const HoldDecision Decision = m_Held.admit(Held, Room, m_Now);
  if (Decision.m_Verdict != HoldVerdict::Refuse) {
    logHold(Active,
            Decision.m_Verdict == HoldVerdict::Late ? LateReason : InTimeReason,
            Out);
    return;
  }
  const model::Duration Left =
      std::max(model::Duration::zero(), Active.m_Deadline - m_Now);
  // Room enough for it to be held again, and later by up to half, so that not
  // all come back at once.
  const double PatienceMs =
      millis(Held.m_LateUntil - Active.m_Request.m_BeganAt);
  const model::Duration RoomAfter =
      std::max(MinHeldRetryAfter, fromMillis(Decision.m_WaitMs - PatienceMs));
  const model::Duration RetryAfter =
      RoomAfter +
      model::Duration(static_cast<int64_t>(
          m_Random.next() % std::max<uint64_t>(1, RoomAfter.count() / 2)));
  if (Fingerprint)
    m_Refused.add(*Fingerprint, Decision.m_Turn, Active.m_Deadline);
  reject(Active, ServiceUnavailable, std::min(RetryAfter, Left / 2),
         NoRoomReason, Out);
}

void RelayCore::logHold(ActiveRequest &Active, const char *Reason,
                        RelayEffectList &Out) {
  if (!Active.m_IsHeld)
    log(Active, "wait", 0, Reason, Out);
  Active.m_IsHeld = true;
}

/// Where every endpoint that could run it has reached its limit, a request
/// waits for its turn if that comes within its time to the first event.
void RelayCore::holdForLimit(ActiveRequest &Active, const Choice &Chosen,
                             RelayEffectList &Out) {
  const HeldRequest Held = heldRequest(Active, FirstEventMs);
  const double PeriodMs = MillisPerSecond / Chosen.m_LimitedPerSecond;
  const double FirstMs = std::min(PeriodMs, millis(*Chosen.m_TimeToNext));
  const double WaitMs =
      FirstMs + static_cast<double>(m_Held.countAhead(Held)) * PeriodMs;
  const double WaitedMs = millis(m_Now - Active.m_Request.m_BeganAt);
  if (WaitedMs + WaitMs + FirstEventMs <=
      millis(Active.m_Route->m_LatencyTarget)) {
    m_Held.hold(Held, m_Now);
    logHold(Active, EndpointsTakeNoMore, Out);
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
  m_Held.remove(Active.m_Request.m_Number, m_Now);
}

/// Offers the held requests to the engines. Those of one model that are offered
/// in vain tell that those behind them would be too.
void RelayCore::dispatchHeld(RelayEffectList &Out) {
  if (m_Held.empty())
    return;
  m_VainOffers.clear();
  // A copy, because a dispatched request may leave the queue or its place.
  m_Offered.clear();
  for (const HoldQueue::Entry &Each : m_Held)
    m_Offered.push_back(Each);
  for (const HoldQueue::Entry &Each : m_Offered) {
    const HeldRequest &Request = Each.m_Request;
    const bool IsDue =
        m_Now >= (Each.m_IsLate ? Request.m_LateUntil : Request.m_LatestStart);
    auto Lane = std::find_if(m_VainOffers.begin(), m_VainOffers.end(),
                             [&Request](const auto &Offers) {
                               return Offers.first == Request.m_Lane;
                             });
    if (Lane == m_VainOffers.end())
      Lane = m_VainOffers.insert(Lane, {Request.m_Lane, 0});
    const int Allowed = Request.m_Order == HoldOrder::Slack
                            ? MaxVainOffers
                            : MaxVainOffersByRank;
    if (Lane->second >= Allowed && !IsDue)
      continue;
    dispatch(m_ActiveRequests.at(Request.m_Number), Out);
    const auto Left = m_ActiveRequests.find(Request.m_Number);
    Lane->second += Left != m_ActiveRequests.end() && Left->second.m_IsHeld;
  }
}

} // namespace bronzepass::core::gateway
