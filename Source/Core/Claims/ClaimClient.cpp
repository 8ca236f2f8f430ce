#include "Core/Claims/ClaimClient.h"

#include "Core/Leases/CircuitBreaker.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

using model::ClaimState;
using ports::ClaimVerdictKind;

namespace {

constexpr model::Duration RedirectDelay = std::chrono::milliseconds(5);
/// Redirects in a row after which the ordinary back-off applies, so that two
/// nodes that point at each other do not keep the link busy.
constexpr uint32_t PromptRedirects = 3;

/// Resends and time-outs are looked for at most this often, whatever comes in.
constexpr model::Duration ScanPeriod = std::chrono::milliseconds(10);

} // namespace

void ClaimClient::onWanted(const ports::ClaimRequested &Wanted,
                         model::TimePoint Now, ports::EffectList &Out) {
  if (m_AskOf.contains(Wanted.m_Request))
    return;
  const model::TimePoint LatestDeadline = Now + m_Settings.m_Expiry / 2;
  const model::TimePoint Deadline =
      std::min(Wanted.m_Deadline, LatestDeadline) - m_Settings.m_ServeMargin;
  if (Now >= Deadline || m_Asks.size() >= m_Settings.m_MaxOpenAsks) {
    ++m_Counts.m_Unavailable;
    Out.push_back(ports::ClaimVerdict{Wanted.m_Request});
    return;
  }
  OpenAsk Ask;
  Ask.m_Delivery.m_KeyHash = Wanted.m_KeyHash;
  Ask.m_Delivery.m_StartedAt = Now;
  Ask.m_Delivery.m_NextSendAt = Now;
  Ask.m_Request = Wanted.m_Request;
  Ask.m_BodyHash = Wanted.m_BodyHash;
  Ask.m_Deadline = Deadline;
  m_AskOf[Wanted.m_Request] = ++m_LastAskId;
  m_Asks.emplace(m_LastAskId, Ask);
  m_NewAsks.push_back(m_LastAskId);
}

void ClaimClient::onEnded(const ports::ClaimEnded &Ended, model::TimePoint Now) {
  auto Found = m_Running.find(Ended.m_Request);
  if (Found == m_Running.end())
    return;
  const Run Ran = Found->second;
  m_Running.erase(Found);
  // An outcome that traffic does not know leaves the key taken.
  if (Ended.m_State == ClaimState::Claimed)
    return;
  OpenOutcome Outcome;
  Outcome.m_Delivery.m_KeyHash = Ran.m_KeyHash;
  Outcome.m_Delivery.m_StartedAt = Now;
  Outcome.m_Delivery.m_NextSendAt = Now;
  Outcome.m_State = Ended.m_State;
  Outcome.m_Status = Ended.m_Status;
  if (Ended.m_Answer.size() <= m_Settings.m_MaxAnswerBytes)
    Outcome.m_Answer = Ended.m_Answer;
  addOutcome(Ran.m_ClaimRequestId, std::move(Outcome));
}

void ClaimClient::onReply(const model::NodeId &From,
                        const ports::ClaimReply &Reply, model::TimePoint Now,
                        ports::EffectList &Out) {
  if (Reply.m_IsOutcomeReply) {
    onOutcomeReply(From, Reply, Now);
    return;
  }
  auto Ask = m_Asks.find(Reply.m_ClaimRequestId);
  if (Ask != m_Asks.end()) {
    onAskReply(Ask, From, Reply, Now, Out);
    return;
  }
  auto Abandoned = m_Outcomes.find(Reply.m_ClaimRequestId);
  if (Abandoned == m_Outcomes.end() || !Abandoned->second.m_Dormant ||
      Reply.m_Verdict != ClaimVerdictKind::Granted)
    return;
  ++m_Counts.m_LateGrants;
  Abandoned->second.m_Dormant = false;
  Abandoned->second.m_Delivery.m_NextSendAt = Now;
  wakeAt(Now);
}

void ClaimClient::onAskReply(AskMap::iterator Ask, const model::NodeId &From,
                           const ports::ClaimReply &Reply, model::TimePoint Now,
                           ports::EffectList &Out) {
  if (Reply.m_Verdict == ClaimVerdictKind::NotOwner) {
    redirect(Ask->second.m_Delivery, From, Reply, Now);
    return;
  }
  const OpenAsk &Open = Ask->second;
  ports::ClaimVerdict Verdict{Open.m_Request, Reply.m_Verdict, Reply.m_Status,
                              Reply.m_Answer};
  const bool Granted = Reply.m_Verdict == ClaimVerdictKind::Granted;
  if (Granted && Now < Open.m_Deadline) {
    ++m_Counts.m_Granted;
    m_Running[Open.m_Request] = {Ask->first, Open.m_Delivery.m_KeyHash, Now};
    m_AskOf.erase(Open.m_Request);
    m_Asks.erase(Ask);
    Out.push_back(std::move(Verdict));
    return;
  }
  // A node that was paused may find the window gone.
  if (Granted)
    Verdict.m_Kind = ClaimVerdictKind::Unavailable;
  if (Verdict.m_Kind == ClaimVerdictKind::Unavailable)
    ++m_Counts.m_Unavailable;
  else
    ++m_Counts.m_Repeats;
  giveUp(Ask, Granted, Now);
  Out.push_back(std::move(Verdict));
}

void ClaimClient::onOutcomeReply(const model::NodeId &From,
                               const ports::ClaimReply &Reply,
                               model::TimePoint Now) {
  auto Found = m_Outcomes.find(Reply.m_ClaimRequestId);
  if (Found == m_Outcomes.end() || Found->second.m_Dormant)
    return;
  OpenOutcome &Outcome = Found->second;
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
  // Kept for a while: a late copy of the ask may yet be granted.
  Outcome.m_Dormant = true;
  Outcome.m_Delivery.m_StartedAt = Now;
}

void ClaimClient::redirect(Delivery &D, const model::NodeId &From,
                         const ports::ClaimReply &Reply, model::TimePoint Now) {
  if (Reply.m_Owner.empty() || Reply.m_Owner == From)
    return;
  D.m_Hint = Reply.m_Owner;
  if (D.m_Sends <= PromptRedirects)
    D.m_NextSendAt = std::min(D.m_NextSendAt, Now + RedirectDelay);
  wakeAt(D.m_NextSendAt);
}

void ClaimClient::giveUp(AskMap::iterator Ask, bool MayBeHeld,
                       model::TimePoint Now) {
  OpenOutcome Outcome;
  Outcome.m_Delivery.m_KeyHash = Ask->second.m_Delivery.m_KeyHash;
  Outcome.m_Delivery.m_StartedAt = Now;
  Outcome.m_Delivery.m_NextSendAt = Now;
  Outcome.m_State = ClaimState::Released;
  Outcome.m_Dormant = !MayBeHeld;
  const uint64_t AskId = Ask->first;
  m_AskOf.erase(Ask->second.m_Request);
  m_Asks.erase(Ask);
  addOutcome(AskId, std::move(Outcome));
}

void ClaimClient::addOutcome(uint64_t AskId, OpenOutcome Outcome) {
  if (m_Outcomes.size() >= m_Settings.m_MaxOpenOutcomes) {
    // What it would have freed or answered stays Pending.
    auto Dropped = leastMissed();
    if (!Dropped->second.m_Dormant)
      ++m_Counts.m_OutcomesLost;
    m_Outcomes.erase(Dropped);
  }
  wakeAt(Outcome.m_Delivery.m_NextSendAt);
  m_Outcomes.emplace(AskId, std::move(Outcome));
}

ClaimClient::OutcomeMap::iterator ClaimClient::leastMissed() {
  auto Found =
      std::find_if(m_Outcomes.begin(), m_Outcomes.end(),
                   [](const auto &Entry) { return Entry.second.m_Dormant; });
  if (Found != m_Outcomes.end())
    return Found;
  Found =
      std::find_if(m_Outcomes.begin(), m_Outcomes.end(), [](const auto &Entry) {
        return Entry.second.m_State == ClaimState::Released;
      });
  return Found != m_Outcomes.end() ? Found : m_Outcomes.begin();
}

void ClaimClient::advance(const ShardCandidates &Candidates, model::TimePoint Now,
                        Sends &ToOwners, ports::EffectList &Out) {
  sendNew(Candidates, Now, ToOwners);
  if (Now < m_WakeAt || Now < m_NextScanAt)
    return;
  m_WakeAt = model::TimePoint::max();
  m_NextScanAt = Now + ScanPeriod;
  expireAsks(Now, Out);
  expireDormant(Now);
  expireRuns(Now);
  sendAsks(Candidates, Now, ToOwners);
  sendOutcomes(Candidates, Now, ToOwners);
}

void ClaimClient::sendNew(const ShardCandidates &Candidates, model::TimePoint Now,
                        Sends &ToOwners) {
  for (const uint64_t AskId : std::exchange(m_NewAsks, {})) {
    auto Ask = m_Asks.find(AskId);
    if (Ask != m_Asks.end())
      sendAsk(*Ask, Candidates, Now, ToOwners);
  }
}

void ClaimClient::sendAsk(AskMap::value_type &Entry,
                        const ShardCandidates &Candidates, model::TimePoint Now,
                        Sends &ToOwners) {
  OpenAsk &Ask = Entry.second;
  wakeAt(Ask.m_Deadline);
  ports::ClaimRequest Message;
  const model::NodeId To =
      target(Ask.m_Delivery, Candidates, Message.m_Rank, Now);
  scheduleResend(Ask.m_Delivery, Now);
  if (To.empty())
    return;
  Message.m_ClaimRequestId = Entry.first;
  Message.m_KeyHash = Ask.m_Delivery.m_KeyHash;
  Message.m_BodyHash = Ask.m_BodyHash;
  Message.m_WindowMicros =
      static_cast<uint64_t>((Ask.m_Deadline - Now).count());
  ToOwners.push_back({To, Message});
}

void ClaimClient::sendAsks(const ShardCandidates &Candidates,
                         model::TimePoint Now, Sends &ToOwners) {
  for (AskMap::value_type &Entry : m_Asks) {
    wakeAt(Entry.second.m_Deadline);
    if (isDue(Entry.second.m_Delivery, Now))
      sendAsk(Entry, Candidates, Now, ToOwners);
  }
}

void ClaimClient::sendOutcomes(const ShardCandidates &Candidates,
                             model::TimePoint Now, Sends &ToOwners) {
  for (auto &Entry : m_Outcomes) {
    OpenOutcome &Outcome = Entry.second;
    if (Outcome.m_Dormant || !isDue(Outcome.m_Delivery, Now))
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

void ClaimClient::expireAsks(model::TimePoint Now, ports::EffectList &Out) {
  for (auto It = m_Asks.begin(); It != m_Asks.end();) {
    auto Ask = It++;
    if (Now < Ask->second.m_Deadline)
      continue;
    ++m_Counts.m_Unavailable;
    Out.push_back(ports::ClaimVerdict{Ask->second.m_Request});
    giveUp(Ask, Ask->second.m_Delivery.m_Sends > 0, Now);
  }
}

void ClaimClient::expireDormant(model::TimePoint Now) {
  std::erase_if(m_Outcomes, [&](const auto &Entry) {
    return Entry.second.m_Dormant && Now - Entry.second.m_Delivery.m_StartedAt >
                                         m_Settings.m_AbandonedFor;
  });
}

void ClaimClient::expireRuns(model::TimePoint Now) {
  std::erase_if(m_Running, [&](const auto &Entry) {
    return Now - Entry.second.m_GrantedAt > m_Settings.m_Expiry;
  });
}

bool ClaimClient::isDue(Delivery &D, model::TimePoint Now) {
  if (Now >= D.m_NextSendAt)
    return true;
  wakeAt(D.m_NextSendAt);
  return false;
}

model::NodeId ClaimClient::target(Delivery &D, const ShardCandidates &Candidates,
                                uint32_t &Rank, model::TimePoint Now) const {
  const std::vector<model::NodeId> &Ranked =
      Candidates.of(shardOf(D.m_KeyHash));
  if (Ranked.empty())
    return {};
  if (!D.m_Hint.empty()) {
    model::NodeId To = D.m_Hint;
    D.m_Hint = {};
    return To;
  }
  const uint64_t Passed = static_cast<uint64_t>((Now - D.m_StartedAt) /
                                                m_Settings.m_SilenceBeforeNext);
  Rank = static_cast<uint32_t>(Passed % Ranked.size());
  return Ranked[Rank];
}

void ClaimClient::scheduleResend(Delivery &D, model::TimePoint Now) {
  const model::Duration Most = leases::exponential(
      m_Settings.m_ResendBase, D.m_Sends, m_Settings.m_ResendMax);
  // At least half, so that an owner that is committing is not asked at once.
  D.m_NextSendAt = Now + Most / 2 + leases::fullJitter(Most / 2, m_Random);
  ++D.m_Sends;
  wakeAt(D.m_NextSendAt);
}

bool ClaimClient::isIdle() const {
  const bool Unsent =
      std::any_of(m_Outcomes.begin(), m_Outcomes.end(),
                  [](const auto &Entry) { return !Entry.second.m_Dormant; });
  return m_Asks.empty() && !Unsent;
}

} // namespace bronzepass::core::claims
