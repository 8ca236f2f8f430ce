#include "Core/Organisations/QuotaGate.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::organisations {

namespace {

constexpr double DemandUnit = 1e-3;
/// An asking has room for so many organisations beside those with demand.
constexpr size_t MaxShareReports = 32;
/// Over which demand is averaged.
constexpr double DemandSeconds = 0.4;
/// Below this demand in a second, a node without a share asks for nothing.
constexpr double MinDemand = 1e-3;
/// Reserves are asked for so much time ahead.
constexpr double ReserveSeconds = 0.05;
/// Weight of the newest request in the mean.
constexpr double MeanWeight = 0.1;
/// Requests that come within this time are asked for together.
constexpr model::Duration MinAskPeriod = std::chrono::milliseconds(4);
/// By then an answer that was not lost has come.
constexpr model::Duration AnswerTime = std::chrono::milliseconds(25);
/// How long the holder's word that it has nothing is believed.
constexpr model::Duration MaxEmptyTime = std::chrono::milliseconds(100);
/// The share of a node that has none is likely to be set within this.
constexpr model::Duration NothingRetryAfter = std::chrono::seconds(1);
constexpr model::Duration MaxRetryAfter = std::chrono::seconds(10);

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

model::Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<model::Duration>(
      std::chrono::duration<double>(std::min(Value, seconds(MaxRetryAfter))));
}

int64_t micros(model::TimePoint At) { return At.time_since_epoch().count(); }

} // namespace

void QuotaGate::setPlans(const QuotaPlans &Plans, model::TimePoint Now) {
  for (auto Each = m_States.begin(); Each != m_States.end();)
    Each = Plans.contains(Each->first) ? std::next(Each) : m_States.erase(Each);
  for (const auto &Each : Plans) {
    const auto [Found, IsNew] = m_States.try_emplace(Each.first);
    State &Value = Found->second;
    if (IsNew) {
      Value.m_Use.m_Organisation = Each.first;
      Value.m_FilledAt = Now;
      Value.m_DemandAt = Now;
    }
    fill(Value, Now);
    Value.m_Plan = Each.second;
    fill(Value, Now);
  }
}

double QuotaGate::amountOf(const QuotaSpec &Quota, uint64_t Tokens) {
  if (Quota.m_Unit == QuotaSpec::Unit::Requests)
    return 1;
  return static_cast<double>(Tokens == 0 ? Quota.m_PlainTokens : Tokens);
}

bool QuotaGate::isInTouch(model::TimePoint Now) const {
  return !m_SilentSince || Now - *m_SilentSince < m_Timing.m_SilenceLimit;
}

void QuotaGate::fill(State &Value, model::TimePoint Now) const {
  std::erase_if(Value.m_Lots,
                [Now](const Lot &Each) { return Each.m_ExpiresAt <= Now; });
  // What came in until the share expired is not kept either.
  if (Now >= Value.m_ShareExpiresAt)
    Value.m_Share = 0;
  const double Part = static_cast<double>(Value.m_Share) / WholeShare;
  const double Rate = Part * Value.m_Plan.m_StandingPerSecond;
  const double KeptAlone =
      Rate * seconds(m_Timing.m_KeptAlone) + Part * Value.m_Plan.m_KeptBesides;
  const double Kept =
      isInTouch(Now)
          ? std::min(KeptAlone, Rate * seconds(m_Timing.m_KeptInTouch))
          : KeptAlone;
  const double In =
      Now > Value.m_FilledAt ? Rate * seconds(Now - Value.m_FilledAt) : 0;
  const double Room = std::max(0.0, Kept - Value.m_Level);
  const double Level = Value.m_Level + std::min(In, Room);
  Value.m_Level = std::min(Level, KeptAlone);
  Value.m_GivenUp += std::max(0.0, In - Room) + Level - Value.m_Level;
  Value.m_FilledAt = std::max(Value.m_FilledAt, Now);
}

void QuotaGate::addDemand(State &Value, double Amount,
                          model::TimePoint Now) const {
  if (Now > Value.m_DemandAt) {
    Value.m_DemandPerSecond *=
        std::exp(-seconds(Now - Value.m_DemandAt) / DemandSeconds);
    Value.m_DemandAt = Now;
  }
  Value.m_DemandPerSecond += Amount / DemandSeconds;
  if (Amount > 0)
    Value.m_MeanAmount += (Value.m_MeanAmount > 0 ? MeanWeight : 1) *
                          (Amount - Value.m_MeanAmount);
}

double QuotaGate::inLots(const State &Value) {
  double Sum = 0;
  for (const Lot &Each : Value.m_Lots)
    Sum += Each.m_Amount;
  return Sum;
}

QuotaDecision QuotaGate::refuse(State &Value, double Missing,
                                model::TimePoint Now) {
  ++Value.m_Use.m_Refused;
  QuotaDecision Decision;
  Decision.m_Result = QuotaDecision::Result::Refused;
  const double Rate = static_cast<double>(Value.m_Share) / WholeShare *
                      Value.m_Plan.m_StandingPerSecond;
  Decision.m_RetryAfter =
      Rate > 0 ? fromSeconds(Missing / Rate) : NothingRetryAfter;
  if (Value.m_ThereAt > Now)
    Decision.m_RetryAfter =
        std::min(Decision.m_RetryAfter, Value.m_ThereAt - Now);
  return Decision;
}

QuotaDecision QuotaGate::tryTake(const OrganisationSpec &Organisation,
                                 uint64_t Tokens, bool IsNew,
                                 model::TimePoint Now) {
  const auto Found = Organisation.m_Quota
                         ? m_States.find(quotaKeyOf(Organisation))
                         : m_States.end();
  if (Found == m_States.end())
    return {};
  State &Value = Found->second;
  const double Amount = amountOf(*Organisation.m_Quota, Tokens);
  fill(Value, Now);
  if (IsNew)
    addDemand(Value, Amount, Now);
  const double Available = inLots(Value) + Value.m_Level;
  if (Available >= Amount) {
    QuotaDecision Decision;
    Decision.m_Taken = {Found->first, Amount, Now + m_Timing.m_GrantLifetime};
    double Left = Amount;
    for (Lot &Each : Value.m_Lots) {
      const double Part = std::min(Left, Each.m_Amount);
      if (Part > 0)
        Decision.m_Taken.m_ExpiresAt =
            std::min(Decision.m_Taken.m_ExpiresAt, Each.m_ExpiresAt);
      Each.m_Amount -= Part;
      Left -= Part;
    }
    Value.m_Level = std::max(0.0, Value.m_Level - Left);
    Value.m_Use.m_Spent += Amount;
    return Decision;
  }
  if (!isInTouch(Now) || Now < Value.m_EmptyUntil)
    return refuse(Value, Amount - Available, Now);
  QuotaDecision Decision;
  Decision.m_Result = QuotaDecision::Result::Waits;
  // After an answer, or for want of one, all that wait are counted again.
  const bool IsLate = Value.m_IsAsked && Now - Value.m_AskedAt >= AnswerTime;
  if (!IsNew && IsLate) {
    Value.m_IsAsked = false;
    Value.m_Need = 0;
  }
  const bool IsCounted = !IsNew && Value.m_IsAsked;
  if (IsNew && !Value.m_IsAsked) {
    Value.m_IsAsked = true;
    Value.m_AskedAt = Now;
  }
  if (!IsCounted) {
    // What is here is kept for the least of them.
    const double Missing = std::ceil(Amount - Available);
    Value.m_Least =
        Value.m_Need > 0 ? std::min(Value.m_Least, Missing) : Missing;
    Value.m_Need += Value.m_Need > 0 ? std::ceil(Amount) : Missing;
    m_IsUrgent = true;
  }
  return Decision;
}

void QuotaGate::giveBack(const QuotaTaken &Taken, model::TimePoint Now) {
  const auto Found = m_States.find(Taken.m_Organisation);
  if (Found == m_States.end() || Taken.m_Amount <= 0)
    return;
  Found->second.m_Use.m_Spent -= Taken.m_Amount;
  if (Taken.m_ExpiresAt > Now)
    Found->second.m_Lots.push_back({Taken.m_Amount, Taken.m_ExpiresAt});
}

QuotaAsk QuotaGate::askOf(uint64_t Organisation, State &Value,
                          model::TimePoint Now) const {
  QuotaAsk Ask;
  Ask.m_Organisation = Organisation;
  if (Value.m_NextShare < Value.m_Share) {
    const double Level = Value.m_Level;
    Value.m_Share = Value.m_NextShare;
    fill(Value, Now);
    // What waits has counted on it.
    if (Value.m_Need > 0) {
      const double Lost = std::ceil(std::max(0.0, Level - Value.m_Level));
      Value.m_Need += Lost;
      Value.m_Least += Lost;
    }
  }
  Ask.m_Need = static_cast<uint64_t>(Value.m_Need);
  Ask.m_Least = static_cast<uint64_t>(Value.m_Least);
  Ask.m_Demand = static_cast<uint64_t>(Value.m_DemandPerSecond / DemandUnit);
  const double Rate = static_cast<double>(Value.m_Share) / WholeShare *
                      Value.m_Plan.m_StandingPerSecond;
  const double Beyond =
      std::min(Value.m_DemandPerSecond, Value.m_Plan.m_StandingPerSecond +
                                            Value.m_Plan.m_BucketPerSecond) -
      Rate;
  // A reserve that no request is likely to need would expire.
  const double Reserve = Beyond * ReserveSeconds;
  if (Reserve >= Value.m_MeanAmount)
    Ask.m_Reserve = static_cast<uint64_t>(
        std::max(0.0, Reserve - inLots(Value) - Value.m_Level));
  Ask.m_Share = Value.m_Share;
  Ask.m_HeardAt = Value.m_HeardAt;
  Ask.m_GivenUp = static_cast<uint64_t>(Value.m_GivenUp);
  if (Ask.m_Need > 0) {
    Value.m_IsAsked = true;
    Value.m_AskedAt = Now;
  }
  Value.m_Need = 0;
  Value.m_Least = 0;
  return Ask;
}

std::optional<QuotaNotice> QuotaGate::takeAsk(model::TimePoint Now) {
  const bool IsDue = Now >= m_AskDueAt;
  const bool IsUrgentDue = m_IsUrgent && Now >= m_UrgentDueAt;
  if (!IsDue && !IsUrgentDue)
    return std::nullopt;
  QuotaNotice Notice;
  size_t ShareReports = 0;
  for (auto &Each : m_States) {
    State &Value = Each.second;
    if (!IsDue && Value.m_Need <= 0)
      continue;
    fill(Value, Now);
    addDemand(Value, 0, Now);
    // A share is only given back by asking.
    const bool HasUse = Value.m_Need > 0 ||
                        Value.m_DemandPerSecond >= MinDemand ||
                        Value.m_Share > 0;
    const bool ReportsShare = m_Holding != 0 && Value.m_ShareReportsLeft > 0 &&
                              ShareReports < MaxShareReports;
    if (!HasUse && !ReportsShare)
      continue;
    ShareReports += HasUse ? 0 : 1;
    Notice.m_Asks.push_back(askOf(Each.first, Value, Now));
  }
  m_IsUrgent = false;
  if (IsDue)
    m_AskDueAt = Now + m_Timing.m_AskPeriod;
  m_UrgentDueAt = Now + MinAskPeriod;
  if (Notice.m_Asks.empty())
    return std::nullopt;
  m_LastAskedAt = std::max(micros(Now), m_LastAskedAt + 1);
  Notice.m_AskerStart = m_Start;
  Notice.m_AskedAt = m_LastAskedAt;
  while (!m_Asked.empty() &&
         m_Asked.front() < micros(Now) - m_Timing.m_GrantLifetime.count())
    m_Asked.pop_front();
  m_Asked.push_back(m_LastAskedAt);
  if (!m_SilentSince)
    m_SilentSince = Now;
  return Notice;
}

bool QuotaGate::onAnswer(const QuotaNotice &Notice, model::TimePoint Now) {
  const auto Asked =
      std::find(m_Asked.begin(), m_Asked.end(), Notice.m_AskedAt);
  if (Notice.m_AskerStart != m_Start || Asked == m_Asked.end())
    return false;
  m_Asked.erase(Asked);
  const model::TimePoint AskedAt{model::Duration(Notice.m_AskedAt)};
  if (Now - AskedAt >= m_Timing.m_GrantLifetime)
    return false;
  m_SilentSince.reset();
  onHolder(Notice.m_Holding);
  for (const QuotaAnswer &Each : Notice.m_Answers) {
    const auto Found = m_States.find(Each.m_Organisation);
    if (Found == m_States.end())
      continue;
    State &Value = Found->second;
    if (Notice.m_Holding == m_Holding && Value.m_ShareReportsLeft > 0)
      --Value.m_ShareReportsLeft;
    fill(Value, Now);
    if (Each.m_Granted > 0)
      Value.m_Lots.push_back({static_cast<double>(Each.m_Granted),
                              AskedAt + m_Timing.m_GrantLifetime});
    Value.m_Use.m_Granted += static_cast<double>(Each.m_Granted);
    if (Each.m_Wait > 0) {
      const model::Duration Wait =
          std::min(MaxRetryAfter, model::Duration(Each.m_Wait));
      Value.m_ThereAt = Now + Wait;
      Value.m_EmptyUntil = Now + std::min(MaxEmptyTime, Wait);
    }
    Value.m_IsAsked = false;
    Value.m_Need = 0;
    if (Notice.m_AskedAt <= Value.m_HeardAt)
      continue;
    Value.m_HeardAt = Notice.m_AskedAt;
    // The holder counts a greater share until the next asking tells that it is
    // lowered: till then it is used.
    Value.m_NextShare = Each.m_MayRaise ? std::min(Each.m_Share, WholeShare)
                                        : std::min(Each.m_Share, Value.m_Share);
    Value.m_Share = std::max(Value.m_Share, Value.m_NextShare);
    Value.m_ShareExpiresAt = AskedAt + m_Timing.m_ShareLifetime;
    fill(Value, Now);
  }
  return true;
}

void QuotaGate::onHolder(uint64_t Holding) {
  if (Holding <= m_Holding)
    return;
  m_Holding = Holding;
  for (auto &Each : m_States)
    Each.second.m_ShareReportsLeft = ShareReportsNeeded;
}

std::vector<QuotaUse> QuotaGate::use(model::TimePoint Now) const {
  std::vector<QuotaUse> Uses;
  for (const auto &Each : m_States) {
    QuotaUse Use = Each.second.m_Use;
    if (Now < Each.second.m_ShareExpiresAt)
      Use.m_Standing = static_cast<double>(Each.second.m_Share) / WholeShare *
                       Each.second.m_Plan.m_StandingPerSecond;
    Uses.push_back(Use);
  }
  return Uses;
}

} // namespace bronzepass::core::organisations
