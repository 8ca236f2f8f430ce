#include "Core/Gateway/ObjectFeed.h"

#include <algorithm>

namespace bronzepass::core::gateway {

ObjectFeed::ObjectFeed(const FeedSettings &Settings, ports::Random &Dice)
    : m_Settings(Settings),
      m_Backoff(Settings.m_BackoffBase, Settings.m_BackoffMost), m_Dice(Dice) {}

std::optional<FeedCall> ObjectFeed::nextCall(model::TimePoint Now) {
  if (m_UnderWay || Now < m_DueAt)
    return std::nullopt;
  m_UnderWay = true;
  FeedCall Call;
  if (m_Watching) {
    Call.m_Verb = FeedCall::Verb::Watch;
    Call.m_Revision = m_Revision;
    Call.m_Wait = m_Settings.m_WatchTurn;
  } else {
    Call.m_After = m_After;
    // The first list has to be right; the others may lag.
    Call.m_MayBeStale = m_Settings.m_ListPeriod && m_Complete;
  }
  Call.m_Timeout = Call.m_Wait + m_Settings.m_AnswerTime;
  return Call;
}

std::vector<FeedChange> ObjectFeed::answered(const FeedAnswer &Answer,
                                             model::TimePoint Now) {
  std::vector<FeedChange> Changes;
  m_UnderWay = false;
  if (Answer.m_Status == FeedStatus::Failed) {
    m_Failing = true;
    m_DueAt = Now + m_Backoff.next(m_Dice);
    return Changes;
  }
  m_Failing = false;
  m_Backoff.reset();
  m_DueAt = Now;
  if (Answer.m_Status == FeedStatus::HistoryGone) {
    m_Watching = false;
    m_After.clear();
    m_ListedNames.clear();
    m_ListRevision.reset();
    return Changes;
  }
  for (const FeedObject &Object : Answer.m_Objects)
    apply(Object, Changes);
  if (m_Watching) {
    m_Revision = std::max(m_Revision, Answer.m_Revision);
    if (!Answer.m_Objects.empty())
      m_DueAt = Now + m_Settings.m_Gather;
    return Changes;
  }
  for (const FeedObject &Object : Answer.m_Objects)
    m_ListedNames.insert(Object.m_Name);
  // What changes between two pages is found by watching from the first one on.
  if (!m_ListRevision)
    m_ListRevision = Answer.m_Revision;
  if (Answer.m_HasMore && !Answer.m_Objects.empty())
    m_After = Answer.m_Objects.back().m_Name;
  else
    endList(Changes);
  if (!m_Watching && m_After.empty() && m_Settings.m_ListPeriod)
    m_DueAt = Now + *m_Settings.m_ListPeriod;
  return Changes;
}

void ObjectFeed::storeAnswers(model::TimePoint Now) {
  if (m_Failing)
    m_DueAt = std::min(m_DueAt, Now);
}

void ObjectFeed::apply(const FeedObject &Object,
                       std::vector<FeedChange> &Changes) {
  Known &Seen = m_Known[Object.m_Name];
  if (Object.m_Revision <= Seen.m_Revision)
    return;
  const bool WasThere = Seen.m_Revision != 0 && !Seen.m_Deleted;
  Seen = {Object.m_Revision, Object.m_Deleted};
  if (!Object.m_Deleted)
    Changes.push_back({Object.m_Name, Object.m_Content});
  else if (WasThere)
    Changes.push_back({Object.m_Name, std::nullopt});
}

void ObjectFeed::endList(std::vector<FeedChange> &Changes) {
  // A list may be older than an event that was seen: what is newer than the
  // list stays.
  for (auto &Entry : m_Known) {
    if (Entry.second.m_Deleted || m_ListedNames.contains(Entry.first) ||
        Entry.second.m_Revision > *m_ListRevision)
      continue;
    Entry.second.m_Deleted = true;
    Changes.push_back({Entry.first, std::nullopt});
  }
  m_Revision = std::max(m_Revision, *m_ListRevision);
  m_Complete = true;
  m_Watching = !m_Settings.m_ListPeriod;
  m_After.clear();
  m_ListedNames.clear();
  m_ListRevision.reset();
}

} // namespace bronzepass::core::gateway
