#include "Core/Claims/ClaimShard.h"

#include <algorithm>

namespace bronzepass::core::claims {

using model::ClaimState;
using ports::ClaimReply;
using ports::ClaimVerdictKind;

namespace {

ClaimReply replyTo(const WaitingAsk &Ask, ClaimVerdictKind Verdict) {
  return {.m_ClaimRequestId = Ask.m_Ask.m_ClaimRequestId, .m_Verdict = Verdict};
}

ClaimReply replyTo(const WaitingOutcome &Outcome, ClaimVerdictKind Verdict) {
  return {.m_ClaimRequestId = Outcome.m_Ask.m_ClaimRequestId,
          .m_Verdict = Verdict,
          .m_IsOutcomeReply = true};
}

bool isOf(const model::ClaimRecord &Claim, const AskRef &Ask) {
  return Claim.m_ClaimRequestId == Ask.m_ClaimRequestId &&
         Claim.m_Runner == Ask.m_Runner;
}

/// Removes those of \p Waiting that \p Answer says are answered; the first
/// \p Judged of them were judged before.
template <typename T, typename Answerer>
void judge(std::vector<T> &Waiting, size_t &Judged, Answerer Answer) {
  const auto First = Waiting.begin() + std::min(Judged, Waiting.size());
  Waiting.erase(std::remove_if(First, Waiting.end(), Answer), Waiting.end());
  Judged = Waiting.size();
}

} // namespace

ClaimShard::ClaimShard(uint32_t Shard, const ClaimSettings &Settings,
                       const model::NodeId &Self, ports::Random &Source)
    : m_Settings(Settings), m_Object(Shard, Settings, Self, Source) {}

bool ClaimShard::isIdle() const { return !hasWork() && !m_Object.isCalling(); }

bool ClaimShard::isFresh(model::TimePoint Now) const {
  return Now - m_Object.verifiedAt() <= m_Settings.m_FreshFor;
}

const model::ClaimRecord *ClaimShard::findCurrent(uint64_t KeyHash,
                                                  model::TimePoint Now) const {
  return m_Object.history().find(KeyHash, Now - m_Settings.m_Expiry);
}

void ClaimShard::addAsk(const WaitingAsk &Ask, model::TimePoint Now,
                        ShardOutput &Out) {
  m_LastUsedAt = Now;
  for (const WaitingAsk &Other : m_Asks)
    if (Other.m_Ask == Ask.m_Ask)
      return;
  // A late copy of an ask that has ended.
  for (const WaitingOutcome &Ended : m_Outcomes)
    if (Ended.m_Ask == Ask.m_Ask)
      return;
  if (m_Asks.size() < m_Settings.m_MaxWaitingPerShard) {
    m_Asks.push_back(Ask);
    return;
  }
  Out.m_Replies.push_back(
      {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
}

void ClaimShard::addOutcome(const WaitingOutcome &Outcome,
                            model::TimePoint Now) {
  if (Outcome.m_State == ClaimState::Claimed)
    return;
  m_LastUsedAt = Now;
  m_JudgedAsks = 0;
  std::erase_if(m_Asks, [&Outcome](const WaitingAsk &Ask) {
    return Ask.m_Ask == Outcome.m_Ask;
  });
  for (const WaitingOutcome &Other : m_Outcomes)
    if (Other.m_Ask == Outcome.m_Ask)
      return;
  if (m_Outcomes.size() < m_Settings.m_MaxWaitingPerShard)
    m_Outcomes.push_back(Outcome);
}

void ClaimShard::advance(model::TimePoint Now, const LivePredicate &IsLive,
                         ShardOutput &Out) {
  if (m_Object.isForeign())
    refuseAll(Out);
  dropLateAsks(Now, Out);
  if (m_Object.isCalling() || (!hasWork() && !m_Object.isSealed()))
    return;
  m_LastUsedAt = Now;
  m_ReadWanted = false;
  if (m_Object.isKnown()) {
    answerAsks(Now, IsLive, Out);
    answerOutcomes(Out);
  }
  if (m_Object.mayCall(Now))
    startCall(Now, Out);
}

void ClaimShard::startCall(model::TimePoint Now, ShardOutput &Out) {
  if (m_Object.isKnown()) {
    if (m_Object.isSealDue(Now))
      Out.m_Call = m_Object.seal();
    else if (m_Object.isSealed() || isCommitDue(Now))
      startCommit(Now, Out);
  }
  if (Out.m_Call || !hasWork())
    return;
  if (!m_Object.isKnown() || m_ReadWanted)
    Out.m_Call = m_Object.read(Now);
}

void ClaimShard::refuseAll(ShardOutput &Out) {
  for (const WaitingAsk &Ask : m_Asks)
    Out.m_Replies.push_back(
        {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
  m_Asks.clear();
  m_Outcomes.clear();
}

void ClaimShard::dropLateAsks(model::TimePoint Now, ShardOutput &Out) {
  const size_t Dropped = std::erase_if(m_Asks, [&](const WaitingAsk &Ask) {
    if (Now < Ask.m_Until)
      return false;
    // Its grant is sent all the same: the asker will release it.
    if (m_Object.isKnown() &&
        m_Object.history().isHeldBy(Ask.m_KeyHash, Ask.m_Ask))
      return false;
    // While its claim may yet be written, only the asker can give it up.
    if (!Ask.m_MayBeWritten)
      Out.m_Replies.push_back(
          {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
    return true;
  });
  if (Dropped > 0)
    m_JudgedAsks = 0;
}

void ClaimShard::answerAsks(model::TimePoint Now, const LivePredicate &IsLive,
                            ShardOutput &Out) {
  judge(m_Asks, m_JudgedAsks, [&](const WaitingAsk &Ask) {
    const std::optional<ClaimReply> Reply = verdictOf(Ask, Now, IsLive);
    if (Reply)
      Out.m_Replies.push_back({Ask.m_Ask.m_Runner, *Reply});
    return Reply.has_value();
  });
}

std::optional<ClaimReply> ClaimShard::verdictOf(const WaitingAsk &Ask,
                                                model::TimePoint Now,
                                                const LivePredicate &IsLive) {
  const model::ClaimRecord *Claim = findCurrent(Ask.m_KeyHash, Now);
  if (!Claim)
    return std::nullopt;
  if (m_Object.history().isHeldBy(Ask.m_KeyHash, Ask.m_Ask))
    return replyTo(Ask, ClaimVerdictKind::Granted);
  const bool Same = Claim->m_BodyHash == Ask.m_BodyHash;
  if (Same && Claim->m_State == ClaimState::Done) {
    ClaimReply Reply = replyTo(Ask, ClaimVerdictKind::Done);
    Reply.m_Status = Claim->m_Status;
    Reply.m_Answer = Claim->m_Answer;
    return Reply;
  }
  // Another owner may have recorded an outcome or a release since.
  if (!isFresh(Now)) {
    m_ReadWanted = true;
    return std::nullopt;
  }
  if (!Same)
    return replyTo(Ask, ClaimVerdictKind::Mismatch);
  if (Now < Ask.m_HoldUntil && IsLive(Claim->m_Runner))
    return std::nullopt;
  return replyTo(Ask, ClaimVerdictKind::Pending);
}

void ClaimShard::answerOutcomes(ShardOutput &Out) {
  judge(m_Outcomes, m_JudgedOutcomes, [&](const WaitingOutcome &Outcome) {
    const std::optional<ClaimReply> Reply = verdictOf(Outcome);
    if (Reply)
      Out.m_Replies.push_back({Outcome.m_Ask.m_Runner, *Reply});
    return Reply.has_value();
  });
}

std::optional<ClaimReply> ClaimShard::verdictOf(const WaitingOutcome &Outcome) {
  const ClaimHistory &History = m_Object.history();
  if (History.isHeldBy(Outcome.m_KeyHash, Outcome.m_Ask))
    return std::nullopt;
  const model::ClaimRecord *Claim =
      History.find(Outcome.m_KeyHash, model::TimePoint());
  if (Claim && isOf(*Claim, Outcome.m_Ask))
    return replyTo(Outcome, ClaimVerdictKind::Done);
  // That the ask holds nothing is believed only of a state read since, and
  // once no lost write can change it.
  const bool Older = m_Object.verifiedAt() < Outcome.m_ArrivedAt;
  m_ReadWanted = m_ReadWanted || Older;
  if (Older || m_Object.hasLostWrite())
    return std::nullopt;
  return replyTo(Outcome, ClaimVerdictKind::Unavailable);
}

bool ClaimShard::isCommitDue(model::TimePoint Now) const {
  if (!m_Object.mayWrite(Now))
    return false;
  for (const WaitingAsk &Ask : m_Asks)
    if (!findCurrent(Ask.m_KeyHash, Now))
      return true;
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    const bool Holds =
        m_Object.history().isHeldBy(Outcome.m_KeyHash, Outcome.m_Ask);
    const bool Waited = Now >= Outcome.m_ArrivedAt + m_Settings.m_OutcomeDelay;
    if (Holds ? Waited : m_Object.hasLostWrite())
      return true;
  }
  return false;
}

void ClaimShard::startCommit(model::TimePoint Now, ShardOutput &Out) {
  ClaimHistory Draft = m_Object.makeDraft(Now);
  const bool Ended = draftOutcomes(Draft);
  const bool Taken = draftAsks(Draft, Now, Out);
  // A lost write is made harmless by any later one, be it without a change.
  if (Ended || Taken || m_Object.hasLostWrite() || m_Object.isSealed())
    Out.m_Call = m_Object.commit(std::move(Draft), Now);
  else
    m_Object.spendWrite(Now);
}

bool ClaimShard::draftOutcomes(ClaimHistory &Draft) {
  bool Changed = false;
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    const uint64_t Key = Outcome.m_KeyHash;
    if (!Draft.isHeldBy(Key, Outcome.m_Ask))
      continue;
    const bool Recorded = Outcome.m_State == ClaimState::Done
                              ? Draft.complete(Key, Outcome.m_Status,
                                               Outcome.m_Answer, m_Settings)
                              : Draft.release(Key, m_Settings);
    Changed = Changed || Recorded;
  }
  return Changed;
}

bool ClaimShard::draftAsks(ClaimHistory &Draft, model::TimePoint Now,
                           ShardOutput &Out) {
  bool Changed = false;
  m_JudgedAsks = 0;
  std::erase_if(m_Asks, [&](WaitingAsk &Ask) {
    if (Draft.find(Ask.m_KeyHash, Now - m_Settings.m_Expiry))
      return false;
    const model::ClaimRecord Claim{.m_KeyHash = Ask.m_KeyHash,
                                   .m_BodyHash = Ask.m_BodyHash,
                                   .m_Runner = Ask.m_Ask.m_Runner,
                                   .m_ClaimRequestId =
                                       Ask.m_Ask.m_ClaimRequestId,
                                   .m_TakenAt = Now};
    if (Draft.take(Claim, m_Settings)) {
      Ask.m_MayBeWritten = true;
      Changed = true;
      return false;
    }
    Out.m_Decisions.push_back(m_Object.decision("refuse", "the shard is full"));
    if (!Ask.m_MayBeWritten)
      Out.m_Replies.push_back(
          {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
    return true;
  });
  return Changed;
}

void ClaimShard::onAnswer(const ports::StoreAnswer &Answer,
                          model::TimePoint Now, ShardOutput &Out) {
  judgeAnew();
  m_Object.onAnswer(Answer, Now);
  for (model::Decision &Line : m_Object.takeDecisions())
    Out.m_Decisions.push_back(std::move(Line));
  Out.m_Deletions = m_Object.takeDeletions();
  if (!m_Object.isKnown() || m_Object.hasLostWrite())
    return;
  for (WaitingAsk &Ask : m_Asks)
    Ask.m_MayBeWritten = false;
}

} // namespace bronzepass::core::claims
