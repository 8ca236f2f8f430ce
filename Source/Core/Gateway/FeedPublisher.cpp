#include "Core/Gateway/FeedPublisher.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

void FeedPublisher::record(const std::vector<FeedObject> &Objects,
                           const std::vector<FeedChange> &Changes,
                           uint64_t Revision,
                           std::optional<model::TimePoint> ProvenAt) {
  if (ProvenAt)
    m_ProvenAt = std::max(*ProvenAt, m_ProvenAt.value_or(*ProvenAt));
  m_Revision = std::max(m_Revision, Revision);
  for (const FeedObject &Each : Objects) {
    Entry &Known = m_Objects[Each.m_Name];
    if (Each.m_Revision > Known.m_Object.m_Revision)
      Known = {Each, std::max(m_Revision, Each.m_Revision)};
  }
  // A list does not name what was deleted since the one before.
  for (const FeedChange &Each : Changes) {
    Entry &Known = m_Objects[Each.m_Name];
    if (!Each.m_Content && !Known.m_Object.m_Deleted)
      Known = {{Each.m_Name, m_Revision, true, ""}, m_Revision};
  }
  replyWhere([this](const WaitingQuery &Each) {
    return !replyTo(Each.m_Query, Each.m_ReceivedAt).m_Objects.empty();
  });
}

void FeedPublisher::setStanding(const Standing &Current) {
  m_Standing = Current;
  replyWhere(
      [this](const WaitingQuery &Each) { return !mayReply(Each.m_Query); });
}

void FeedPublisher::clear() {
  m_Objects.clear();
  m_Revision = 0;
  m_ProvenAt.reset();
}

uint64_t FeedPublisher::ask(const FeedQuery &Query, model::TimePoint Now,
                            ReplyHandler OnReply) {
  const uint64_t Id = ++m_LastId;
  const FeedReply Reply = replyTo(Query, Now);
  if (!Reply.m_IsAvailable || Query.m_IsList || !Reply.m_Objects.empty())
    OnReply(Reply);
  else
    m_Waiting[Id] = {Query, Now, Now + Query.m_Wait, std::move(OnReply)};
  return Id;
}

void FeedPublisher::tick(model::TimePoint Now) {
  replyWhere([Now](const WaitingQuery &Each) { return Each.m_Until <= Now; });
}

bool FeedPublisher::knowsEraOf(const FeedQuery &Query) const {
  const bool IsAnyEra = Query.m_IsList && !Query.m_Era;
  return m_Standing.m_IsCurrent && !m_Standing.m_IsStoreFailing &&
         (IsAnyEra || m_Standing.m_Era == Query.m_Era);
}

bool FeedPublisher::mayReply(const FeedQuery &Query) const {
  return knowsEraOf(Query) &&
         (Query.m_IsList || Query.m_Revision >= m_Standing.m_CompleteFrom);
}

FeedReply FeedPublisher::replyTo(const FeedQuery &Query,
                                 model::TimePoint ReceivedAt) const {
  FeedReply Reply;
  Reply.m_IsStoreFailing = m_Standing.m_IsStoreFailing;
  Reply.m_IsAvailable = mayReply(Query);
  if (m_Standing.m_IsCurrent)
    Reply.m_Era = m_Standing.m_Era;
  Reply.m_IsHistoryGone = !Reply.m_IsAvailable && knowsEraOf(Query);
  if (!Reply.m_IsAvailable)
    return Reply;
  Reply.m_Revision =
      Query.m_IsList ? m_Revision : std::max(m_Revision, Query.m_Revision);
  if (m_ProvenAt)
    Reply.m_ProofOffset = *m_ProvenAt - ReceivedAt;
  for (const auto &Each : m_Objects)
    if (Query.m_IsList ? !Each.second.m_Object.m_Deleted
                       : Each.second.m_LearnedAt > Query.m_Revision)
      Reply.m_Objects.push_back(Each.second.m_Object);
  return Reply;
}

void FeedPublisher::replyWhere(
    const std::function<bool(const WaitingQuery &)> &IsDue) {
  std::vector<WaitingQuery> Due;
  for (auto Each = m_Waiting.begin(); Each != m_Waiting.end();) {
    if (!IsDue(Each->second)) {
      ++Each;
      continue;
    }
    Due.push_back(std::move(Each->second));
    Each = m_Waiting.erase(Each);
  }
  for (const WaitingQuery &Each : Due)
    Each.m_OnReply(replyTo(Each.m_Query, Each.m_ReceivedAt));
}

} // namespace bronzepass::core::gateway
