#include "Core/Claims/ClaimShard.h"

#include "Core/Leases/CircuitBreaker.h"

#include <algorithm>

namespace bronzepass::core::claims {

using model::ClaimState;
using ports::ClaimReply;
using ports::ClaimVerdictKind;
using ports::StoreStatus;
using ports::StoreVerb;

namespace {

ports::ObjectKey keyOf(uint32_t Shard) {
  std::string Digits = std::to_string(Shard);
  if (Digits.size() < 4)
    Digits.insert(0, 4 - Digits.size(), '0');
  return {ports::ObjectKind::ClaimShard, "shard-" + Digits};
}

ClaimReply replyTo(const WaitingAsk &Ask, ClaimVerdictKind Verdict) {
  return {.m_AskId = Ask.m_Ask.m_AskId, .m_Verdict = Verdict};
}

ClaimReply replyTo(const WaitingOutcome &Outcome, ClaimVerdictKind Verdict) {
  return {.m_AskId = Outcome.m_Ask.m_AskId,
          .m_Verdict = Verdict,
          .m_ToOutcome = true};
}

bool isOf(const model::ClaimRecord &Claim, const AskRef &Ask) {
  return Claim.m_AskId == Ask.m_AskId && Claim.m_Runner == Ask.m_Runner;
}

} // namespace

ClaimShard::ClaimShard(uint32_t Shard, const ClaimSettings &Settings,
                       const model::NodeId &Self, ports::Random &Source)
    : m_Shard(Shard), m_Settings(Settings), m_Self(Self), m_Random(Source),
      m_Key(keyOf(Shard)) {}

bool ClaimShard::isIdle() const { return !hasWork() && !isCalling(); }

bool ClaimShard::isFresh(model::TimePoint Now) const {
  return Now - m_VerifiedAt <= m_Settings.m_FreshFor;
}

const model::ClaimRecord *ClaimShard::findCurrent(uint64_t KeyHash,
                                                  model::TimePoint Now) const {
  const model::ClaimRecord *Claim = m_Table.find(KeyHash);
  if (Claim && Claim->m_TakenAt + m_Settings.m_Expiry < Now)
    return nullptr;
  return Claim;
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
  if (m_Foreign)
    refuseAll(Out);
  dropLateAsks(Now, Out);
  if (!hasWork() || isCalling())
    return;
  m_LastUsedAt = Now;
  if (m_Phase == Phase::Known) {
    m_ReadWanted = false;
    answerAsks(Now, IsLive, Out);
    answerOutcomes(Out);
    if (isWriteDue(Now))
      startWrite(Now, Out);
  }
  const bool Read =
      m_Phase == Phase::Unread || (m_Phase == Phase::Known && m_ReadWanted);
  if (Read && hasWork() && Now >= m_RetryAt) {
    m_CallStartedAt = Now;
    startRead(Out);
  }
}

void ClaimShard::refuseAll(ShardOutput &Out) {
  for (const WaitingAsk &Ask : m_Asks)
    Out.m_Replies.push_back(
        {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
  m_Asks.clear();
  m_Outcomes.clear();
}

void ClaimShard::dropLateAsks(model::TimePoint Now, ShardOutput &Out) {
  std::erase_if(m_Asks, [&](const WaitingAsk &Ask) {
    if (Now < Ask.m_Until)
      return false;
    // Its grant is sent all the same: the asker will release it.
    if (m_Phase == Phase::Known && m_Table.isHeldBy(Ask.m_KeyHash, Ask.m_Ask))
      return false;
    // While its claim may yet be written, only the asker can give it up.
    if (!Ask.m_MayBeWritten)
      Out.m_Replies.push_back(
          {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
    return true;
  });
}

void ClaimShard::answerAsks(model::TimePoint Now, const LivePredicate &IsLive,
                            ShardOutput &Out) {
  std::erase_if(m_Asks, [&](const WaitingAsk &Ask) {
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
  if (m_Table.isHeldBy(Ask.m_KeyHash, Ask.m_Ask))
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
  std::erase_if(m_Outcomes, [&](const WaitingOutcome &Outcome) {
    const std::optional<ClaimReply> Reply = verdictOf(Outcome);
    if (Reply)
      Out.m_Replies.push_back({Outcome.m_Ask.m_Runner, *Reply});
    return Reply.has_value();
  });
}

std::optional<ClaimReply> ClaimShard::verdictOf(const WaitingOutcome &Outcome) {
  if (m_Table.isHeldBy(Outcome.m_KeyHash, Outcome.m_Ask))
    return std::nullopt;
  const model::ClaimRecord *Claim = m_Table.find(Outcome.m_KeyHash);
  if (Claim && isOf(*Claim, Outcome.m_Ask))
    return replyTo(Outcome, ClaimVerdictKind::Done);
  // That the ask holds nothing is believed only of a state read since, and
  // once no lost write can change it.
  if (m_VerifiedAt < Outcome.m_ArrivedAt)
    m_ReadWanted = true;
  if (m_VerifiedAt < Outcome.m_ArrivedAt || m_LostWrite)
    return std::nullopt;
  return replyTo(Outcome, ClaimVerdictKind::Unavailable);
}

bool ClaimShard::isWriteDue(model::TimePoint Now) const {
  if (Now < m_NextWriteAt || Now < m_RetryAt)
    return false;
  for (const WaitingAsk &Ask : m_Asks)
    if (!findCurrent(Ask.m_KeyHash, Now))
      return true;
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    if (!m_Table.isHeldBy(Outcome.m_KeyHash, Outcome.m_Ask)) {
      if (m_LostWrite)
        return true;
      continue;
    }
    if (Now >= Outcome.m_ArrivedAt + m_Settings.m_OutcomeDelay)
      return true;
  }
  return false;
}

void ClaimShard::startRead(ShardOutput &Out) {
  ports::StoreCall Call;
  Call.m_Verb = StoreVerb::Get;
  Call.m_Key = m_Key;
  Call.m_Priority = ports::StorePriority::Claim;
  Call.m_Timeout = m_Settings.m_StoreTimeout;
  Out.m_Call = std::move(Call);
  m_Phase = Phase::Reading;
}

void ClaimShard::startWrite(model::TimePoint Now, ShardOutput &Out) {
  m_Draft = m_Table;
  // A lost write is made harmless by any later one, be it without a change.
  m_DraftChanged = m_LostWrite;
  m_Draft.expire(Now - m_Settings.m_Expiry);
  draftOutcomes();
  draftAsks(Now, Out);
  if (!m_DraftChanged)
    return;
  m_DraftEpoch = {m_Held ? m_Epoch.m_Value : m_Epoch.m_Value + 1};
  model::ClaimShardRecord Record;
  Record.m_Shard = m_Shard;
  Record.m_ShardCount = m_Settings.m_ShardCount;
  Record.m_Writer = m_Self;
  Record.m_Epoch = m_DraftEpoch;
  Record.m_Sequence = ++m_Sequence;
  Record.m_Claims = m_Draft.claims();
  ports::StoreCall Call;
  Call.m_Verb = m_Version ? StoreVerb::Update : StoreVerb::Create;
  Call.m_Key = m_Key;
  Call.m_Expected = m_Version;
  Call.m_Record = std::move(Record);
  Call.m_Priority = ports::StorePriority::Claim;
  Call.m_Timeout = m_Settings.m_StoreTimeout;
  Out.m_Call = std::move(Call);
  m_CallStartedAt = Now;
  m_NextWriteAt = Now + m_Settings.commitSpacing();
  m_Phase = Phase::Writing;
}

void ClaimShard::draftOutcomes() {
  for (const WaitingOutcome &Outcome : m_Outcomes) {
    if (!m_Draft.isHeldBy(Outcome.m_KeyHash, Outcome.m_Ask))
      continue;
    m_DraftChanged = true;
    if (Outcome.m_State == ClaimState::Done)
      m_Draft.complete(Outcome.m_KeyHash, Outcome.m_Status, Outcome.m_Answer,
                       m_Settings);
    else if (Outcome.m_State == ClaimState::Released)
      m_Draft.release(Outcome.m_KeyHash);
  }
}

void ClaimShard::draftAsks(model::TimePoint Now, ShardOutput &Out) {
  std::erase_if(m_Asks, [&](WaitingAsk &Ask) {
    if (m_Draft.find(Ask.m_KeyHash))
      return false;
    const model::ClaimRecord Claim{.m_KeyHash = Ask.m_KeyHash,
                                   .m_BodyHash = Ask.m_BodyHash,
                                   .m_Runner = Ask.m_Ask.m_Runner,
                                   .m_AskId = Ask.m_Ask.m_AskId,
                                   .m_TakenAt = Now};
    if (m_Draft.take(Claim, m_Settings)) {
      Ask.m_MayBeWritten = true;
      m_DraftChanged = true;
      return false;
    }
    Out.m_Decisions.push_back(decision("refuse", "the shard's object is full"));
    if (!Ask.m_MayBeWritten)
      Out.m_Replies.push_back(
          {Ask.m_Ask.m_Runner, replyTo(Ask, ClaimVerdictKind::Unavailable)});
    return true;
  });
}

void ClaimShard::onAnswer(const ports::StoreAnswer &Answer,
                          model::TimePoint Now, ShardOutput &Out) {
  if (m_Phase == Phase::Reading)
    onRead(Answer, Now, Out);
  else if (m_Phase == Phase::Writing)
    onWritten(Answer, Now, Out);
}

void ClaimShard::onRead(const ports::StoreAnswer &Answer, model::TimePoint Now,
                        ShardOutput &Out) {
  m_Phase = Phase::Unread;
  if (Answer.m_Status == StoreStatus::Ok && !Answer.m_Objects.empty())
    adopt(Answer.m_Objects.front(), Out);
  else if (Answer.m_Status == StoreStatus::NotFound)
    adoptAbsent();
  else
    backOff(Now);
}

void ClaimShard::onWritten(const ports::StoreAnswer &Answer,
                           model::TimePoint Now, ShardOutput &Out) {
  m_Phase = Phase::Unread;
  switch (Answer.m_Status) {
  case StoreStatus::Ok:
    if (Answer.m_Objects.empty())
      break;
    m_Version = Answer.m_Objects.front().m_Version;
    m_Table = std::move(m_Draft);
    m_Epoch = m_DraftEpoch;
    m_VerifiedAt = m_CallStartedAt;
    m_Failures = 0;
    m_Phase = Phase::Known;
    forgetLostWrite();
    setHeld(true, "this node's write was accepted", Out);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
    // The version has moved on, so that no lost write on it can take effect
    // any more; whether one did, the read will show.
    m_LostWrite = false;
    setHeld(false, "another write came first", Out);
    return;
  case StoreStatus::NotSent:
  case StoreStatus::Rejected:
    m_Phase = Phase::Known;
    if (!m_LostWrite)
      forgetLostWrite();
    backOff(Now);
    return;
  case StoreStatus::Unknown:
    break;
  }
  m_LostWrite = true;
  backOff(Now);
}

void ClaimShard::adopt(const ports::StoredObject &Object, ShardOutput &Out) {
  const model::ClaimShardRecord *Record =
      std::get_if<model::ClaimShardRecord>(&Object.m_Record);
  m_Foreign = !Record || Record->m_ShardCount != m_Settings.m_ShardCount;
  if (m_Foreign) {
    Out.m_Decisions.push_back(
        decision("refuse", "the object belongs to another count of shards"));
    return;
  }
  setVersion(Object.m_Version);
  m_Table = ClaimTable(Record->m_Claims);
  m_Epoch = Record->m_Epoch;
  m_Sequence = Record->m_Sequence;
  setHeld(Record->m_Writer == m_Self,
          "written by " + Record->m_Writer.str() + " since", Out);
}

void ClaimShard::adoptAbsent() {
  setVersion({});
  m_Table = ClaimTable();
  m_Held = false;
}

void ClaimShard::setVersion(model::ObjectVersion Version) {
  if (Version != m_Version)
    m_LostWrite = false;
  m_Version = Version;
  m_VerifiedAt = m_CallStartedAt;
  m_Phase = Phase::Known;
  if (!m_LostWrite)
    forgetLostWrite();
}

void ClaimShard::forgetLostWrite() {
  m_LostWrite = false;
  for (WaitingAsk &Ask : m_Asks)
    Ask.m_MayBeWritten = false;
}

void ClaimShard::setHeld(bool Held, const std::string &Why, ShardOutput &Out) {
  if (Held != m_Held)
    Out.m_Decisions.push_back(decision(Held ? "take" : "lose", Why));
  m_Held = Held;
}

void ClaimShard::backOff(model::TimePoint Now) {
  m_RetryAt =
      Now + leases::fullJitter(
                leases::exponential(m_Settings.m_StoreBackoffBase, m_Failures,
                                    m_Settings.m_StoreBackoffMax),
                m_Random);
  ++m_Failures;
}

model::Decision ClaimShard::decision(const std::string &Action,
                                     const std::string &Reason) const {
  return {.m_Kind = model::DecisionKind::Claims,
          .m_Subject = m_Key.m_Name,
          .m_Action = Action,
          .m_Chosen = m_Self.str(),
          .m_Reason =
              "epoch " + std::to_string(m_Epoch.m_Value) + ": " + Reason};
}

} // namespace bronzepass::core::claims
