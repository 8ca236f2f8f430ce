#ifndef BRONZEPASS_CORE_GATEWAY_WATCHTIMES_H
#define BRONZEPASS_CORE_GATEWAY_WATCHTIMES_H

#include "Core/Model/Time.h"

#include <compare>

namespace bronzepass::core::gateway {

/// How one kind of object in the platform's store is watched.
struct WatchTimes {
  /// How long one watch, or one question to another node, stays open.
  model::Duration m_WatchTimeout;
  /// Time for its answer beyond that.
  model::Duration m_AnswerTimeout;
  /// Delay of the next watch after a change.
  model::Duration m_BatchDelay;

  friend auto operator<=>(const WatchTimes &, const WatchTimes &) = default;
};

/// \p LeaveNotice: how long a leaving endpoint still takes requests.
/// \p ContactTime: in which a silent connection to the store has to be noticed.
/// \p Relays: other nodes learn of changes from those that watch the store.
WatchTimes endpointWatchTimes(model::Duration LeaveNotice,
                              model::Duration ContactTime, bool Relays);

/// \p ConfigNotice: how long after a change the configuration before it may
/// still decide. \p RevocationTime: see configWatchTimeout().
WatchTimes configWatchTimes(model::Duration ConfigNotice,
                            model::Duration ContactTime,
                            model::Duration RevocationTime, bool Relays);

/// How long one watch of the configuration stays open, at most \p Longest. Each
/// answer proves that the configuration is in force: in calm, the age of every
/// node's proof stays below 0.4 of \p RevocationTime (zero: no proof is
/// needed), and below 0.8 of it when one call fails.
model::Duration configWatchTimeout(model::Duration Longest,
                                   model::Duration RevocationTime, bool Relays);

/// Time for an answer about the configuration, for the same reason.
model::Duration configAnswerTimeout(model::Duration RevocationTime);

/// The oldest proof that a node takes from a watcher; with an older one, it
/// asks the store itself.
model::Duration maxRelayedProofAge(model::Duration RevocationTime);

/// How long after the store's return an entry that lapsed is retained; by then
/// endpoints that are alive have written theirs again.
model::Duration lapsedRetention(model::Duration ContactTime);

/// Longest pause between two calls to a store that does not answer, of a node
/// that no other depends on.
model::Duration followerMaxBackoff(model::Duration ContactTime);

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_WATCHTIMES_H
