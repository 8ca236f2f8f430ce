#include "Core/Membership/IntentWatch.h"

#include "Core/Membership/IntentParts.h"

#include <variant>

namespace bronzepass::core::membership {

namespace {

constexpr model::Duration ListTimeout = std::chrono::seconds(2);
constexpr model::Duration WatchTimeout = std::chrono::seconds(30);
/// An answer this much later than its timeout is taken for lost.
constexpr model::Duration AnswerGrace = std::chrono::seconds(5);
/// A watch that ends sooner without a change was refused in its response body,
/// e.g. because its version is too old.
constexpr model::Duration MinWatchDuration = std::chrono::seconds(1);
constexpr model::Duration RetryBase = std::chrono::milliseconds(500);
constexpr model::Duration RetryCap = std::chrono::seconds(5);

} // namespace

IntentWatch::IntentWatch(StoreSubmitter Submit, ports::Random &Random)
    : m_Submit(std::move(Submit)), m_Random(Random),
      m_Backoff(RetryBase, RetryCap) {}

void IntentWatch::tick(model::TimePoint Now) {
  if (m_Call && Now >= m_AnswerDeadline)
    scheduleRetry(Now);
  if (m_Call || Now < m_NextAt)
    return;
  if (m_NeedsList)
    submit(ports::StoreVerb::List, Now);
  else if (m_Watching)
    submit(ports::StoreVerb::Watch, Now);
}

void IntentWatch::submit(ports::StoreVerb Verb, model::TimePoint Now) {
  const bool IsWatch = Verb == ports::StoreVerb::Watch;
  ports::StoreCall Call{.m_Verb = Verb,
                        .m_Key = intentHeadKey(),
                        .m_Priority = ports::StorePriority::Intent,
                        .m_Timeout = IsWatch ? WatchTimeout : ListTimeout};
  if (IsWatch)
    Call.m_Expected = m_Version;
  m_Verb = Verb;
  m_SentAt = Now;
  m_AnswerDeadline = Now + Call.m_Timeout + AnswerGrace;
  m_Call = m_Submit(std::move(Call));
}

void IntentWatch::scheduleRetry(model::TimePoint Now) {
  m_Call = model::CallId();
  // The version of the watch may have been too old, so list again.
  m_NeedsList = true;
  m_NextAt = Now + m_Backoff.next(m_Random);
}

IntentWatch::Outcome
IntentWatch::onStoreAnswer(const ports::StoreAnswer &Answer,
                           model::TimePoint Now) {
  if (!m_Call || Answer.m_Id != m_Call)
    return {};
  Outcome Seen{.m_IsOwnCall = true};
  if (Answer.m_Status != ports::StoreStatus::Ok) {
    scheduleRetry(Now);
    return Seen;
  }
  const bool Refused = m_Verb == ports::StoreVerb::Watch &&
                       Answer.m_Objects.empty() &&
                       Now - m_SentAt < MinWatchDuration;
  if (Refused) {
    scheduleRetry(Now);
    return Seen;
  }
  m_Call = model::CallId();
  m_NeedsList = false;
  m_HasRead = true;
  m_Version = Answer.m_ListVersion;
  // A successful list doesn't show that the following watch will succeed.
  if (m_Verb == ports::StoreVerb::Watch)
    m_Backoff.reset();
  for (const ports::StoredObject &Object : Answer.m_Objects)
    if (Object.m_Key == intentHeadKey())
      if (const auto *Head = std::get_if<model::IntentHead>(&Object.m_Record))
        Seen.m_Head = *Head;
  return Seen;
}

} // namespace bronzepass::core::membership
