#include "Core/Leases/LeaseTracker.h"

#include "Core/Leases/CircuitBreaker.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::leases {

using ports::StoreStatus;
using ports::StoreVerb;

namespace {

/// A renewal is due after a third of the term, plus or minus a fifth of that,
/// so that two more attempts fit in before the holder must stop.
constexpr int RenewalsPerTerm = 3;
constexpr int64_t SpreadPercent = 40;

/// A fencing token has room for the store's version of a record, and above it
/// for the era; both together are exact in a JSON number.
constexpr uint64_t VersionBits = 40;
constexpr uint64_t EraBits = 13;

uint64_t clampToBits(uint64_t Value, uint64_t Bits) {
  return std::min(Value, (uint64_t{1} << Bits) - 1);
}

ports::ObjectKey keyOf(const model::LeaseName &Name) {
  std::string Text = Name.m_Duty;
  std::replace(Text.begin(), Text.end(), '/', '.');
  return {ports::ObjectKind::Lease, Text};
}

} // namespace

LeaseTracker::LeaseTracker(const model::LeaseName &Name,
                           const LeaseSettings &Settings,
                           const model::NodeId &Self, ports::Random &Source)
    : m_Name(Name), m_Settings(Settings), m_Self(Self), m_Random(Source),
      m_Key(keyOf(Name)) {}

void LeaseTracker::setRank(uint32_t Rank, model::TimePoint Now) {
  if (Rank != m_Rank || !m_IsCandidate)
    m_RankSince = Now;
  m_Rank = Rank;
  m_IsCandidate = true;
}

void LeaseTracker::release() {
  m_IsCandidate = false;
  stopActing("it is no longer this node's duty");
}

void LeaseTracker::setStoreEra(model::StoreEra Era, model::TimePoint Now) {
  const bool IsRestored = m_Era && *m_Era != Era;
  m_Era = Era;
  if (!IsRestored)
    return;
  m_ActedAtRestore = heldAt(Now).has_value();
  stopActing("the store was restored from a backup");
  m_CallInFlight = Action::None;
  m_PendingWrite.reset();
  m_IsRecordKnown = false;
  m_HasBeenRead = false;
  m_RetryAt = {};
}

bool LeaseTracker::isFromBackup() const {
  return m_Era && (!m_Version || m_Record.m_Era < *m_Era);
}

std::optional<model::HeldLease>
LeaseTracker::heldAt(model::TimePoint Now) const {
  if (!m_Acting || Now >= m_ValidUntil)
    return std::nullopt;
  return model::HeldLease{m_Name, m_ActingToken, m_ValidUntil};
}

std::optional<ports::StoreCall> LeaseTracker::advance(model::TimePoint Now) {
  if (m_Acting && Now >= m_ValidUntil)
    stopActing("its term ended before it was renewed");
  if (m_Acting && isHandOverDue(Now))
    stopActing("another node is first for it");
  const Action Next = nextAction(Now);
  if (Next == Action::None)
    return std::nullopt;
  m_CallInFlight = Next;
  return Next == Action::Read ? readCall() : writeCall(Next, Now);
}

std::vector<LeaseNotice> LeaseTracker::takeNotices() {
  return std::exchange(m_Notices, {});
}

bool LeaseTracker::isFinished() const {
  if (m_IsCandidate || m_CallInFlight != Action::None)
    return false;
  const bool NeverWrote = m_LastRenewals == 0;
  // A record from a backup is left alone: if it were released, the next node
  // would not wait for a holder that has not learned of the restore yet.
  return NeverWrote || (m_IsRecordKnown && (!isHolder() || isFromBackup()));
}

void LeaseTracker::stopActing(const std::string &Reason) {
  if (!m_Acting)
    return;
  m_Acting = false;
  m_Notices.push_back(
      {LeaseChange::Lost, {m_Name, m_ActingToken, m_ValidUntil}, Reason});
}

bool LeaseTracker::isHandOverDue(model::TimePoint Now) const {
  return m_Rank > 0 && Now - m_RankSince >= m_Settings.m_HandOverDelay;
}

LeaseTracker::Action LeaseTracker::nextAction(model::TimePoint Now) const {
  if (m_CallInFlight != Action::None || Now < m_RetryAt || isFinished())
    return Action::None;
  const bool NeedsRead =
      m_PendingWrite.has_value() || m_Acting || !m_IsCandidate;
  if (!m_IsRecordKnown)
    return mayWatch() || NeedsRead ? Action::Read : Action::None;
  return isHolder() ? actionAsHolder(Now) : actionAsWaiter(Now);
}

LeaseTracker::Action LeaseTracker::actionAsHolder(model::TimePoint Now) const {
  if (m_Acting)
    return Now >= m_RenewAt ? Action::Renew : Action::None;
  // The record names this node but it does not act on the lease: its term has
  // ended, or a write took effect after this node had given up on it.
  const bool GivesUp = !mayWatch() || isHandOverDue(Now);
  if (!isFromBackup())
    return GivesUp ? Action::Release : Action::Acquire;
  return !GivesUp && isTakeOverDue(Now) ? Action::Acquire : Action::None;
}

LeaseTracker::Action LeaseTracker::actionAsWaiter(model::TimePoint Now) const {
  if (!mayWatch())
    return Action::None;
  if (Now >= m_NextReadAt)
    return Action::Read;
  return isTakeOverDue(Now) ? Action::Acquire : Action::None;
}

bool LeaseTracker::isTakeOverDue(model::TimePoint Now) const {
  if (isFromBackup() && m_ActedAtRestore)
    return true;
  const bool Free = m_Record.m_Holder.empty() && !isFromBackup();
  const model::Duration Term = std::max(m_Record.m_Term, m_Settings.m_Term);
  // Each candidate before this node gets a term to acquire a free lease, and
  // half a term for an expired one.
  model::Duration Wait =
      Free ? m_Settings.m_Term * m_Rank
           : Term + m_Settings.m_Margin + m_Settings.m_Term / 2 * m_Rank;
  if (!m_Version)
    Wait = std::max(Wait, m_Settings.m_InitialDelay);
  return Now >= m_UnchangedSince + Wait;
}

/// Above all tokens of earlier eras, and within an era above those of all
/// earlier versions of the record, also of versions that a restore has lost.
model::FencingToken LeaseTracker::nextToken() const {
  const uint64_t Era = m_Era ? clampToBits(m_Era->m_Value, EraBits) : 0;
  const uint64_t OfEra =
      m_Era ? Era << VersionBits | clampToBits(m_Version.m_Value, VersionBits)
            : 0;
  return {std::max(m_HighestToken.m_Value + 1, OfEra)};
}

model::Duration LeaseTracker::readPeriod() const {
  const model::Duration Period = m_Settings.m_Term / 2 * (1 + m_Rank);
  return Period * 3 / 4 + fullJitter(Period / 2, m_Random);
}

model::Duration LeaseTracker::renewPeriod() const {
  const model::Duration Period = m_Settings.m_Term / RenewalsPerTerm;
  const uint64_t Hash = model::rendezvousWeight(m_Name.m_Duty, m_Self.str());
  const int64_t Percent =
      100 - SpreadPercent / 2 + static_cast<int64_t>(Hash % SpreadPercent);
  return Period * Percent / 100;
}

ports::StoreCall LeaseTracker::readCall() const {
  ports::StoreCall Call;
  Call.m_Verb = StoreVerb::Get;
  Call.m_Key = m_Key;
  Call.m_Priority = ports::StorePriority::Lease;
  Call.m_Timeout = m_Settings.m_Term / RenewalsPerTerm;
  return Call;
}

ports::StoreCall LeaseTracker::writeCall(Action Why, model::TimePoint Now) {
  model::LeaseRecord Record = m_Record;
  Record.m_Name = m_Name;
  Record.m_Term = m_Settings.m_Term;
  Record.m_Holder = Why == Action::Release ? model::NodeId() : m_Self;
  Record.m_Era = m_Era.value_or(model::StoreEra());
  if (Why == Action::Acquire)
    Record.m_Token = nextToken();
  m_LastRenewals = std::max(m_LastRenewals, m_Record.m_Renewals) + 1;
  Record.m_Renewals = m_LastRenewals;
  m_PendingWrite = Record;
  m_PendingWriteAction = Why;
  m_WriteSentAt = Now;
  ports::StoreCall Call = readCall();
  Call.m_Verb = m_Version ? StoreVerb::Update : StoreVerb::Create;
  Call.m_Expected = m_Version;
  Call.m_ExpectedEra = m_Era;
  Call.m_Record = std::move(Record);
  return Call;
}

void LeaseTracker::onAnswer(const ports::StoreAnswer &Answer,
                            model::TimePoint Now) {
  const Action CompletedAction = std::exchange(m_CallInFlight, Action::None);
  if (CompletedAction == Action::Read)
    onRead(Answer, Now);
  else if (CompletedAction != Action::None)
    onWritten(Answer, Now);
}

void LeaseTracker::onRead(const ports::StoreAnswer &Answer,
                          model::TimePoint Now) {
  if (Answer.m_Status == StoreStatus::NotFound) {
    observe({}, {}, Now);
    return;
  }
  const model::LeaseRecord *Record =
      Answer.m_Status == StoreStatus::Ok && !Answer.m_Objects.empty()
          ? std::get_if<model::LeaseRecord>(&Answer.m_Objects.front().m_Record)
          : nullptr;
  if (!Record) {
    backOff(Now);
    return;
  }
  const bool Confirmed = m_PendingWrite == *Record;
  observe(*Record, Answer.m_Objects.front().m_Version, Now);
  if (Confirmed)
    confirm(Now);
}

void LeaseTracker::onWritten(const ports::StoreAnswer &Answer,
                             model::TimePoint Now) {
  switch (Answer.m_Status) {
  case StoreStatus::Ok:
    if (Answer.m_Objects.empty())
      break;
    m_Failures = 0;
    observe(*m_PendingWrite, Answer.m_Objects.front().m_Version, Now);
    confirm(Now);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
    m_PendingWrite.reset();
    m_IsRecordKnown = false;
    return;
  case StoreStatus::NotSent:
  case StoreStatus::Rejected:
    m_PendingWrite.reset();
    backOff(Now);
    return;
  case StoreStatus::Unknown:
    break;
  }
  m_IsRecordKnown = false;
  backOff(Now);
}

void LeaseTracker::observe(const model::LeaseRecord &Record,
                           model::ObjectVersion Version, model::TimePoint Now) {
  if (Version != m_Version || Record != m_Record || !m_HasBeenRead)
    m_UnchangedSince = Now;
  m_HasBeenRead = true;
  m_IsRecordKnown = true;
  m_Record = Record;
  m_Version = Version;
  m_HighestToken = std::max(m_HighestToken, Record.m_Token);
  m_NextReadAt = Now + readPeriod();
  if (m_Acting && (!isHolder() || Record.m_Token != m_ActingToken))
    stopActing("it is held by " + Record.m_Holder.str());
}

void LeaseTracker::confirm(model::TimePoint Now) {
  const model::LeaseRecord Written =
      *std::exchange(m_PendingWrite, std::nullopt);
  const model::TimePoint ValidUntil =
      m_WriteSentAt + Written.m_Term - m_Settings.m_Margin;
  m_RenewAt = m_WriteSentAt + renewPeriod();
  if (m_PendingWriteAction == Action::Renew && m_Acting)
    m_ValidUntil = ValidUntil;
  // An acquisition that is confirmed too late, or after this node stopped being
  // a candidate, is not acted on.
  if (m_PendingWriteAction != Action::Acquire || Now >= ValidUntil ||
      !m_IsCandidate)
    return;
  m_Acting = true;
  m_ActedAtRestore = false;
  m_RankSince = Now;
  m_ActingToken = Written.m_Token;
  m_ValidUntil = ValidUntil;
  m_Notices.push_back({LeaseChange::Gained,
                       {m_Name, m_ActingToken, m_ValidUntil},
                       "its record is this node's"});
}

void LeaseTracker::backOff(model::TimePoint Now) {
  m_RetryAt =
      Now + fullJitter(exponentialBackoff(m_Settings.m_BackoffBase, m_Failures,
                                          m_Settings.m_BackoffMax),
                       m_Random);
  ++m_Failures;
}

} // namespace bronzepass::core::leases
