#include "Core/Gateway/ObjectFeed.h"

#include "Core/Leases/CircuitBreaker.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

ObjectFeed::ObjectFeed(const FeedSettings &Settings, ports::Random &Random)
    : m_Settings(Settings), m_WatchAnswerTimeout(Settings.m_AnswerTimeout),
      m_Backoff(Settings.m_BaseBackoff, Settings.m_MaxBackoff),
      m_Random(Random) {}

std::optional<FeedCall> ObjectFeed::nextCall(model::TimePoint Now) {
  if (m_CallInProgress || Now < m_NextCallAt)
    return std::nullopt;
  m_CallInProgress = true;
  FeedCall Call;
  if (m_Watching) {
    Call.m_Verb = FeedCall::Verb::Watch;
    Call.m_Revision = m_Revision;
    // While the store does not answer, a call that waits for a change would
    // hide its return until one comes.
    Call.m_Wait =
        m_Failing ? model::Duration::zero() : m_Settings.m_WatchTimeout;
  } else {
    Call.m_After = m_After;
    // The first list, and the first after a restore, has to be up to date.
    Call.m_MayBeStale =
        m_Settings.m_ListPeriod && isCurrent() && !m_IsSecondListDue;
  }
  Call.m_Timeout = Call.m_Wait + (m_Watching ? m_WatchAnswerTimeout
                                             : m_Settings.m_AnswerTimeout);
  return Call;
}

std::vector<FeedChange> ObjectFeed::handleAnswer(const FeedAnswer &Answer,
                                                 model::TimePoint Now) {
  std::vector<FeedChange> Changes;
  m_CallInProgress = false;
  if (std::exchange(m_DiscardAnswer, false))
    return Changes;
  if (Answer.m_Status == FeedStatus::Failed) {
    m_Failing = true;
    m_NextCallAt = Now + m_Backoff.next(m_Random);
    return Changes;
  }
  m_Failing = false;
  m_Backoff.reset();
  m_NextCallAt = Now;
  if (Answer.m_Status == FeedStatus::HistoryGone) {
    startList();
    return Changes;
  }
  for (const FeedObject &Object : Answer.m_Objects)
    apply(Object, Changes);
  if (m_Watching) {
    if (Answer.m_Objects.empty()) {
      advanceWithDelay(Answer.m_Revision, Now);
      return Changes;
    }
    m_ReportedRevisions.clear();
    m_Revision = std::max(m_Revision, Answer.m_Revision);
    m_NextCallAt = Now + m_Settings.m_BatchDelay;
    return Changes;
  }
  for (const FeedObject &Object : Answer.m_Objects)
    m_ListedNames.insert(Object.m_Name);
  // Watches from the first page's revision, to see changes between pages.
  if (!m_ListRevision)
    m_ListRevision = Answer.m_Revision;
  if (Answer.m_HasMore && !Answer.m_Objects.empty())
    m_After = Answer.m_Objects.back().m_Name;
  else
    finishList(Changes);
  if (!m_Watching && m_After.empty() && m_Settings.m_ListPeriod)
    m_NextCallAt = Now + (m_IsSecondListDue ? *m_Settings.m_SecondListDelay
                                            : *m_Settings.m_ListPeriod);
  return Changes;
}

void ObjectFeed::advanceWithDelay(uint64_t Named, model::TimePoint Now) {
  if (Named > m_Revision)
    m_ReportedRevisions.push_back({Now, Named});
  while (!m_ReportedRevisions.empty() &&
         Now - m_ReportedRevisions.front().m_At >= m_Settings.m_RevisionDelay) {
    m_Revision = std::max(m_Revision, m_ReportedRevisions.front().m_Revision);
    m_ReportedRevisions.pop_front();
  }
}

std::vector<FeedChange>
ObjectFeed::handleConfirmation(const FeedAnswer &Answer) {
  std::vector<FeedChange> Changes;
  for (const FeedObject &Object : Answer.m_Objects)
    apply(Object, Changes);
  // A list that is under way finds out for itself what is missing from it, and
  // an answer that brings nothing may have missed a change.
  if (m_Watching && !Answer.m_Objects.empty())
    m_Revision = std::max(m_Revision, Answer.m_Revision);
  return Changes;
}

void ObjectFeed::abandonCall() {
  m_CallInProgress = false;
  m_DiscardAnswer = false;
}

void ObjectFeed::onStoreRecovered(model::TimePoint Now) {
  if (m_Failing)
    m_NextCallAt = std::min(m_NextCallAt, Now);
}

void ObjectFeed::onStoreRestored(model::TimePoint Now,
                                 model::Duration MaxDelay) {
  m_DiscardAnswer = m_CallInProgress;
  m_RestorePending = true;
  m_Revision = 0;
  startList();
  for (auto &Entry : m_Seen)
    Entry.second.m_Revision = 0;
  m_NextCallAt = Now + leases::fullJitter(MaxDelay, m_Random);
}

std::optional<uint64_t> ObjectFeed::revisionOf(const std::string &Name) const {
  const auto Found = m_Seen.find(Name);
  if (Found == m_Seen.end() || Found->second.m_Deleted ||
      Found->second.m_Revision == 0)
    return std::nullopt;
  return Found->second.m_Revision;
}

void ObjectFeed::startList() {
  m_Watching = false;
  m_ReportedRevisions.clear();
  m_After.clear();
  m_ListedNames.clear();
  m_ListRevision.reset();
}

void ObjectFeed::apply(const FeedObject &Object,
                       std::vector<FeedChange> &Changes) {
  const auto Inserted = m_Seen.try_emplace(Object.m_Name);
  SeenObject &Seen = Inserted.first->second;
  const bool IsNew = Inserted.second;
  if (!IsNew && Object.m_Revision <= Seen.m_Revision)
    return;
  const bool WasThere = !IsNew && !Seen.m_Deleted;
  const bool WasSeenBeforeRestore = WasThere && Seen.m_Revision == 0;
  const SeenObject Before = Seen;
  Seen = {Object.m_Revision, Object.m_Deleted,
          model::stableHash(Object.m_Content)};
  if (Object.m_Deleted) {
    if (WasThere)
      Changes.push_back({Object.m_Name, std::nullopt});
    return;
  }
  if (!WasSeenBeforeRestore || Before.m_ContentHash != Seen.m_ContentHash)
    Changes.push_back({Object.m_Name, Object.m_Content});
}

void ObjectFeed::finishList(std::vector<FeedChange> &Changes) {
  // With a list period, objects that a restore has lost stay for one period, in
  // which their owners write them again.
  const bool KeepsMissing = m_RestorePending && m_Settings.m_ListPeriod;
  // A list may be older than an event already seen: keeps objects newer than
  // the list.
  for (auto &Entry : m_Seen) {
    if (Entry.second.m_Deleted || m_ListedNames.contains(Entry.first) ||
        Entry.second.m_Revision > *m_ListRevision || KeepsMissing)
      continue;
    Entry.second.m_Deleted = true;
    Changes.push_back({Entry.first, std::nullopt});
  }
  m_Revision = std::max(m_Revision, *m_ListRevision);
  m_CompleteFrom = m_Revision;
  m_IsSecondListDue = !m_ListedOnce && m_Settings.m_SecondListDelay.has_value();
  m_ListedOnce = true;
  m_RestorePending = false;
  m_Watching = !m_Settings.m_ListPeriod;
  m_After.clear();
  m_ListedNames.clear();
  m_ListRevision.reset();
}

} // namespace bronzepass::core::gateway
