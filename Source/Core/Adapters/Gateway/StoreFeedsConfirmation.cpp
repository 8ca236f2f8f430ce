#include "Core/Adapters/Gateway/StoreFeeds.h"

#include <optional>
#include <vector>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// A caller waits for the answer.
constexpr model::Duration ConfirmationTimeout = std::chrono::milliseconds(250);
/// Between two such calls of a node, so that many nodes together stay within
/// the rate that the store takes.
constexpr model::Duration ConfirmationPeriod = std::chrono::milliseconds(100);

} // namespace

void StoreFeeds::confirmEndpoints() {
  const model::TimePoint Now = m_Clock.now();
  m_ConfirmsAgain =
      m_IsConfirming || Now < m_ConfirmationAskedAt + ConfirmationPeriod;
  if (m_ConfirmsAgain || !m_EndpointFeed.m_Feed.isCurrent())
    return;
  m_IsConfirming = true;
  m_ConfirmationAskedAt = Now;
  gateway::FeedCall Call;
  Call.m_Verb = gateway::FeedCall::Verb::Watch;
  Call.m_Revision = m_EndpointFeed.m_Feed.revision();
  Call.m_Timeout = ConfirmationTimeout;
  m_Store.call(m_Dialect.feedCall(m_EndpointFeed.m_Kind, Call), Call.m_Timeout,
               false,
               [this, Call, AskedAt = Now,
                Era = m_Store.era()](const gateway::HttpResult &Result) {
                 onConfirmation(AskedAt, Era, m_Dialect.readFeed(Call, Result));
               });
}

void StoreFeeds::onConfirmation(model::TimePoint AskedAt,
                                std::optional<model::StoreEra> Era,
                                const gateway::FeedAnswer &Answer) {
  m_IsConfirming = false;
  Feed &Source = m_EndpointFeed;
  const bool IsUsable = Answer.m_Status == gateway::FeedStatus::Ok &&
                        Era == m_Store.era() && Source.m_Feed.isCurrent();
  if (IsUsable) {
    const std::vector<gateway::FeedChange> Changes =
        Source.m_Feed.handleConfirmation(Answer);
    publishToNodes(Source, Answer, Changes, std::nullopt);
    passOn(Source, Changes, true);
    m_Events.onEndpointsConfirmed(AskedAt);
  }
  m_Log.write("endpoint", IsUsable ? "confirmed" : "unconfirmed",
              {{"revision", static_cast<int64_t>(Answer.m_Revision)},
               {"reason", Answer.m_Reason}});
}

} // namespace bronzepass::core::adapters::gateway
