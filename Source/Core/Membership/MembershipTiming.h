#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H

#include "Core/Model/Time.h"

#include <chrono>
#include <cstddef>

namespace bronzepass::core::membership {

constexpr model::Duration HeartbeatPeriod = std::chrono::seconds(1);
/// Least time between two heartbeats on a link: news is passed on this soon.
constexpr model::Duration NewsDelay = std::chrono::milliseconds(200);
/// A link on which nothing was heard for this long is cut.
constexpr model::Duration SilenceLimit = std::chrono::seconds(3);
/// The same for links to nodes that are no neighbours: one node may have
/// hundreds of them.
constexpr model::Duration ExtraHeartbeatPeriod = std::chrono::seconds(10);
constexpr model::Duration ExtraSilenceLimit = std::chrono::seconds(30);
/// A neighbour that cannot be linked to for this long is suspect.
constexpr model::Duration SuspectAfter = std::chrono::seconds(3);
/// A suspect that does not speak up for this long is gone.
constexpr model::Duration GoneAfter = std::chrono::seconds(5);
/// A node that refuted a suspicion is not suspected again for this long by the
/// node that cannot reach it, though others can.
constexpr model::Duration SuspicionPause = std::chrono::minutes(1);
/// A node that saw no event for this long was paused: its peers may have
/// taken it for gone.
constexpr model::Duration PauseLimit = SilenceLimit;
/// How long the neighbour before this one on a ring is given to dial.
constexpr model::Duration PredecessorGrace = std::chrono::seconds(1);
constexpr model::Duration DialTimeout = std::chrono::seconds(2);
constexpr model::Duration DialBase = std::chrono::milliseconds(200);
constexpr model::Duration DialCap = std::chrono::seconds(5);
/// A link that this node made and no longer needs is kept this long.
constexpr model::Duration IdleLinkKept = std::chrono::seconds(30);
/// How often the platform's list is read by a node that watches for its
/// domain, and by any other.
constexpr model::Duration VmListPeriodWatcher = std::chrono::seconds(2);
constexpr model::Duration VmListPeriodOther = std::chrono::seconds(30);

/// Statements about nodes and endpoints in one heartbeat.
constexpr size_t MaxNewsPerHeartbeat = 16;
/// Statements that one node sends a second over all links.
constexpr size_t MaxNewsPerSecond = 64;
/// Members of GenerationProgress in one heartbeat.
constexpr size_t MaxProgressPerHeartbeat = 512;
/// Links asked for beside the overlay's own.
constexpr size_t MaxExtraLinks = 16;

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPTIMING_H
