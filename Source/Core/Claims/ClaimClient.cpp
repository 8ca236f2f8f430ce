#include "Core/Claims/ClaimClient.h"

#include "Core/Leases/CircuitBreaker.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

using model::ClaimState;
using ports::ClaimVerdictKind;

namespace {

constexpr model::Duration RedirectDelay = std::chrono::milliseconds(5);
/// After this many sends, a redirect no longer shortens the back-off, so that
/// two nodes that redirect to each other do not flood the link.
constexpr uint32_t MaxPromptRedirects = 3;

/// Minimum time between two scans for resends and timeouts.
constexpr model::Duration ScanPeriod = std::chrono::milliseconds(10);

} // namespace

void ClaimClient::onClaimRequested(const ports::ClaimRequested &Requested,
                                   model::TimePoint Now,
                                   ports::EffectList &Out) {
  if (m_ClaimRequestIds.contains(Requested.m_Request))
    return;
  const model::TimePoint LatestDeadline = Now + m_Settings.m_ClaimLifetime / 2;
  const model::TimePoint Deadline =
      std::min(Requested.m_Deadline, LatestDeadline) - m_Settings.m_ServeMargin;
  if (Now >= Deadline || m_Requests.size() >= m_Settings.m_MaxPendingRequests) {
    ++m_Counts.m_Unavailable;
    Out.push_back(ports::ClaimVerdict{Requested.m_Request});
    return;
  }
  PendingRequest Request;
  Request.m_Delivery.m_KeyHash = Requested.m_KeyHash;
  Request.m_Delivery.m_StartedAt = Now;
  Request.m_Delivery.m_NextSendAt = Now;
  Request.m_Request = Requested.m_Request;
  Request.m_BodyHash = Requested.m_BodyHash;
  Request.m_Deadline = Deadline;
  m_ClaimRequestIds[Requested.m_Request] = ++m_LastClaimRequestId;
  m_Requests.emplace(m_LastClaimRequestId, Request);
  m_NewRequests.push_back(m_LastClaimRequestId);
}

void ClaimClient::onClaimEnded(const ports::ClaimEnded &Ended,
                               model::TimePoint Now) {
  auto Found = m_Running.find(Ended.m_Request);
  if (Found == m_Running.end())
    return;
  const Run Ran = Found->second;
  m_Running.erase(Found);
  // If traffic does not know the outcome, the key stays claimed.
  if (Ended.m_State == ClaimState::Claimed)
    return;
  PendingOutcome Outcome;
  Outcome.m_Delivery.m_KeyHash = Ran.m_KeyHash;
  Outcome.m_Delivery.m_StartedAt = Now;
  Outcome.m_Delivery.m_NextSendAt = Now;
  Outcome.m_State = Ended.m_State;
  Outcome.m_Status = Ended.m_Status;
  if (Ended.m_Answer.size() <= m_Settings.m_MaxAnswerBytes)
    Outcome.m_Answer = Ended.m_Answer;
  addOutcome(Ran.m_ClaimRequestId, std::move(Outcome));
}

void ClaimClient::onClaimReply(const model::NodeId &From,
                               const ports::ClaimReply &Reply,
                               model::TimePoint Now, ports::EffectList &Out) {
  if (Reply.m_IsOutcomeReply) {
    onOutcomeReply(From, Reply, Now);
    return;
  }
  auto Request = m_Requests.find(Reply.m_ClaimRequestId);
  if (Request != m_Requests.end()) {
    onRequestReply(Request, From, Reply, Now, Out);
    return;
  }
  auto Abandoned = m_Outcomes.find(Reply.m_ClaimRequestId);
  if (Abandoned == m_Outcomes.end() || !Abandoned->second.m_AwaitsLateGrant ||
      Reply.m_Verdict != ClaimVerdictKind::Granted)
    return;
  ++m_Counts.m_LateGrants;
  Abandoned->second.m_AwaitsLateGrant = false;
  Abandoned->second.m_Delivery.m_NextSendAt = Now;
  wakeAt(Now);
}

void ClaimClient::onRequestReply(RequestMap::iterator Request,
                                 const model::NodeId &From,
                                 const ports::ClaimReply &Reply,
                                 model::TimePoint Now, ports::EffectList &Out) {
  if (Reply.m_Verdict == ClaimVerdictKind::NotOwner) {
    redirect(Request->second.m_Delivery, From, Reply, Now);
    return;
  }
  const PendingRequest &Open = Request->second;
  ports::ClaimVerdict Verdict{Open.m_Request, Reply.m_Verdict, Reply.m_Status,
                              Reply.m_Answer};
  const bool Granted = Reply.m_Verdict == ClaimVerdictKind::Granted;
  if (Granted && Now < Open.m_Deadline) {
    ++m_Counts.m_Granted;
    m_Running[Open.m_Request] = {Request->first, Open.m_Delivery.m_KeyHash,
                                 Now};
    m_ClaimRequestIds.erase(Open.m_Request);
    m_Requests.erase(Request);
    Out.push_back(std::move(Verdict));
    return;
  }
  // After a pause of this process, the deadline may have passed.
  if (Granted)
    Verdict.m_Kind = ClaimVerdictKind::Unavailable;
  if (Verdict.m_Kind == ClaimVerdictKind::Unavailable)
    ++m_Counts.m_Unavailable;
  else
    ++m_Counts.m_Repeats;
  abandon(Request, Granted, Now);
  Out.push_back(std::move(Verdict));
}

void ClaimClient::onOutcomeReply(const model::NodeId &From,
                                 const ports::ClaimReply &Reply,
                                 model::TimePoint Now) {
  auto Found = m_Outcomes.find(Reply.m_ClaimRequestId);
  if (Found == m_Outcomes.end() || Found->second.m_AwaitsLateGrant)
    return;
  PendingOutcome &Outcome = Found->second;
  if (Reply.m_Verdict == ClaimVerdictKind::NotOwner) {
    redirect(Outcome.m_Delivery, From, Reply, Now);
    return;
  }
  if (Outcome.m_State == ClaimState::Done) {
    if (Reply.m_Verdict != ClaimVerdictKind::Done)
      ++m_Counts.m_OutcomesLost;
    m_Outcomes.erase(Found);
    return;
  }
  // Kept for a while: a delayed copy of the claim request may still be granted.
  Outcome.m_AwaitsLateGrant = true;
  Outcome.m_Delivery.m_StartedAt = Now;
}

void ClaimClient::redirect(Delivery &D, const model::NodeId &From,
                           const ports::ClaimReply &Reply,
                           model::TimePoint Now) {
  if (Reply.m_Owner.empty() || Reply.m_Owner == From)
    return;
  D.m_OwnerHint = Reply.m_Owner;
  if (D.m_SendCount <= MaxPromptRedirects)
    D.m_NextSendAt = std::min(D.m_NextSendAt, Now + RedirectDelay);
  wakeAt(D.m_NextSendAt);
}

void ClaimClient::abandon(RequestMap::iterator Request, bool MayBeHeld,
                          model::TimePoint Now) {
  PendingOutcome Outcome;
  Outcome.m_Delivery.m_KeyHash = Request->second.m_Delivery.m_KeyHash;
  Outcome.m_Delivery.m_StartedAt = Now;
  Outcome.m_Delivery.m_NextSendAt = Now;
  Outcome.m_State = ClaimState::Released;
  Outcome.m_AwaitsLateGrant = !MayBeHeld;
  const uint64_t ClaimRequestId = Request->first;
  m_ClaimRequestIds.erase(Request->second.m_Request);
  m_Requests.erase(Request);
  addOutcome(ClaimRequestId, std::move(Outcome));
}

void ClaimClient::addOutcome(uint64_t ClaimRequestId, PendingOutcome Outcome) {
  if (m_Outcomes.size() >= m_Settings.m_MaxPendingOutcomes) {
    // The key of the dropped outcome stays Pending.
    auto Dropped = evictionCandidate();
    if (!Dropped->second.m_AwaitsLateGrant)
      ++m_Counts.m_OutcomesLost;
    m_Outcomes.erase(Dropped);
  }
  wakeAt(Outcome.m_Delivery.m_NextSendAt);
  m_Outcomes.emplace(ClaimRequestId, std::move(Outcome));
}

ClaimClient::OutcomeMap::iterator ClaimClient::evictionCandidate() {
  auto Found =
      std::find_if(m_Outcomes.begin(), m_Outcomes.end(), [](const auto &Entry) {
        return Entry.second.m_AwaitsLateGrant;
      });
  if (Found != m_Outcomes.end())
    return Found;
  Found =
      std::find_if(m_Outcomes.begin(), m_Outcomes.end(), [](const auto &Entry) {
        return Entry.second.m_State == ClaimState::Released;
      });
  return Found != m_Outcomes.end() ? Found : m_Outcomes.begin();
}

void ClaimClient::advance(const ShardCandidates &Candidates,
                          model::TimePoint Now, OwnerMessages &ToOwners,
                          ports::EffectList &Out) {
  sendNewRequests(Candidates, Now, ToOwners);
  if (Now < m_WakeAt || Now < m_NextScanAt)
    return;
  m_WakeAt = model::TimePoint::max();
  m_NextScanAt = Now + ScanPeriod;
  expireRequests(Now, Out);
  expireAbandoned(Now);
  expireRuns(Now);
  sendDueRequests(Candidates, Now, ToOwners);
  sendDueOutcomes(Candidates, Now, ToOwners);
}

void ClaimClient::sendNewRequests(const ShardCandidates &Candidates,
                                  model::TimePoint Now,
                                  OwnerMessages &ToOwners) {
  for (const uint64_t ClaimRequestId : std::exchange(m_NewRequests, {})) {
    auto Request = m_Requests.find(ClaimRequestId);
    if (Request != m_Requests.end())
      sendRequest(*Request, Candidates, Now, ToOwners);
  }
}

void ClaimClient::sendRequest(RequestMap::value_type &Entry,
                              const ShardCandidates &Candidates,
                              model::TimePoint Now, OwnerMessages &ToOwners) {
  PendingRequest &Request = Entry.second;
  wakeAt(Request.m_Deadline);
  ports::ClaimRequest Message;
  const model::NodeId To =
      target(Request.m_Delivery, Candidates, Message.m_Rank, Now);
  scheduleResend(Request.m_Delivery, Now);
  if (To.empty())
    return;
  Message.m_ClaimRequestId = Entry.first;
  Message.m_KeyHash = Request.m_Delivery.m_KeyHash;
  Message.m_BodyHash = Request.m_BodyHash;
  Message.m_WindowMicros =
      static_cast<uint64_t>((Request.m_Deadline - Now).count());
  ToOwners.push_back({To, Message});
}

void ClaimClient::sendDueRequests(const ShardCandidates &Candidates,
                                  model::TimePoint Now,
                                  OwnerMessages &ToOwners) {
  for (RequestMap::value_type &Entry : m_Requests) {
    wakeAt(Entry.second.m_Deadline);
    if (isDue(Entry.second.m_Delivery, Now))
      sendRequest(Entry, Candidates, Now, ToOwners);
  }
}

void ClaimClient::sendDueOutcomes(const ShardCandidates &Candidates,
                                  model::TimePoint Now,
                                  OwnerMessages &ToOwners) {
  for (auto &Entry : m_Outcomes) {
    PendingOutcome &Outcome = Entry.second;
    if (Outcome.m_AwaitsLateGrant || !isDue(Outcome.m_Delivery, Now))
      continue;
    uint32_t Rank = 0;
    const model::NodeId To = target(Outcome.m_Delivery, Candidates, Rank, Now);
    scheduleResend(Outcome.m_Delivery, Now);
    if (To.empty())
      continue;
    ports::ClaimOutcome Message;
    Message.m_ClaimRequestId = Entry.first;
    Message.m_KeyHash = Outcome.m_Delivery.m_KeyHash;
    Message.m_State = Outcome.m_State;
    Message.m_Status = Outcome.m_Status;
    Message.m_Answer = Outcome.m_Answer;
    ToOwners.push_back({To, std::move(Message)});
  }
}

void ClaimClient::expireRequests(model::TimePoint Now, ports::EffectList &Out) {
  for (auto It = m_Requests.begin(); It != m_Requests.end();) {
    auto Request = It++;
    if (Now < Request->second.m_Deadline)
      continue;
    ++m_Counts.m_Unavailable;
    Out.push_back(ports::ClaimVerdict{Request->second.m_Request});
    abandon(Request, Request->second.m_Delivery.m_SendCount > 0, Now);
  }
}

void ClaimClient::expireAbandoned(model::TimePoint Now) {
  std::erase_if(m_Outcomes, [&](const auto &Entry) {
    return Entry.second.m_AwaitsLateGrant &&
           Now - Entry.second.m_Delivery.m_StartedAt >
               m_Settings.m_AbandonedRetention;
  });
}

void ClaimClient::expireRuns(model::TimePoint Now) {
  std::erase_if(m_Running, [&](const auto &Entry) {
    return Now - Entry.second.m_GrantedAt > m_Settings.m_ClaimLifetime;
  });
}

bool ClaimClient::isDue(Delivery &D, model::TimePoint Now) {
  if (Now >= D.m_NextSendAt)
    return true;
  wakeAt(D.m_NextSendAt);
  return false;
}

model::NodeId ClaimClient::target(Delivery &D,
                                  const ShardCandidates &Candidates,
                                  uint32_t &Rank, model::TimePoint Now) const {
  const std::vector<model::NodeId> &Ranked =
      Candidates.of(shardOf(D.m_KeyHash));
  if (Ranked.empty())
    return {};
  if (!D.m_OwnerHint.empty()) {
    model::NodeId To = D.m_OwnerHint;
    D.m_OwnerHint = {};
    return To;
  }
  const uint64_t Passed = static_cast<uint64_t>((Now - D.m_StartedAt) /
                                                m_Settings.m_FailoverTimeout);
  Rank = static_cast<uint32_t>(Passed % Ranked.size());
  return Ranked[Rank];
}

void ClaimClient::scheduleResend(Delivery &D, model::TimePoint Now) {
  const model::Duration MaxDelay = leases::exponentialBackoff(
      m_Settings.m_ResendBase, D.m_SendCount, m_Settings.m_ResendMax);
  // At least half the back-off, so that an owner that is still committing gets
  // no immediate resend.
  D.m_NextSendAt =
      Now + MaxDelay / 2 + leases::fullJitter(MaxDelay / 2, m_Random);
  ++D.m_SendCount;
  wakeAt(D.m_NextSendAt);
}

bool ClaimClient::isIdle() const {
  const bool Unrecorded =
      std::any_of(m_Outcomes.begin(), m_Outcomes.end(), [](const auto &Entry) {
        return !Entry.second.m_AwaitsLateGrant;
      });
  return m_Requests.empty() && !Unrecorded;
}

} // namespace bronzepass::core::claims
