#include "Core/Claims/ClaimShard.h"

#include <algorithm>

namespace bronzepass::core::claims {

using model::ClaimState;
using ports::ClaimReply;
using ports::ClaimVerdictKind;

namespace {

ClaimReply replyTo(const WaitingRequest &Request, ClaimVerdictKind Verdict) {
  return {.m_ClaimRequestId = Request.m_RequestRef.m_ClaimRequestId,
          .m_Verdict = Verdict};
}

ClaimReply replyTo(const WaitingOutcome &Outcome, ClaimVerdictKind Verdict) {
  return {.m_ClaimRequestId = Outcome.m_RequestRef.m_ClaimRequestId,
          .m_Verdict = Verdict,
          .m_IsOutcomeReply = true};
}

bool isClaimOf(const model::ClaimRecord &Claim,
               const ClaimRequestRef &Request) {
  return Claim.m_ClaimRequestId == Request.m_ClaimRequestId &&
         Claim.m_Runner == Request.m_Runner;
}

/// Removes the elements of \p Waiting for which \p Answer returns true; skips
/// the first \p Evaluated, which were evaluated before.
template <typename T, typename Answerer>
void evaluate(std::vector<T> &Waiting, size_t &Evaluated, Answerer Answer) {
  const auto First = Waiting.begin() + std::min(Evaluated, Waiting.size());
  Waiting.erase(std::remove_if(First, Waiting.end(), Answer), Waiting.end());
  Evaluated = Waiting.size();
}

} // namespace

ClaimShard::ClaimShard(uint32_t Shard, const ClaimSettings &Settings,
                       const model::NodeId &Self, ports::Random &Source)
    : m_Settings(Settings), m_Object(Shard, Settings, Self, Source) {}

bool ClaimShard::isIdle() const { return !hasWork() && !m_Object.isCalling(); }

bool ClaimShard::isFresh(model::TimePoint Now) const {
  return Now - m_Object.verifiedAt() <= m_Settings.m_MaxStateAge;
}

const model::ClaimRecord *ClaimShard::findCurrent(uint64_t KeyHash,
                                                  model::TimePoint Now) const {
  return m_Object.history().find(KeyHash, Now - m_Settings.m_ClaimLifetime);
}

void ClaimShard::addRequest(const WaitingRequest &Request, model::TimePoint Now,
                            ShardOutput &Out) {
  m_LastUsedAt = Now;
  for (const WaitingRequest &Other : m_Requests)
    if (Other.m_RequestRef == Request.m_RequestRef)
      return;
  // This is a delayed copy of a claim request that has ended.
  for (const WaitingOutcome &Ended : m_Outcomes)
    if (Ended.m_RequestRef == Request.m_RequestRef)
      return;
  if (m_Requests.size() < m_Settings.m_MaxWaitingPerShard) {
    m_Requests.push_back(Request);
    return;
  }
  Out.m_Replies.push_back({Request.m_RequestRef.m_Runner,
                           replyTo(Request, ClaimVerdictKind::Unavailable)});
}

void ClaimShard::addOutcome(const WaitingOutcome &Outcome,
                            model::TimePoint Now) {
  if (Outcome.m_State == ClaimState::Claimed)
    return;
  m_LastUsedAt = Now;
  m_EvaluatedRequests = 0;
  std::erase_if(m_Requests, [&Outcome](const WaitingRequest &Request) {
    return Request.m_RequestRef == Outcome.m_RequestRef;
  });
  for (const WaitingOutcome &Other : m_Outcomes)
    if (Other.m_RequestRef == Outcome.m_RequestRef)
      return;
  if (m_Outcomes.size() < m_Settings.m_MaxWaitingPerShard)
    m_Outcomes.push_back(Outcome);
}

void ClaimShard::advance(model::TimePoint Now, const LivePredicate &IsLive,
                         ShardOutput &Out) {
  if (m_Object.hasOtherShardCount())
    refuseAll(Out);
  dropExpiredRequests(Now, Out);
  if (m_Object.isCalling() || (!hasWork() && !m_Object.isSealed()))
    return;
  m_LastUsedAt = Now;
  m_ReadNeeded = false;
  if (m_Object.isKnown()) {
    answerRequests(Now, IsLive, Out);
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
  if (!m_Object.isKnown() || m_ReadNeeded)
    Out.m_Call = m_Object.read(Now);
}

void ClaimShard::refuseAll(ShardOutput &Out) {
  for (const WaitingRequest &Request : m_Requests)
    Out.m_Replies.push_back({Request.m_RequestRef.m_Runner,
                             replyTo(Request, ClaimVerdictKind::Unavailable)});
  m_Requests.clear();
  m_Outcomes.clear();
}

void ClaimShard::dropExpiredRequests(model::TimePoint Now, ShardOutput &Out) {
  const size_t Dropped =
      std::erase_if(m_Requests, [&](const WaitingRequest &Request) {
        if (Now < Request.m_Deadline)
          return false;
        // Its grant is sent all the same; the requester will release it.
        if (m_Object.isKnown() && m_Object.history().isHeldBy(
                                      Request.m_KeyHash, Request.m_RequestRef))
          return false;
        // While its claim may still be written, only the requester can abandon
        // it.
        if (!Request.m_MayBeWritten)
          Out.m_Replies.push_back(
              {Request.m_RequestRef.m_Runner,
               replyTo(Request, ClaimVerdictKind::Unavailable)});
        return true;
      });
  if (Dropped > 0)
    m_EvaluatedRequests = 0;
}

void ClaimShard::answerRequests(model::TimePoint Now,
                                const LivePredicate &IsLive, ShardOutput &Out) {
  evaluate(m_Requests, m_EvaluatedRequests, [&](const WaitingRequest &Request) {
    const std::optional<ClaimReply> Reply = verdictOf(Request, Now, IsLive);
    if (Reply)
      Out.m_Replies.push_back({Request.m_RequestRef.m_Runner, *Reply});
    return Reply.has_value();
  });
}

std::optional<ClaimReply> ClaimShard::verdictOf(const WaitingRequest &Request,
                                                model::TimePoint Now,
                                                const LivePredicate &IsLive) {
  const model::ClaimRecord *Claim = findCurrent(Request.m_KeyHash, Now);
  if (!Claim)
    return std::nullopt;
  if (m_Object.history().isHeldBy(Request.m_KeyHash, Request.m_RequestRef))
    return replyTo(Request, ClaimVerdictKind::Granted);
  const bool Same = Claim->m_BodyHash == Request.m_BodyHash;
  if (Same && Claim->m_State == ClaimState::Done) {
    ClaimReply Reply = replyTo(Request, ClaimVerdictKind::Done);
    Reply.m_Status = Claim->m_Status;
    Reply.m_Answer = Claim->m_Answer;
    return Reply;
  }
  // Another owner may have recorded an outcome or a release since.
  if (!isFresh(Now)) {
    m_ReadNeeded = true;
    return std::nullopt;
  }
  if (!Same)
    return replyTo(Request, ClaimVerdictKind::Mismatch);
  if (Now < Request.m_HoldUntil && IsLive(Claim->m_Runner))
    return std::nullopt;
  return replyTo(Request, ClaimVerdictKind::Pending);
}

void ClaimShard::answerOutcomes(ShardOutput &Out) {
  evaluate(m_Outcomes, m_EvaluatedOutcomes, [&](const WaitingOutcome &Outcome) {
    const std::optional<ClaimReply> Reply = verdictOf(Outcome);
    if (Reply)
      Out.m_Replies.push_back({Outcome.m_RequestRef.m_Runner, *Reply});
    return Reply.has_value();
  });
}

std::optional<ClaimReply> ClaimShard::verdictOf(const WaitingOutcome &Outcome) {
  const ClaimHistory &History = m_Object.history();
  if (History.isHeldBy(Outcome.m_KeyHash, Outcome.m_RequestRef))
    return std::nullopt;
  const model::ClaimRecord *Claim =
      History.find(Outcome.m_KeyHash, model::TimePoint());
  if (Claim && isClaimOf(*Claim, Outcome.m_RequestRef))
    return replyTo(Outcome, ClaimVerdictKind::Done);
  // The claim request is known to hold nothing only by a state read after the
  // outcome arrived, and once no write with an unknown result can change it.
  const bool Older = m_Object.verifiedAt() < Outcome.m_ArrivedAt;
  m_ReadNeeded = m_ReadNeeded || Older;
  if (Older || m_Object.hasUnknownWrite())
    return std::nullopt;
  return replyTo(Outcome, ClaimVerdictKind::Unavailable);
}

bool ClaimShard::isCommitDue(model::TimePoint Now) const {
  if (!m_Object.mayWrite(Now))
    return false;
  for (const WaitingRequest &Request : m_Requests)
    if (!findCurrent(Request.m_KeyHash, Now))
      return true;
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    const bool Holds =
        m_Object.history().isHeldBy(Outcome.m_KeyHash, Outcome.m_RequestRef);
    const bool Waited = Now >= Outcome.m_ArrivedAt + m_Settings.m_OutcomeDelay;
    if (Holds ? Waited : m_Object.hasUnknownWrite())
      return true;
  }
  return false;
}

void ClaimShard::startCommit(model::TimePoint Now, ShardOutput &Out) {
  ClaimHistory Draft = m_Object.makeDraft(Now);
  const bool Ended = draftOutcomes(Draft);
  const bool Taken = draftClaims(Draft, Now, Out);
  // Any later write, even one without changes, prevents a write with an unknown
  // result from taking effect.
  if (Ended || Taken || m_Object.hasUnknownWrite() || m_Object.isSealed())
    Out.m_Call = m_Object.commit(std::move(Draft), Now);
  else
    m_Object.countWrite(Now);
}

bool ClaimShard::draftOutcomes(ClaimHistory &Draft) {
  bool Changed = false;
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    const uint64_t Key = Outcome.m_KeyHash;
    if (!Draft.isHeldBy(Key, Outcome.m_RequestRef))
      continue;
    const bool Recorded = Outcome.m_State == ClaimState::Done
                              ? Draft.complete(Key, Outcome.m_Status,
                                               Outcome.m_Answer, m_Settings)
                              : Draft.release(Key, m_Settings);
    Changed = Changed || Recorded;
  }
  return Changed;
}

bool ClaimShard::draftClaims(ClaimHistory &Draft, model::TimePoint Now,
                             ShardOutput &Out) {
  bool Changed = false;
  m_EvaluatedRequests = 0;
  std::erase_if(m_Requests, [&](WaitingRequest &Request) {
    if (Draft.find(Request.m_KeyHash, Now - m_Settings.m_ClaimLifetime))
      return false;
    const model::ClaimRecord Claim{.m_KeyHash = Request.m_KeyHash,
                                   .m_BodyHash = Request.m_BodyHash,
                                   .m_Runner = Request.m_RequestRef.m_Runner,
                                   .m_ClaimRequestId =
                                       Request.m_RequestRef.m_ClaimRequestId,
                                   .m_TakenAt = Now};
    if (Draft.take(Claim, m_Settings)) {
      Request.m_MayBeWritten = true;
      Changed = true;
      return false;
    }
    Out.m_Decisions.push_back(m_Object.decision("refuse", "the shard is full"));
    if (!Request.m_MayBeWritten)
      Out.m_Replies.push_back(
          {Request.m_RequestRef.m_Runner,
           replyTo(Request, ClaimVerdictKind::Unavailable)});
    return true;
  });
  return Changed;
}

void ClaimShard::onAnswer(const ports::StoreAnswer &Answer,
                          model::TimePoint Now, ShardOutput &Out) {
  reevaluateAll();
  m_Object.onAnswer(Answer, Now);
  for (model::Decision &Line : m_Object.takeDecisions())
    Out.m_Decisions.push_back(std::move(Line));
  Out.m_Deletions = m_Object.takeDeletions();
  if (!m_Object.isKnown() || m_Object.hasUnknownWrite())
    return;
  for (WaitingRequest &Request : m_Requests)
    Request.m_MayBeWritten = false;
}

} // namespace bronzepass::core::claims
