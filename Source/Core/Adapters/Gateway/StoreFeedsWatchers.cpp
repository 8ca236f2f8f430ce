#include "Core/Adapters/Gateway/StoreFeeds.h"
#include "Core/Gateway/WatchTimes.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

void StoreFeeds::askWatcher(Feed &Source, const gateway::FeedCall &Call,
                            const gateway::NodeEntry &Watcher) {
  logSource(Source, Watcher.m_Node,
            m_IsStoreRefused ? "the store does not answer this node" : "");
  const gateway::FeedQuery Query{Source.m_Kind, Call.m_Revision, m_Store.era(),
                                 Call.m_Wait,
                                 Call.m_Verb == gateway::FeedCall::Verb::List};
  m_Relay.ask(Watcher.m_PeerAddress, Query, Call.m_Timeout,
              [this, &Source, Node = Watcher.m_Node](
                  const std::optional<gateway::FeedReply> &Reply,
                  const std::string &Reason) {
                onWatcherReply(Source, Node, Reply, Reason);
              });
}

std::optional<std::string>
StoreFeeds::reasonToReject(const Feed &Source, const gateway::FeedReply &Reply,
                           std::optional<model::TimePoint> ProvenAt) const {
  if (!Reply.m_IsAvailable)
    return " can't tell the state of the store";
  if (needsProof(Source) && (!ProvenAt || m_Clock.now() - *ProvenAt >
                                              gateway::maxRelayedProofAge(
                                                  m_Times.m_KeyRevocationTime)))
    return " has no recent proof that the configuration is in force";
  return std::nullopt;
}

void StoreFeeds::onWatcherReply(Feed &Source, const model::NodeId &Watcher,
                                const std::optional<gateway::FeedReply> &Reply,
                                const std::string &Reason) {
  const model::TimePoint Now = m_Clock.now();
  if (Reply && Reply->m_Era && Reply->m_Era != m_Store.era()) {
    const bool IsFirst = !m_Store.era();
    const bool IsNews = m_Store.learnEra(*Reply->m_Era);
    if (IsNews && !IsFirst) {
      // All is read again.
      Source.m_Feed.abandonCall();
      return;
    }
  }
  std::optional<model::TimePoint> ProvenAt;
  // The watcher received the question after it was asked.
  if (Reply && Reply->m_ProofOffset)
    ProvenAt = std::min(Now, Source.m_AskedAt + *Reply->m_ProofOffset);
  const std::optional<std::string> Fault =
      Reply ? reasonToReject(Source, *Reply, ProvenAt) : ": " + Reason;
  if (!Fault) {
    m_Sources.onWatcherAnswered(Watcher);
    Source.m_ReadsStore = false;
    m_SourceAnsweredAt = Now;
    if (m_Health.recordAnswer())
      for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
        Each->m_Feed.onStoreRecovered(Now);
    applyAnswer(Source,
                {.m_Status = gateway::FeedStatus::Ok,
                 .m_Objects = Reply->m_Objects,
                 .m_Revision = Reply->m_Revision},
                ProvenAt);
    return;
  }
  if (Reply && Reply->m_IsHistoryGone && m_IsStoreRefused) {
    // The store, which would know the history, can't be asked.
    applyAnswer(Source, {.m_Status = gateway::FeedStatus::HistoryGone}, {});
    return;
  }
  if (Reply)
    m_Sources.onWatcherUnavailable(Watcher, m_IsStoreRefused, Now);
  else
    m_Sources.onWatcherFailed(Watcher, Now);
  // Entries that lapse in a store outage that the watcher alone has noticed
  // are retained as in any other.
  if (Reply && Reply->m_IsStoreFailing)
    m_Health.recordFailure(Now);
  logSource(Source, model::NodeId(), Watcher.str() + *Fault);
  Source.m_Feed.abandonCall();
  Source.m_AsksStoreNext = !m_IsStoreRefused;
  startDueCall(Source);
}

void StoreFeeds::publishToNodes(Feed &Source, const gateway::FeedAnswer &Answer,
                                const std::vector<gateway::FeedChange> &Changes,
                                std::optional<model::TimePoint> ProvenAt) {
  updateStanding(Source);
  if (Answer.m_Status != gateway::FeedStatus::Ok)
    return;
  std::vector<gateway::FeedObject> Objects = Answer.m_Objects;
  for (gateway::FeedObject &Each : Objects)
    if (!Each.m_Deleted)
      Each.m_Content = m_Dialect.contentForNodes(Source.m_Kind, Each.m_Content);
  m_Relay.publisher(Source.m_Kind)
      .record(Objects, Changes, Source.m_Feed.revision(), ProvenAt);
}

void StoreFeeds::updateStanding(Feed &Source) {
  m_Relay.publisher(Source.m_Kind)
      .setStanding({Source.m_ReadsStore && Source.m_Feed.isCurrent(),
                    Source.m_Feed.isFailing(), m_Store.era(),
                    Source.m_Feed.completeFrom()});
}

void StoreFeeds::updateStandings() {
  for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
    updateStanding(*Each);
}

bool StoreFeeds::needsProof(const Feed &Source) const {
  return Source.m_Kind == gateway::FeedKind::Config &&
         m_Times.m_KeyRevocationTime > model::Duration::zero();
}

} // namespace bronzepass::core::adapters::gateway
