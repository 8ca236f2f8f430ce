#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H

#include "Core/Model/Time.h"

#include <chrono>
#include <cstddef>

namespace bronzepass::core::membership {

constexpr model::Duration HeartbeatPeriod = std::chrono::seconds(1);
/// Minimum time between two heartbeats on a link, and so the maximum delay
/// before an update is passed on.
constexpr model::Duration MinHeartbeatInterval = std::chrono::milliseconds(200);
/// A link on which nothing was received for this long is closed.
constexpr model::Duration SilenceTimeout = std::chrono::seconds(3);
/// The same for links to nodes that are not neighbours. Both are longer because
/// a node may have hundreds of such links.
constexpr model::Duration ExtraHeartbeatPeriod = std::chrono::seconds(10);
constexpr model::Duration ExtraSilenceTimeout = std::chrono::seconds(30);
/// A neighbour without a link for this long becomes Suspect.
constexpr model::Duration SuspectAfter = std::chrono::seconds(3);
/// A Suspect node that does not refute the suspicion within this time is Gone.
constexpr model::Duration GoneAfter = std::chrono::seconds(5);
/// After a node refutes a suspicion, no node suspects it again for this long,
/// so that one that alone can't reach it does not suspect it over and over.
constexpr model::Duration SuspicionPause = std::chrono::minutes(1);
/// Minimum time between two suspicions of an endpoint by one node, which may be
/// the only one that can't reach it.
constexpr model::Duration RefusalPause = std::chrono::seconds(10);
/// A node that handled no event for this long was paused, and its peers may
/// consider it Gone.
constexpr model::Duration PauseThreshold = SilenceTimeout;
/// How long this node waits for its predecessor on a ring to dial before it
/// dials the predecessor itself.
constexpr model::Duration PredecessorGrace = std::chrono::seconds(1);
constexpr model::Duration DialTimeout = std::chrono::seconds(2);
constexpr model::Duration DialBackoffBase = std::chrono::milliseconds(200);
constexpr model::Duration DialBackoffCap = std::chrono::seconds(5);
/// How long a link that this node dialled is kept after it was last needed.
constexpr model::Duration IdleLinkTimeout = std::chrono::seconds(30);
/// How often the platform's VM list is read by a node that watches for its
/// failure domain, and by any other node.
constexpr model::Duration VmListPeriodWatcher = std::chrono::seconds(2);
constexpr model::Duration VmListPeriodOther = std::chrono::seconds(30);

/// Maximum statements about nodes and endpoints in one heartbeat.
constexpr size_t MaxUpdatesPerHeartbeat = 16;
/// Maximum statements that one node sends per second over all its links.
constexpr size_t MaxUpdatesPerSecond = 64;
/// Maximum node hashes of GenerationProgress in one heartbeat.
constexpr size_t MaxProgressHashesPerHeartbeat = 512;
/// Maximum links requested in addition to the overlay's.
constexpr size_t MaxExtraLinks = 16;

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H
