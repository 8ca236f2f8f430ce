#include "Core/Leases/LeaseTracker.h"

#include "Core/Leases/CircuitBreaker.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::leases {

using ports::StoreStatus;
using ports::StoreVerb;

namespace {

/// A renewal is due after a third of the term, give or take a fifth of that, so
/// that two more tries fit in before the holder must stop.
constexpr int RenewalsPerTerm = 3;
constexpr int64_t SpreadPercent = 40;

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
  if (Rank != m_Rank || !m_Wanted)
    m_RankSince = Now;
  m_Rank = Rank;
  m_Wanted = true;
}

void LeaseTracker::giveBack() {
  m_Wanted = false;
  stopActing("it is no longer this node's duty");
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
  m_Under = Next;
  return Next == Action::Read ? readCall() : writeCall(Next, Now);
}

std::vector<LeaseNotice> LeaseTracker::takeNotices() {
  return std::exchange(m_Notices, {});
}

bool LeaseTracker::isFinished() const {
  if (m_Wanted || m_Under != Action::None)
    return false;
  const bool NeverWrote = m_LastRenewals == 0;
  return NeverWrote || (m_Known && !isOurs());
}

void LeaseTracker::stopActing(const std::string &Reason) {
  if (!m_Acting)
    return;
  m_Acting = false;
  m_Notices.push_back(
      {LeaseChange::Lost, {m_Name, m_ActingToken, m_ValidUntil}, Reason});
}

bool LeaseTracker::isHandOverDue(model::TimePoint Now) const {
  return m_Rank > 0 && Now - m_RankSince >= m_Settings.m_HandOverAfter;
}

LeaseTracker::Action LeaseTracker::nextAction(model::TimePoint Now) const {
  if (m_Under != Action::None || Now < m_RetryAt || isFinished())
    return Action::None;
  const bool Settle = m_Written.has_value() || m_Acting || !m_Wanted;
  if (!m_Known)
    return mayWatch() || Settle ? Action::Read : Action::None;
  return isOurs() ? actionOnOwn(Now) : actionOnOthers(Now);
}

LeaseTracker::Action LeaseTracker::actionOnOwn(model::TimePoint Now) const {
  if (m_Acting)
    return Now >= m_RenewAt ? Action::Renew : Action::None;
  // A lease in this node's name on which it does not act: its own was out, or
  // a write took effect after it had given up.
  return mayWatch() && !isHandOverDue(Now) ? Action::Take : Action::Release;
}

LeaseTracker::Action LeaseTracker::actionOnOthers(model::TimePoint Now) const {
  if (!mayWatch())
    return Action::None;
  if (Now >= m_LookAt)
    return Action::Read;
  const bool Free = m_Record.m_Holder.empty();
  // Those before this node get a term to notice a free lease, and half a term
  // for one that has lapsed.
  const model::Duration Wait = Free ? m_Settings.m_Term * m_Rank
                                    : m_Record.m_Term + m_Settings.m_Margin +
                                          m_Settings.m_Term / 2 * m_Rank;
  const bool TakeOver = Now >= m_StillSince + Wait;
  return TakeOver ? Action::Take : Action::None;
}

model::Duration LeaseTracker::lookPeriod() const {
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
  if (Why == Action::Take)
    Record.m_Token = {m_HighestToken.m_Value + 1};
  m_LastRenewals = std::max(m_LastRenewals, m_Record.m_Renewals) + 1;
  Record.m_Renewals = m_LastRenewals;
  m_Written = Record;
  m_WrittenFor = Why;
  m_SentAt = Now;
  ports::StoreCall Call = readCall();
  Call.m_Verb = m_Version ? StoreVerb::Update : StoreVerb::Create;
  Call.m_Expected = m_Version;
  Call.m_Record = std::move(Record);
  return Call;
}

void LeaseTracker::onAnswer(const ports::StoreAnswer &Answer,
                            model::TimePoint Now) {
  const Action Under = std::exchange(m_Under, Action::None);
  if (Under == Action::Read)
    onRead(Answer, Now);
  else if (Under != Action::None)
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
  const bool Confirmed = m_Written == *Record;
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
    observe(*m_Written, Answer.m_Objects.front().m_Version, Now);
    confirm(Now);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::NotFound:
    m_Written.reset();
    m_Known = false;
    return;
  case StoreStatus::NotSent:
  case StoreStatus::Rejected:
    m_Written.reset();
    backOff(Now);
    return;
  case StoreStatus::Unknown:
    break;
  }
  m_Known = false;
  backOff(Now);
}

void LeaseTracker::observe(const model::LeaseRecord &Record,
                           model::ObjectVersion Version, model::TimePoint Now) {
  if (Version != m_Version || Record != m_Record || !m_Seen)
    m_StillSince = Now;
  m_Seen = true;
  m_Known = true;
  m_Record = Record;
  m_Version = Version;
  m_HighestToken = std::max(m_HighestToken, Record.m_Token);
  m_LookAt = Now + lookPeriod();
  if (m_Acting && (!isOurs() || Record.m_Token != m_ActingToken))
    stopActing("it is held by " + Record.m_Holder.str());
}

void LeaseTracker::confirm(model::TimePoint Now) {
  const model::LeaseRecord Written = *std::exchange(m_Written, std::nullopt);
  const model::TimePoint ValidUntil =
      m_SentAt + Written.m_Term - m_Settings.m_Margin;
  m_RenewAt = m_SentAt + renewPeriod();
  if (m_WrittenFor == Action::Renew && m_Acting)
    m_ValidUntil = ValidUntil;
  // Come too late, or for a duty that is gone, a take-over is not acted on.
  if (m_WrittenFor != Action::Take || Now >= ValidUntil || !m_Wanted)
    return;
  m_Acting = true;
  m_RankSince = Now;
  m_ActingToken = Written.m_Token;
  m_ValidUntil = ValidUntil;
  m_Notices.push_back({LeaseChange::Gained,
                       {m_Name, m_ActingToken, m_ValidUntil},
                       "its record is this node's"});
}

void LeaseTracker::backOff(model::TimePoint Now) {
  m_RetryAt = Now + fullJitter(exponential(m_Settings.m_BackoffBase, m_Failures,
                                           m_Settings.m_BackoffMax),
                               m_Random);
  ++m_Failures;
}

} // namespace bronzepass::core::leases
