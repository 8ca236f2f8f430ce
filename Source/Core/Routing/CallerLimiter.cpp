#include "Core/Routing/CallerLimiter.h"

#include "Core/Routing/Seconds.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

// Bucket capacity, in seconds of its refill rate.
constexpr double BurstSeconds = 1;
constexpr model::Duration ConcurrencyRetryAfter =
    std::chrono::milliseconds(500);

} // namespace

void CallerLimiter::Bucket::refill(double Rate, double Cap, double Elapsed) {
  m_Available = std::min(Cap, m_Available + Rate * Elapsed);
}

double CallerLimiter::localRate(double Limit, double RemoteUse,
                                size_t Nodes) const {
  double RemoteRate = RemoteUse / toSeconds(m_Period);
  return std::max(Limit - RemoteRate, Limit / static_cast<double>(Nodes));
}

void CallerLimiter::refill(Entry &Value, model::TimePoint Now) const {
  const model::CallerLimits &Limits = Value.m_Limits;
  double RequestRate = localRate(Limits.m_RequestsPerSecond,
                                 Value.m_RemoteUsage.m_Requests, Value.m_Nodes);
  double TokenRate = localRate(Limits.m_TokensPerSecond,
                               Value.m_RemoteUsage.m_Tokens, Value.m_Nodes);
  double Elapsed = toSeconds(Now - Value.m_RefilledAt);
  if (Value.m_StartFull)
    Elapsed = BurstSeconds;
  Value.m_StartFull = false;
  Value.m_RefilledAt = Now;
  // The capacity is at least one whole request: otherwise a limit below one
  // request per second would admit none.
  Value.m_Requests.refill(RequestRate,
                          std::max(1.0, RequestRate * BurstSeconds), Elapsed);
  Value.m_Tokens.refill(TokenRate, TokenRate * BurstSeconds, Elapsed);
}

std::optional<model::Duration>
CallerLimiter::admit(const model::CallerSpec &Caller, size_t Nodes,
                     model::TimePoint Now) {
  Entry &Value = m_Entries[Caller.m_Name];
  bool NewLimits = Value.m_Limits != Caller.m_Limits;
  Value.m_Limits = Caller.m_Limits;
  Value.m_Nodes = std::max<size_t>(1, Nodes);
  Value.m_StartFull |= NewLimits;
  refill(Value, Now);
  const model::CallerLimits &Limits = Value.m_Limits;
  if (Limits.m_RequestsPerSecond > 0 && Value.m_Requests.m_Available < 1) {
    double Rate = localRate(Limits.m_RequestsPerSecond,
                            Value.m_RemoteUsage.m_Requests, Value.m_Nodes);
    return fromSeconds((1 - Value.m_Requests.m_Available) / Rate);
  }
  if (Limits.m_TokensPerSecond > 0 && Value.m_Tokens.m_Available <= 0) {
    double Rate = localRate(Limits.m_TokensPerSecond,
                            Value.m_RemoteUsage.m_Tokens, Value.m_Nodes);
    return fromSeconds((1 - Value.m_Tokens.m_Available) / Rate);
  }
  if (Limits.m_Concurrent > 0) {
    double LocalLimit = std::max<double>(
        static_cast<double>(Limits.m_Concurrent) -
            Value.m_RemoteUsage.m_InFlight,
        static_cast<double>(Limits.m_Concurrent) / Value.m_Nodes);
    if (Value.m_LocalUsage.m_InFlight >= std::max(1.0, LocalLimit))
      return ConcurrencyRetryAfter;
  }
  Value.m_Requests.m_Available -= 1;
  Value.m_LocalUsage.m_Requests += 1;
  Value.m_LocalUsage.m_InFlight += 1;
  return std::nullopt;
}

void CallerLimiter::onRequestEnded(const model::CallerId &Caller,
                                   uint32_t Tokens) {
  auto Found = m_Entries.find(Caller);
  if (Found == m_Entries.end())
    return;
  Entry &Value = Found->second;
  Value.m_Tokens.m_Available -= Tokens;
  Value.m_LocalUsage.m_Tokens += Tokens;
  if (Value.m_LocalUsage.m_InFlight > 0)
    --Value.m_LocalUsage.m_InFlight;
}

void CallerLimiter::setRemoteUsage(
    const std::vector<ports::CallerUsage> &RemoteUsage) {
  for (auto &[Caller, Value] : m_Entries)
    Value.m_RemoteUsage = ports::CallerUsage();
  for (const ports::CallerUsage &Each : RemoteUsage) {
    Entry &Value = m_Entries[Each.m_Caller];
    Value.m_RemoteUsage = Each;
    double Period = toSeconds(m_Period);
    const model::CallerLimits &Limits = Value.m_Limits;
    double Nodes = static_cast<double>(Value.m_Nodes);
    if (Limits.m_RequestsPerSecond > 0) {
      double Over = Each.m_Requests + Value.m_LastLocalUsage.m_Requests -
                    Limits.m_RequestsPerSecond * Period;
      Value.m_Requests.m_Available -= std::max(0.0, Over / Nodes);
    }
    if (Limits.m_TokensPerSecond > 0) {
      double Over = Each.m_Tokens + Value.m_LastLocalUsage.m_Tokens -
                    Limits.m_TokensPerSecond * Period;
      Value.m_Tokens.m_Available -= std::max(0.0, Over / Nodes);
    }
  }
}

std::vector<ports::CallerUsage> CallerLimiter::takeUsage() {
  std::vector<ports::CallerUsage> Usage;
  for (auto It = m_Entries.begin(); It != m_Entries.end();) {
    Entry &Value = It->second;
    Value.m_LocalUsage.m_Caller = It->first;
    bool Used = Value.m_LocalUsage.m_Requests > 0 ||
                Value.m_LocalUsage.m_Tokens > 0 ||
                Value.m_LocalUsage.m_InFlight > 0;
    bool UsedBefore = Value.m_LastLocalUsage.m_Requests > 0;
    Value.m_LastLocalUsage = Value.m_LocalUsage;
    Value.m_LocalUsage.m_Requests = 0;
    Value.m_LocalUsage.m_Tokens = 0;
    if (Used)
      Usage.push_back(Value.m_LastLocalUsage);
    bool Overdrawn =
        Value.m_Requests.m_Available < 0 || Value.m_Tokens.m_Available < 0;
    bool UsedElsewhere = Value.m_RemoteUsage.m_Requests > 0 ||
                         Value.m_RemoteUsage.m_InFlight > 0;
    if (!Used && !UsedBefore && !UsedElsewhere && !Overdrawn)
      It = m_Entries.erase(It);
    else
      ++It;
  }
  return Usage;
}

} // namespace bronzepass::core::routing
