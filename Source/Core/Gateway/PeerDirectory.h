#ifndef BRONZEPASS_CORE_GATEWAY_PEERDIRECTORY_H
#define BRONZEPASS_CORE_GATEWAY_PEERDIRECTORY_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/LivePeers.h"
#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bronzepass::core::gateway {

struct PeerTiming {
  /// A peer that sends its loads, or holds the lease, and was silent for this
  /// long does not count as alive. Several consecutive notices may be lost
  /// before that.
  model::Duration m_LoadLifetime = std::chrono::milliseconds(1500);
  /// A peer that is heard this long after its last loads sends none any more.
  model::Duration m_MaxLoadGap = std::chrono::milliseconds(400);
  /// The first greeting of a peer that this node no longer sends loads; greater
  /// than m_MaxLoadGap.
  model::Duration m_FirstGreetingDelay = std::chrono::milliseconds(500);
  /// Between two greetings of a peer that is alive.
  model::Duration m_GreetingPeriod = std::chrono::seconds(2);
  /// Between two greetings of a peer that is silent.
  model::Duration m_SilentGreetingPeriod = std::chrono::seconds(5);
  /// With more peers of the one kind or the other, its period is longer, so
  /// that a node sends no more than one greeting in this time.
  model::Duration m_GreetingSpacing = std::chrono::milliseconds(20);
  /// Greetings that may be lost before a peer no longer counts as alive.
  int m_LostGreetings = 3;
  /// A peer that is alive answers one of its first greetings within this time.
  model::Duration m_FirstAnswerTime = std::chrono::seconds(3);
  /// Between these first ones.
  model::Duration m_FirstGreetingPeriod = std::chrono::seconds(1);
  /// Greetings in one call of takeGreetings().
  size_t m_MaxGreetings = 100;

  friend auto operator<=>(const PeerTiming &, const PeerTiming &) = default;
};

/// What one node knows of another.
struct Peer {
  model::Address m_Address;
  std::optional<model::TimePoint> m_LastHeardAt;
  std::optional<model::TimePoint> m_LoadsHeardAt;
  bool m_HoldsLease = false;
  bool m_IsStoreRefused = false;
  /// When it was last passed on that it reads the store.
  std::optional<model::TimePoint> m_SourceToldAt;
  /// Identifies the process that sent the last notice.
  uint64_t m_Start = 0;
  /// Decides which peers get loads if there are too many.
  uint64_t m_Weight = 0;
  /// When this node sent it anything.
  std::optional<model::TimePoint> m_FirstSentAt;
  std::optional<model::TimePoint> m_LastSentAt;
  std::optional<model::TimePoint> m_LoadsSentAt;
};

/// The other nodes: those that are registered in the store, and those that were
/// heard. A node that ended without removing its entry stays registered, so
/// each node finds out which peers are alive. It sends its loads to a limited
/// number of them, several times a second. It greets the others from time to
/// time, and those that it hears after a silence at once.
class PeerDirectory {
public:
  PeerDirectory(model::NodeId Self, const PeerTiming &Timing);

  void setRegistered(const std::vector<NodeEntry> &Nodes, model::TimePoint Now);
  /// A notice from \p Node has arrived. Returns what is known of it; valid
  /// until the next call of setRegistered().
  Peer &onNotice(const model::NodeId &Node, const model::Address &From,
                 bool HasLoads, model::TimePoint Now);

  const std::map<model::NodeId, Peer> &peers() const { return m_Peers; }
  bool isAlive(const Peer &Known, model::TimePoint Now) const;
  LivePeers livePeers(model::TimePoint Now) const;

  /// Those that are sent this node's loads now, at most MaxNoticeTargets: the
  /// lease holder, then peers that are alive, then those that were heard last.
  std::vector<model::Address> takeLoadTargets(model::TimePoint Now);
  /// The same, of all other peers; \p HasLoads: the notice counts as loads.
  std::vector<model::Address> takeOthers(bool HasLoads, model::TimePoint Now);
  /// Those that are greeted now.
  std::vector<model::Address> takeGreetings(model::TimePoint Now);

private:
  std::set<model::NodeId> loadTargets(model::TimePoint Now) const;
  model::Duration greetingPeriod(model::Duration Least, size_t Peers) const;
  bool hadTimeToAnswer(const Peer &Known, model::TimePoint Now) const;
  bool isGreetingDue(const Peer &Known, model::TimePoint Now) const;
  static model::Address take(Peer &Known, bool HasLoads, model::TimePoint Now);

  const model::NodeId m_Self;
  const PeerTiming m_Timing;
  std::map<model::NodeId, Peer> m_Peers;
  /// At the last call of takeGreetings().
  size_t m_AliveCount = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PEERDIRECTORY_H
