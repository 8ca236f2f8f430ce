#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H

#include "Core/Membership/DutyAssignment.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Membership/GenerationTracker.h"
#include "Core/Membership/MemberTable.h"
#include "Core/Membership/MembershipTiming.h"
#include "Core/Membership/Overlay.h"
#include "Core/Membership/PeerLinks.h"
#include "Core/Membership/UpdateQueue.h"
#include "Core/Membership/VmListing.h"
#include "Core/Model/RecentEvents.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::membership {

/// One node's view of the other nodes and of the endpoints' liveness, with the
/// links to peers from which it learns them. For every event the owner first
/// calls detectPause() with its time, then the handler for it.
class MembershipView {
public:
  /// \p Self comes from the settings; its incarnation is the time at which the
  /// process started, so that a later process on the same VM counts as newer.
  MembershipView(model::NodeInfo Self, ports::Random &Random);

  void start(model::TimePoint Now, ports::EffectList &Out);

  /// Call with the time of every event before handling the event. Detects that
  /// this process was paused: mayAct() is then false until a peer has answered
  /// a heartbeat sent since, and so has told this node how it is regarded.
  void detectPause(model::TimePoint Now, ports::EffectList &Out);

  void tick(model::TimePoint Now, ports::EffectList &Out);
  /// Sends the heartbeats that are due; tick() does so as well.
  void sendDueHeartbeats(model::TimePoint Now, ports::EffectList &Out);
  void onVmList(const ports::VmListReceived &Seen, model::TimePoint Now,
                ports::EffectList &Out);
  void onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                         model::TimePoint Now, ports::EffectList &Out);
  /// Handles Hello and Heartbeat; ignores all others.
  void onPeerMessage(const ports::PeerMessageReceived &Received,
                     model::TimePoint Now, ports::EffectList &Out);
  void onEndpointObserved(const ports::EndpointObserved &Seen,
                          model::TimePoint Now);
  void onReportFailed(const ports::ReportFailed &Missed, model::TimePoint Now);
  void onReport(const model::EngineReport &Report, model::TimePoint Now);

  /// Sets the intent in force on this node.
  void setIntent(const model::Intent &Intent, model::TimePoint Now);

  /// This node is stopping: tells its peers at once.
  void leave(model::TimePoint Now, ports::EffectList &Out);

  /// Requests a link to a node that is not a neighbour, e.g. the owner of a
  /// claim shard. Call it for each use; a link not requested for a while is
  /// closed.
  void requestLink(const model::NodeId &Peer, model::TimePoint Now);

  /// Whether this node may act on its duties: it was not paused, or a peer has
  /// confirmed since that it is a member. Requests in progress go on either
  /// way.
  bool mayAct() const { return !m_IsAwaitingConfirmation; }
  /// Whether this node or, by the platform's list, its VM is stopping.
  bool isLeaving() const;
  /// Whether a newer process on this VM is known: this one must stop.
  bool isReplaced() const { return m_Replaced; }

  const model::NodeInfo &self() const { return m_Self; }
  const MemberTable &members() const { return m_Members; }
  const EndpointTable &endpoints() const { return m_Endpoints; }
  const GenerationTracker &generations() const { return m_Generations; }
  bool isLinked(const model::NodeId &Peer) const;
  std::vector<model::NodeId> linkedPeers() const;
  /// Linked peers to which updates are relayed: a bounded number through which
  /// all nodes are reached. A message to all nodes is sent to these only.
  std::vector<model::NodeId> neighbours() const;
  /// Whether the platform's list or peers name nodes other than this one.
  bool hasOtherNodes() const;
  std::optional<model::NodeInfo> node(const model::NodeId &Node) const;
  /// The assignment of duties to the Live and Suspect nodes, including this
  /// one.
  const DutyAssignment &duties() const { return m_Duties; }
  /// Whether this node watches the object API for its failure domain.
  bool watchesForDomain() const;
  /// Increases whenever duties() changes.
  uint64_t dutiesVersion() const { return m_DutiesVersion; }

private:
  void applyHello(const model::NodeId &From, const ports::Hello &Hello,
                  model::TimePoint Now, ports::EffectList &Out);
  void applyHeartbeat(const model::NodeId &From, const ports::Heartbeat &Beat,
                      model::TimePoint Now, ports::EffectList &Out);
  void applyStatement(const model::NodeInfo &Statement,
                      const model::NodeId &From, model::TimePoint Now,
                      ports::EffectList &Out);
  void applyStatementAboutSelf(const model::NodeInfo &Statement,
                               model::TimePoint Now, ports::EffectList &Out);
  void relayEndpoint(const model::EndpointState &Statement,
                     const model::NodeId &From);
  void announceEndpoint(const EndpointTable::OptionalStatement &Update);
  void endPause(const std::string &Reason, ports::EffectList &Out);
  void compareDigest(const model::NodeId &From, uint64_t Digest,
                     model::TimePoint Now);

  void applyListedLiveness(model::TimePoint Now, ports::EffectList &Out);
  void detectFailedNodes(model::TimePoint Now, ports::EffectList &Out);
  void setLiveness(const model::NodeInfo &Node, model::Liveness Liveness,
                   const std::string &Reason, model::TimePoint Now,
                   ports::EffectList &Out);
  bool canSuspectPeers(model::TimePoint Now) const;
  void stopRelayingTo(const model::NodeId &Peer);
  void refreshRelays();
  bool relaysTo(const PeerLinks::Link &Link) const;
  void refreshOverlay(model::TimePoint Now);
  void refreshDuties();
  void sendHeartbeat(const model::NodeId &To, model::TimePoint Now,
                     ports::EffectList &Out);
  std::optional<model::NodeInfo> infoOf(const model::VmId &Vm) const;

  model::NodeInfo m_Self;
  MemberTable m_Members;
  EndpointTable m_Endpoints;
  GenerationTracker m_Generations;
  UpdateQueue m_Updates;
  Overlay m_Overlay;
  PeerLinks m_Links;
  DutyAssignment m_Duties;
  uint64_t m_DutiesVersion = 0;

  VmListing m_Listing{model::VmKind::Entry};
  /// Version of m_Members from which the overlay and duties were last built.
  uint64_t m_AppliedMembersVersion = UINT64_MAX;
  bool m_ListChanged = true;
  /// When each VM last refuted a suspicion.
  model::RecentEvents<model::VmId> m_Refuted{SuspicionPause};
  /// Consecutive heartbeats from a peer with another digest of the members.
  struct Mismatch {
    uint32_t m_Count = 0;
    model::TimePoint m_LastFullSync;
  };
  std::map<model::NodeId, Mismatch> m_Mismatches;
  std::set<model::NodeId> m_RelayPeers;

  model::TimePoint m_LastEventAt;
  model::TimePoint m_NextListAt;
  uint64_t m_Sequence = 0;
  bool m_Started = false;
  bool m_IsAwaitingConfirmation = false;
  bool m_Replaced = false;
  /// Heartbeats with this or a higher sequence were sent after the last pause.
  uint64_t m_FirstSequenceAfterPause = 0;
  ports::Random &m_Random;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H
