#include "Core/Adapters/Gateway/StoreFeeds.h"
#include "Core/Leases/CircuitBreaker.h"

#include <optional>

// Whether the store answers this node, whom it asks otherwise, and what others
// are told of that.
namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Between two calls to a store that does not answer, while other nodes are
/// asked in its place.
constexpr model::Duration ProbePeriod = std::chrono::milliseconds(700);
constexpr model::Duration ProbeTimeout = std::chrono::milliseconds(600);
/// Of several nodes whose watchers fail together, few announce themselves
/// before they hear the others.
constexpr model::Duration MaxStandInDelay = std::chrono::milliseconds(300);
/// The store works, though not for this node, if a node that reads it has
/// answered within this time.
constexpr model::Duration SourceAnswerAge = std::chrono::seconds(2);

} // namespace

void StoreFeeds::onSourceHeard(const gateway::NodeEntry &Source) {
  const model::TimePoint Now = m_Clock.now();
  const bool HadNone = !m_Sources.chooseSource(Now);
  m_Sources.onSourceHeard(Source, Now);
  if (m_IsStoreRefused && HadNone)
    for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
      Each->m_Feed.onStoreRecovered(Now);
}

void StoreFeeds::onSourceLost(const model::NodeId &Node) {
  m_Sources.onSourceLost(Node);
}

void StoreFeeds::updateReach() {
  const auto ReadsStore = [](const Feed &Each) {
    return Each.m_ReadsStore && Each.m_Feed.isCurrent() &&
           !Each.m_Feed.isFailing();
  };
  gateway::StoreReach Reach;
  const model::TimePoint Now = m_Clock.now();
  // Of the other kinds it tells, when asked, whether it knows them.
  Reach.m_IsSource = !m_Leaving && ReadsStore(m_ConfigFeed);
  const bool ShouldAnnounce = Reach.m_IsSource && m_Sources.shouldAnnounce(Now);
  if (ShouldAnnounce && !m_ShouldAnnounce)
    m_AnnounceAt = m_Sources.isWatcher()
                       ? Now
                       : Now + leases::fullJitter(MaxStandInDelay, m_Random);
  m_ShouldAnnounce = ShouldAnnounce;
  Reach.m_Announces = ShouldAnnounce && Now >= m_AnnounceAt;
  Reach.m_IsRefused = m_IsStoreRefused;
  if (Reach == m_Reach)
    return;
  m_Reach = Reach;
  m_Events.onStoreReachChanged(Reach);
}

void StoreFeeds::probeStore() {
  const model::TimePoint Now = m_Clock.now();
  // Otherwise a feed finds out.
  if (!m_IsStoreRefused || !storeAnswersOthers(Now) || m_IsProbing ||
      Now < m_ProbeAt)
    return;
  m_IsProbing = true;
  gateway::FeedCall Call;
  Call.m_MayBeStale = true;
  m_Store.call(m_Dialect.feedCall(gateway::FeedKind::Nodes, Call), ProbeTimeout,
               true, [this, Call](const gateway::HttpResult &Result) {
                 m_IsProbing = false;
                 onStoreCallEnded(m_Dialect.readFeed(Call, Result).m_Status !=
                                  gateway::FeedStatus::Failed);
               });
}

bool StoreFeeds::storeAnswersOthers(model::TimePoint Now) const {
  return m_SourceAnsweredAt && Now - *m_SourceAnsweredAt < SourceAnswerAge;
}

void StoreFeeds::onStoreCallEnded(bool IsAnswered) {
  const model::TimePoint Now = m_Clock.now();
  m_IsStoreRefused = !IsAnswered;
  m_ProbeAt = Now + ProbePeriod;
  if (!IsAnswered && !storeAnswersOthers(Now))
    m_Health.recordFailure(Now);
  else if (IsAnswered && m_Health.recordAnswer())
    for (Feed *const Each : {&m_ConfigFeed, &m_EndpointFeed, &m_NodeFeed})
      Each->m_Feed.onStoreRecovered(Now);
}

std::optional<gateway::NodeEntry>
StoreFeeds::nodeToAsk(const gateway::FeedCall &Call) const {
  const model::TimePoint Now = m_Clock.now();
  const bool IsList = Call.m_Verb == gateway::FeedCall::Verb::List;
  if (m_IsStoreRefused) {
    const std::optional<gateway::NodeEntry> Source =
        m_Sources.chooseSource(Now);
    return Source || IsList ? Source : m_Sources.choose(Now);
  }
  if (IsList)
    return std::nullopt;
  return m_Reach.m_Announces ? m_Sources.chooseTrustedWatcher(Now)
                             : m_Sources.choose(Now);
}

} // namespace bronzepass::core::adapters::gateway
