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
  logSource(Source, Watcher.m_Node, "");
  const gateway::FeedQuery Query{Source.m_Kind, Call.m_Revision, m_Store.era(),
                                 Call.m_Wait};
  m_Relay.ask(Watcher.m_PeerAddress, Query, Call.m_Timeout,
              [this, &Source, Node = Watcher.m_Node](
                  const std::optional<gateway::FeedReply> &Reply,
                  const std::string &Reason) {
                onWatcherReply(Source, Node, Reply, Reason);
              });
}

void StoreFeeds::onWatcherReply(Feed &Source, const model::NodeId &Watcher,
                                const std::optional<gateway::FeedReply> &Reply,
                                const std::string &Reason) {
  const model::TimePoint Now = m_Clock.now();
  std::optional<model::TimePoint> ProvenAt;
  // The watcher received the question after it was asked.
  if (Reply && Reply->m_ProofOffset)
    ProvenAt = std::min(Now, Source.m_AskedAt + *Reply->m_ProofOffset);
  const bool IsProven =
      !needsProof(Source) ||
      (ProvenAt && Now - *ProvenAt <= gateway::maxRelayedProofAge(
                                          m_Times.m_KeyRevocationTime));
  if (Reply && Reply->m_IsAvailable && IsProven) {
    m_Sources.onWatcherAnswered(Watcher);
    applyAnswer(Source,
                {.m_Status = gateway::FeedStatus::Ok,
                 .m_Objects = Reply->m_Objects,
                 .m_Revision = Reply->m_Revision},
                ProvenAt);
    return;
  }
  if (Reply)
    m_Sources.onWatcherUnavailable(Watcher, Now);
  else
    m_Sources.onWatcherFailed(Watcher, Now);
  // Entries that lapse in a store outage that the watcher alone has noticed
  // are retained as in any other.
  if (Reply && Reply->m_IsStoreFailing)
    m_Health.recordFailure(Now);
  logSource(Source, model::NodeId(),
            Reply ? Watcher.str() + (Reply->m_IsAvailable
                                         ? " has no recent proof that the "
                                           "configuration is in force"
                                         : " can't tell the state of the store")
                  : Watcher.str() + ": " + Reason);
  Source.m_Feed.abandonCall();
  Source.m_AsksStoreNext = true;
  startDueCall(Source);
}

void StoreFeeds::publishToNodes(Feed &Source, const gateway::FeedAnswer &Answer,
                                const std::vector<gateway::FeedChange> &Changes,
                                std::optional<model::TimePoint> ProvenAt) {
  if (Source.m_Kind == gateway::FeedKind::Nodes)
    return;
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
      .setStanding({m_Sources.isWatcher() && Source.m_Feed.isCurrent(),
                    Source.m_Feed.isFailing(), m_Store.era(),
                    Source.m_Feed.completeFrom()});
}

bool StoreFeeds::needsProof(const Feed &Source) const {
  return Source.m_Kind == gateway::FeedKind::Config &&
         m_Times.m_KeyRevocationTime > model::Duration::zero();
}

} // namespace bronzepass::core::adapters::gateway
