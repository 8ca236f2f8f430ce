#include "Core/Gateway/WatchTimes.h"

#include "Core/Gateway/ObjectFeed.h"

#include <algorithm>
#include <chrono>

namespace bronzepass::core::gateway {

namespace {

constexpr model::Duration ConfigBatchDelay = std::chrono::milliseconds(50);
/// Shares of the leave notice. Each watch costs a call, and entries change with
/// every copy; urgent changes of copies are sent directly between nodes.
constexpr double EndpointBatchShare = 0.6;
/// The same where other nodes learn of the change from this one.
constexpr double RelayedBatchShare = 0.25;
constexpr double RelayedWatchShare = 0.4;
/// What a configuration takes to reach the last node is the sum of the delay, a
/// watch that fails unnoticed, a question to the node that made it and was lost
/// just before it noticed, and the call to the store that follows: together
/// less than its bound.
constexpr double RelayedConfigWatchShare = 0.18;
constexpr double RelayedConfigAnswerShare = 0.2;
/// A store that is far away, or a busy node, needs this long whatever the
/// bound.
constexpr model::Duration MinAnswerTimeout = std::chrono::milliseconds(300);
/// Shares of the revocation time. Where nodes learn through others, two watches
/// follow each other.
constexpr double ProofWatchShare = 0.25;
constexpr double RelayedProofWatchShare = 0.12;
constexpr double ProofAnswerShare = 0.12;
constexpr double RelayedProofAgeShare = 0.4;
/// Share of the contact time.
constexpr double FollowerBackoffShare = 0.3;
/// From a change of the registered endpoints to the requests that heed it.
constexpr model::Duration DeliveryTime = std::chrono::milliseconds(150);
/// Endpoints that could not renew their entries during a store outage have
/// written them again within this time.
constexpr model::Duration LapsedRetention = std::chrono::milliseconds(2150);

model::Duration shareOf(model::Duration Whole, double Share) {
  return std::chrono::duration_cast<model::Duration>(Whole * Share);
}

} // namespace

WatchTimes endpointWatchTimes(model::Duration LeaveNotice,
                              model::Duration ContactTime, bool Relays) {
  const model::Duration Answer = FeedSettings().m_AnswerTimeout;
  const model::Duration Longest = ContactTime - Answer;
  if (!Relays)
    return {Longest, Answer, shareOf(LeaveNotice, EndpointBatchShare)};
  return {std::min(Longest, shareOf(LeaveNotice, RelayedWatchShare)), Answer,
          shareOf(LeaveNotice, RelayedBatchShare)};
}

WatchTimes configWatchTimes(model::Duration ConfigNotice,
                            model::Duration ContactTime,
                            model::Duration RevocationTime, bool Relays) {
  const model::Duration Answer = configAnswerTimeout(RevocationTime);
  const model::Duration Longest = configWatchTimeout(
      ContactTime - FeedSettings().m_AnswerTimeout, RevocationTime, Relays);
  if (!Relays)
    return {Longest, Answer, ConfigBatchDelay};
  return {std::min(Longest, shareOf(ConfigNotice, RelayedConfigWatchShare)),
          std::min(Answer,
                   std::max(MinAnswerTimeout,
                            shareOf(ConfigNotice, RelayedConfigAnswerShare))),
          ConfigBatchDelay};
}

model::Duration configWatchTimeout(model::Duration Longest,
                                   model::Duration RevocationTime,
                                   bool Relays) {
  if (RevocationTime <= model::Duration::zero())
    return Longest;
  return std::min(Longest,
                  shareOf(RevocationTime,
                          Relays ? RelayedProofWatchShare : ProofWatchShare));
}

model::Duration configAnswerTimeout(model::Duration RevocationTime) {
  const model::Duration Longest = FeedSettings().m_AnswerTimeout;
  return RevocationTime <= model::Duration::zero()
             ? Longest
             : std::min(Longest, shareOf(RevocationTime, ProofAnswerShare));
}

model::Duration maxRelayedProofAge(model::Duration RevocationTime) {
  return shareOf(RevocationTime, RelayedProofAgeShare);
}

model::Duration lapsedRetention(model::Duration ContactTime) {
  // The last call that fails may have been sent just before the store's return.
  return std::min(LapsedRetention,
                  ContactTime - FeedSettings().m_AnswerTimeout - DeliveryTime);
}

model::Duration followerMaxBackoff(model::Duration ContactTime) {
  return std::max(FeedSettings().m_MaxBackoff,
                  shareOf(ContactTime, FollowerBackoffShare));
}

} // namespace bronzepass::core::gateway
