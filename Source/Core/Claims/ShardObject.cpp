#include "Core/Claims/ShardObject.h"

#include "Core/Leases/CircuitBreaker.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

using ports::StoreStatus;
using ports::StoreVerb;

namespace {

constexpr size_t ShardDigits = 4;

ports::ObjectKey keyOfShard(uint32_t Shard) {
  std::string Digits = std::to_string(Shard);
  if (Digits.size() < ShardDigits)
    Digits.insert(0, ShardDigits - Digits.size(), '0');
  return {ports::ObjectKind::ClaimShard, "shard-" + Digits};
}

const model::ClaimShardRecord *recordOf(const ports::StoreAnswer &Answer) {
  if (Answer.m_Status != StoreStatus::Ok || Answer.m_Objects.empty())
    return nullptr;
  return std::get_if<model::ClaimShardRecord>(
      &Answer.m_Objects.front().m_Record);
}

} // namespace

ShardObject::ShardObject(uint32_t Shard, const ClaimSettings &Settings,
                         const model::NodeId &Self, ports::Random &Source)
    : m_Shard(Shard), m_Settings(Settings), m_Self(Self), m_Random(Source),
      m_Key(keyOfShard(Shard)) {}

ports::StoreCall ShardObject::call(StoreVerb Verb,
                                   const ports::ObjectKey &Key) const {
  ports::StoreCall Call;
  Call.m_Verb = Verb;
  Call.m_Key = Key;
  Call.m_Priority = ports::StorePriority::Claim;
  Call.m_Timeout = m_Settings.m_StoreTimeout;
  return Call;
}

ports::ObjectKey ShardObject::keyOf(const model::ClaimSegment &Segment) const {
  return {m_Key.m_Kind, m_Key.m_Name + "." +
                            std::to_string(Segment.m_Epoch.m_Value) + "." +
                            std::to_string(Segment.m_Number)};
}

model::ClaimShardRecord ShardObject::blankRecord() const {
  model::ClaimShardRecord Record;
  Record.m_Shard = m_Shard;
  Record.m_ShardCount = m_Settings.m_ShardCount;
  Record.m_Writer = m_Self;
  return Record;
}

ports::StoreCall ShardObject::read(model::TimePoint Now) {
  const std::optional<model::ClaimSegment> Missing = m_History.firstUnloaded();
  if (m_Phase == Phase::Known && Missing) {
    m_Segment = *Missing;
    m_CallInFlight = CallType::Load;
    return call(StoreVerb::Get, keyOf(*Missing));
  }
  m_CallInFlight = CallType::Read;
  m_CallStartedAt = Now;
  return call(StoreVerb::Get, m_Key);
}

bool ShardObject::isSealDue(model::TimePoint Now) const {
  return mayCall(Now) && isKnown() && m_IsLastWriter && !m_Sealed &&
         !m_UnknownWrite && Now >= m_NextSealAt &&
         m_History.isSealDue(m_Settings);
}

ports::StoreCall ShardObject::seal() {
  m_Segment = {m_Epoch, ++m_LastSegment, m_History.open().newestTakenAt()};
  m_CallInFlight = CallType::Seal;
  model::ClaimShardRecord Record = blankRecord();
  Record.m_Epoch = m_Epoch;
  Record.m_Sequence = m_Segment.m_Number;
  Record.m_Claims = m_History.open().claims();
  ports::StoreCall Call = call(StoreVerb::Create, keyOf(m_Segment));
  Call.m_Record = std::move(Record);
  return Call;
}

ClaimHistory ShardObject::makeDraft(model::TimePoint Now) {
  ClaimHistory Draft = m_History;
  if (m_Sealed)
    Draft.seal(*m_Sealed);
  m_Expired = Draft.expire(Now - m_Settings.m_ClaimLifetime);
  return Draft;
}

ports::StoreCall ShardObject::commit(ClaimHistory Draft, model::TimePoint Now) {
  m_Sealed.reset();
  m_Draft = std::move(Draft);
  m_DraftEpoch = {m_IsLastWriter ? m_Epoch.m_Value : m_Epoch.m_Value + 1};
  m_CallStartedAt = Now;
  countWrite(Now);
  m_CallInFlight = CallType::Commit;
  model::ClaimShardRecord Record = blankRecord();
  Record.m_Epoch = m_DraftEpoch;
  Record.m_Sequence = ++m_Sequence;
  Record.m_Segments = m_Draft.segments();
  Record.m_Claims = m_Draft.open().claims();
  ports::StoreCall Call =
      call(m_Version ? StoreVerb::Update : StoreVerb::Create, m_Key);
  Call.m_Expected = m_Version;
  Call.m_Record = std::move(Record);
  return Call;
}

void ShardObject::countWrite(model::TimePoint Now) {
  const model::Duration Spacing = m_Settings.commitSpacing();
  const model::Duration Saved = Spacing * (m_Settings.m_CommitBurst - 1);
  // A commit after a sealed segment may come early; it does not delay the next
  // one.
  m_NextWriteAt =
      std::min(std::max(m_NextWriteAt, Now - Saved) + Spacing, Now + Spacing);
}

void ShardObject::onAnswer(const ports::StoreAnswer &Answer,
                           model::TimePoint Now) {
  switch (std::exchange(m_CallInFlight, CallType::None)) {
  case CallType::None:
    return;
  case CallType::Read:
    return onRead(Answer, Now);
  case CallType::Load:
    return onLoaded(Answer, Now);
  case CallType::Seal:
    return onSealed(Answer, Now);
  case CallType::Commit:
    return onCommitted(Answer, Now);
  }
}

void ShardObject::onRead(const ports::StoreAnswer &Answer,
                         model::TimePoint Now) {
  if (Answer.m_Status == StoreStatus::Ok && !Answer.m_Objects.empty())
    adopt(Answer.m_Objects.front());
  else if (Answer.m_Status == StoreStatus::NotFound)
    adoptAbsent();
  else
    backOff(Now);
}

void ShardObject::onLoaded(const ports::StoreAnswer &Answer,
                           model::TimePoint Now) {
  const model::ClaimShardRecord *Record = recordOf(Answer);
  if (Record) {
    m_History.load({m_Segment, Answer.m_Objects.front().m_Version},
                   Record->m_Claims);
    return;
  }
  // Another owner may have dropped the segment; the object shows whether it
  // has.
  m_Phase = Phase::Unread;
  backOff(Now);
}

void ShardObject::onSealed(const ports::StoreAnswer &Answer,
                           model::TimePoint Now) {
  if (recordOf(Answer))
    m_Sealed = {m_Segment, Answer.m_Objects.front().m_Version};
  else
    m_NextSealAt = Now + m_Settings.m_SealRetryDelay;
}

void ShardObject::onCommitted(const ports::StoreAnswer &Answer,
                              model::TimePoint Now) {
  m_Phase = Phase::Unread;
  switch (Answer.m_Status) {
  case StoreStatus::Ok:
    if (Answer.m_Objects.empty())
      break;
    m_UnknownWrite = false;
    m_History = std::move(m_Draft);
    m_Epoch = m_DraftEpoch;
    m_Failures = 0;
    setVersion(Answer.m_Objects.front().m_Version);
    setLastWriter(true, "this node's write was accepted");
    deleteExpired();
    return;
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
    // The version has changed, so that no earlier write on it can take effect
    // any more; the next read shows whether one did.
    m_UnknownWrite = false;
    setLastWriter(false, "another write came first");
    return;
  case StoreStatus::NotSent:
  case StoreStatus::Rejected:
    m_Phase = Phase::Known;
    backOff(Now);
    return;
  case StoreStatus::Unknown:
    break;
  }
  m_UnknownWrite = true;
  backOff(Now);
}

void ShardObject::deleteExpired() {
  for (const StoredSegment &Old : std::exchange(m_Expired, {})) {
    ports::StoreCall Deletion = call(StoreVerb::Delete, keyOf(Old.m_Segment));
    Deletion.m_Expected = Old.m_Version;
    Deletion.m_Priority = ports::StorePriority::Status;
    m_Deletions.push_back(std::move(Deletion));
  }
}

void ShardObject::adopt(const ports::StoredObject &Object) {
  const model::ClaimShardRecord *Record =
      std::get_if<model::ClaimShardRecord>(&Object.m_Record);
  m_HasOtherShardCount =
      !Record || Record->m_ShardCount != m_Settings.m_ShardCount;
  if (m_HasOtherShardCount) {
    m_Decisions.push_back(
        decision("refuse", "the object belongs to another count of shards"));
    return;
  }
  setVersion(Object.m_Version);
  m_History.adopt(*Record);
  m_Epoch = Record->m_Epoch;
  m_Sequence = Record->m_Sequence;
  setLastWriter(Record->m_Writer == m_Self,
                "written by " + Record->m_Writer.str() + " since");
}

void ShardObject::adoptAbsent() {
  setVersion({});
  m_History = ClaimHistory();
  m_IsLastWriter = false;
}

void ShardObject::setVersion(model::ObjectVersion Version) {
  if (Version != m_Version) {
    m_UnknownWrite = false;
    // A sealed segment is only valid for the state that it was made from.
    m_Sealed.reset();
  }
  m_Version = Version;
  m_VerifiedAt = m_CallStartedAt;
  m_Phase = Phase::Known;
}

void ShardObject::setLastWriter(bool IsLastWriter, const std::string &Why) {
  if (IsLastWriter != m_IsLastWriter)
    m_Decisions.push_back(decision(IsLastWriter ? "take" : "lose", Why));
  m_IsLastWriter = IsLastWriter;
}

void ShardObject::backOff(model::TimePoint Now) {
  m_RetryAt =
      Now + leases::fullJitter(leases::exponentialBackoff(
                                   m_Settings.m_StoreBackoffBase, m_Failures,
                                   m_Settings.m_StoreBackoffMax),
                               m_Random);
  ++m_Failures;
}

std::vector<model::Decision> ShardObject::takeDecisions() {
  return std::exchange(m_Decisions, {});
}

std::vector<ports::StoreCall> ShardObject::takeDeletions() {
  return std::exchange(m_Deletions, {});
}

model::Decision ShardObject::decision(const std::string &Action,
                                      const std::string &Reason) const {
  return {.m_Kind = model::DecisionKind::Claims,
          .m_Subject = m_Key.m_Name,
          .m_Action = Action,
          .m_Chosen = m_Self.str(),
          .m_Reason =
              "epoch " + std::to_string(m_Epoch.m_Value) + ": " + Reason};
}

} // namespace bronzepass::core::claims
