#ifndef BRONZEPASS_CORE_MEMBERSHIP_INTENTREPLICATOR_H
#define BRONZEPASS_CORE_MEMBERSHIP_INTENTREPLICATOR_H

#include "Core/Membership/IntentFetch.h"
#include "Core/Membership/IntentWatch.h"
#include "Core/Model/Intent.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzepass::core::membership {

/// Replicates the intent to this node: fetches newer generations from the
/// object API and from peers, in whatever order they arrive, puts them in force
/// and offers them to neighbours. The generation in force never decreases.
class IntentReplicator {
public:
  IntentReplicator(const ports::IntentReader &Reader, StoreSubmitter Submit,
                   ports::Random &Random);

  void start(model::TimePoint Now, ports::EffectList &Out);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  /// Sets whether this node watches the object API for its failure domain. A
  /// node without links to peers watches it in any case.
  void setWatching(bool Watching);

  /// Returns whether this object made the call that was answered.
  bool onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Out);
  void onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                         model::TimePoint Now, ports::EffectList &Out);
  /// Handles Hello, Heartbeat and the Intent messages; ignores all others.
  void onPeerMessage(const ports::PeerMessageReceived &Received,
                     model::TimePoint Now, ports::EffectList &Out);

  /// The intent in force; null before the first.
  const std::shared_ptr<const model::Intent> &inForce() const {
    return m_InForce;
  }
  model::Generation generation() const { return m_Head.m_Generation; }
  const model::IntentHead &head() const { return m_Head; }

  /// Whether this node has the newest generation known to its peers and the
  /// object API, as far as they can be reached; the node must not report ready
  /// before. \p HasOthers: the platform's list or peers name other nodes.
  bool isCaughtUp(model::TimePoint Now, bool HasOthers) const;

  /// Number of heads received that were no newer than the one in force, or
  /// older than the one being fetched.
  uint64_t staleHeads() const { return m_StaleHeads; }

private:
  void considerHead(const model::IntentHead &Head, const model::NodeId *From,
                    model::TimePoint Now, ports::EffectList &Out);
  void offer(const model::NodeId &To, model::TimePoint Now,
             ports::EffectList &Out);
  void offerIfBehind(const model::NodeId &Peer, model::Generation Generation,
                     model::TimePoint Now, ports::EffectList &Out);
  void sendParts(const model::NodeId &To,
                 const ports::IntentPartsRequest &Wanted,
                 ports::EffectList &Out) const;
  void finishFetch(model::TimePoint Now, ports::EffectList &Out);
  void putInForce(model::TimePoint Now, ports::EffectList &Out);
  void rejectHead(const model::IntentHead &Head,
                  const model::FindingList &Findings, ports::EffectList &Out);

  const ports::IntentReader &m_Reader;
  StoreSubmitter m_Submit;
  ports::Random &m_Random;
  IntentWatch m_Watch;
  std::optional<IntentFetch> m_Fetch;
  model::IntentHead m_Head;
  PartMap m_Parts;
  std::shared_ptr<const model::Intent> m_InForce;
  std::optional<model::IntentHead> m_RejectedHead;

  struct PeerState {
    model::Generation m_Generation;
    bool m_Heard = false;
    /// The peer counts this node among its neighbours.
    bool m_IsNeighbour = false;
    model::Generation m_Offered;
    model::TimePoint m_OfferedAt;
  };
  std::map<model::NodeId, PeerState> m_Peers;
  model::Generation m_HighestSeen;
  model::TimePoint m_StartedAt;
  bool m_WatchAssigned = false;
  uint64_t m_StaleHeads = 0;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTREPLICATOR_H
