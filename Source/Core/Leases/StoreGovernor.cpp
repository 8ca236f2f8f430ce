#include "Core/Leases/StoreGovernor.h"

#include <algorithm>

namespace bronzepass::core::leases {

using ports::StoreStatus;
using ports::StoreVerb;

namespace {

constexpr model::Duration MinTimeout = std::chrono::milliseconds(1);

bool isFailure(StoreStatus Status) {
  return Status == StoreStatus::NotSent || Status == StoreStatus::Unknown;
}

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

StoreGovernor::StoreGovernor(const GovernorSettings &Settings,
                             ports::Random &Source)
    : m_Settings(Settings), m_Random(Source),
      m_Circuit(Settings.m_Circuit, Source), m_Tokens(Settings.m_Burst),
      m_RetryTokens(Settings.m_MaxRetryTokens) {}

model::CallId StoreGovernor::submit(StoreClient Client, ports::StoreCall Call,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  if (Call.m_Timeout.count() <= 0)
    Call.m_Timeout = m_Settings.m_DefaultTimeout;
  Entry E;
  E.m_Client = Client;
  E.m_Id = nextId();
  E.m_ExpiresAt = Now + Call.m_Timeout;
  E.m_ReadyAt = Now;
  E.m_Call = std::move(Call);
  const model::CallId Id = E.m_Id;
  // If the queue is full, the next tick answers the call as timed out.
  if (m_Queue.size() >= m_Settings.m_MaxQueued)
    E.m_ExpiresAt = Now;
  m_Queue.emplace(QueueKey(E.m_Call.m_Priority, ++m_LastQueued), std::move(E));
  sendReady(Now, Out);
  return Id;
}

std::optional<RoutedAnswer>
StoreGovernor::onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                        ports::EffectList &Out) {
  auto Found = m_InFlight.find(Answer.m_Id);
  if (Found == m_InFlight.end()) {
    ++m_Counts.m_Unmatched;
    return std::nullopt;
  }
  Entry E = std::move(Found->second);
  m_InFlight.erase(Found);
  if (isWatch(E))
    --m_WatchesInFlight;
  if (isFailure(Answer.m_Status)) {
    m_Circuit.onFailure(Now);
  } else {
    m_Circuit.onSuccess();
    m_RetryTokens = std::min(m_RetryTokens + m_Settings.m_RetriesPerSuccess,
                             m_Settings.m_MaxRetryTokens);
  }
  if (mayRetry(E, Answer.m_Status, Now)) {
    retry(std::move(E), Now);
    sendReady(Now, Out);
    return std::nullopt;
  }
  if (Answer.m_Status == StoreStatus::Unknown)
    ++m_Counts.m_Unknown;
  RoutedAnswer Routed{E.m_Client, Answer};
  Routed.m_Answer.m_Id = E.m_Id;
  sendReady(Now, Out);
  return Routed;
}

std::vector<RoutedAnswer> StoreGovernor::tick(model::TimePoint Now,
                                              ports::EffectList &Out) {
  std::vector<RoutedAnswer> Answers;
  expireQueued(Now, Answers);
  expireInFlight(Now, Answers);
  sendReady(Now, Out);
  return Answers;
}

bool StoreGovernor::isRead(const Entry &E) {
  const StoreVerb Verb = E.m_Call.m_Verb;
  return Verb == StoreVerb::Get || Verb == StoreVerb::List ||
         Verb == StoreVerb::Watch;
}

RoutedAnswer StoreGovernor::failed(const Entry &E, StoreStatus Status) {
  return {E.m_Client, {.m_Id = E.m_Id, .m_Status = Status}};
}

void StoreGovernor::refill(model::TimePoint Now) {
  const model::Duration Passed =
      m_RefilledAt ? Now - *m_RefilledAt : model::Duration(0);
  m_RefilledAt = Now;
  m_Tokens = std::min(m_Settings.m_Burst,
                      m_Tokens + seconds(Passed) * m_Settings.m_CallsPerSecond);
}

bool StoreGovernor::hasFreeSlot(const Entry &E) const {
  if (isWatch(E))
    return m_WatchesInFlight < m_Settings.m_MaxWatches;
  return m_InFlight.size() - m_WatchesInFlight < m_Settings.m_MaxConcurrent;
}

bool StoreGovernor::mayRetry(const Entry &E, StoreStatus Status,
                             model::TimePoint Now) const {
  const bool Safe = Status == StoreStatus::NotSent ||
                    (Status == StoreStatus::Unknown && isRead(E));
  return Safe && E.m_Attempts < m_Settings.m_MaxAttempts &&
         Now < E.m_ExpiresAt && m_RetryTokens >= 1;
}

void StoreGovernor::retry(Entry E, model::TimePoint Now) {
  m_RetryTokens -= 1;
  ++m_Counts.m_Retries;
  E.m_ReadyAt = Now + fullJitter(exponentialBackoff(m_Settings.m_BackoffBase,
                                                    E.m_Attempts - 1,
                                                    m_Settings.m_BackoffMax),
                                 m_Random);
  m_Queue.emplace(QueueKey(E.m_Call.m_Priority, ++m_LastQueued), std::move(E));
}

void StoreGovernor::sendReady(model::TimePoint Now, ports::EffectList &Out) {
  refill(Now);
  for (auto It = m_Queue.begin(); It != m_Queue.end();) {
    if (m_Tokens < 1 || !m_Circuit.allowsCall(Now))
      return;
    const Entry &E = It->second;
    if (E.m_ReadyAt > Now || E.m_ExpiresAt <= Now || !hasFreeSlot(E)) {
      ++It;
      continue;
    }
    send(std::move(It->second), Now, Out);
    It = m_Queue.erase(It);
  }
}

void StoreGovernor::send(Entry E, model::TimePoint Now,
                         ports::EffectList &Out) {
  m_Tokens -= 1;
  m_Circuit.onSent();
  ++m_Counts.m_Sent[{E.m_Call.m_Verb, E.m_Call.m_Priority}];
  // The first attempt uses the id that the client knows.
  E.m_Call.m_Id = E.m_Attempts == 0 ? E.m_Id : nextId();
  ++E.m_Attempts;
  ports::StoreCall Call = E.m_Call;
  if (isWatch(E)) {
    ++m_WatchesInFlight;
    E.m_ExpiresAt = Now + Call.m_Timeout;
  } else {
    Call.m_Timeout = std::max<model::Duration>(E.m_ExpiresAt - Now, MinTimeout);
  }
  m_InFlight.emplace(Call.m_Id, std::move(E));
  Out.push_back(std::move(Call));
}

void StoreGovernor::expireQueued(model::TimePoint Now,
                                 std::vector<RoutedAnswer> &Answers) {
  for (auto It = m_Queue.begin(); It != m_Queue.end();) {
    if (It->second.m_ExpiresAt > Now) {
      ++It;
      continue;
    }
    ++m_Counts.m_Expired;
    Answers.push_back(failed(It->second, StoreStatus::NotSent));
    It = m_Queue.erase(It);
  }
}

void StoreGovernor::expireInFlight(model::TimePoint Now,
                                   std::vector<RoutedAnswer> &Answers) {
  for (auto It = m_InFlight.begin(); It != m_InFlight.end();) {
    if (It->second.m_ExpiresAt + m_Settings.m_AnswerGrace > Now) {
      ++It;
      continue;
    }
    if (isWatch(It->second))
      --m_WatchesInFlight;
    m_Circuit.onFailure(Now);
    ++m_Counts.m_Unknown;
    Answers.push_back(failed(It->second, StoreStatus::Unknown));
    It = m_InFlight.erase(It);
  }
}

} // namespace bronzepass::core::leases
