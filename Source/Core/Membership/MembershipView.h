#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H

#include "Core/Membership/DutyAssignment.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Membership/GenerationTracker.h"
#include "Core/Membership/MemberTable.h"
#include "Core/Membership/NewsQueue.h"
#include "Core/Membership/Overlay.h"
#include "Core/Membership/PeerLinks.h"
#include "Core/Membership/VmListing.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::membership {

/// What one node knows of the others and of the endpoints' liveness, and the
/// links by which it knows. The composing core hands it every event's time
/// first (observe), then the events named here.
class MembershipView {
public:
  /// \p Self as the settings give it; its incarnation is the time at which the
  /// process started, so that a process that follows on the same VM counts as
  /// newer.
  MembershipView(model::NodeInfo Self, ports::Random &Random);

  void start(model::TimePoint Now, ports::EffectList &Out);

  /// Call with the time of every event before the event is acted on. A pause
  /// of this process is noticed here: until a peer has confirmed what became
  /// of this node meanwhile, mayAct() is false.
  void detectPause(model::TimePoint Now, ports::EffectList &Out);

  void tick(model::TimePoint Now, ports::EffectList &Out);
  /// Sends the heartbeats that are due; tick does so too.
  void sendDueHeartbeats(model::TimePoint Now, ports::EffectList &Out);
  void onVmList(const ports::VmListSeen &Seen, model::TimePoint Now,
                ports::EffectList &Out);
  void onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                         model::TimePoint Now, ports::EffectList &Out);
  /// Takes Hello and Heartbeat; others are not for it.
  void onPeerMessage(const ports::PeerReceived &Received, model::TimePoint Now,
                     ports::EffectList &Out);
  void onEndpointObserved(const ports::EndpointSeen &Seen,
                          model::TimePoint Now);
  void onReportFailed(const ports::ReportMissed &Missed, model::TimePoint Now);
  void onReport(const model::EngineReport &Report, model::TimePoint Now);

  /// \p Intent is in force on this node.
  void setIntent(const model::Intent &Intent, model::TimePoint Now);

  /// This node stops: its peers learn it at once.
  void leave(model::TimePoint Now, ports::EffectList &Out);

  /// Asks for a link to a node that is no neighbour, e.g. the owner of a claim
  /// shard; ask again each time it is used. Links not asked for are let go.
  void requestLink(const model::NodeId &Peer, model::TimePoint Now);

  /// Whether this node may act on its duties: it was not paused, or has heard
  /// since that its peers count it in. Traffic in hand goes on either way.
  bool mayAct() const { return !m_Unsure; }
  /// This node is stopping, or the platform's list says that its VM is.
  bool isLeaving() const;
  /// A newer process of this VM is known: this one must stop.
  bool isReplaced() const { return m_Replaced; }

  const model::NodeInfo &self() const { return m_Self; }
  const MemberTable &members() const { return m_Members; }
  const EndpointTable &endpoints() const { return m_Endpoints; }
  const GenerationTracker &generations() const { return m_Generations; }
  bool isLinked(const model::NodeId &Peer) const;
  std::vector<model::NodeId> linkedPeers() const;
  /// Linked peers to which news is relayed: a bounded number that together
  /// reach everyone. What goes to all nodes goes to these alone.
  std::vector<model::NodeId> neighbours() const;
  /// Whether the platform's list or peers name other nodes than this one.
  bool hasOtherNodes() const;
  std::optional<model::NodeInfo> node(const model::NodeId &Node) const;
  /// Nodes that may take duties: live or suspect ones, with this one.
  const DutyAssignment &duties() const { return m_Duties; }
  /// Whether this node watches the object API for its failure domain.
  bool watchesForDomain() const;
  /// Rises whenever duties() changes.
  uint64_t dutiesVersion() const { return m_DutiesVersion; }

private:
  void applyHello(const model::NodeId &From, const ports::Hello &Hello,
                  model::TimePoint Now, ports::EffectList &Out);
  void applyHeartbeat(const model::NodeId &From, const ports::Heartbeat &Beat,
                      model::TimePoint Now, ports::EffectList &Out);
  void learn(const model::NodeInfo &Statement, const model::NodeId &From,
             model::TimePoint Now, ports::EffectList &Out);
  void learnOfSelf(const model::NodeInfo &Statement, model::TimePoint Now,
                   ports::EffectList &Out);
  void tell(const model::EndpointState &Statement, const model::NodeId &From);
  void noteEndpoint(const EndpointTable::News &News);
  void confirm(const std::string &Reason, ports::EffectList &Out);
  void compareDigest(const model::NodeId &From, uint64_t Digest,
                     model::TimePoint Now);

  void applyListedNodes(model::TimePoint Now, ports::EffectList &Out);
  void judgeSilent(model::TimePoint Now, ports::EffectList &Out);
  void judge(const model::NodeInfo &Node, model::Liveness Liveness,
             const std::string &Reason, model::TimePoint Now,
             ports::EffectList &Out);
  bool hasWitness(model::TimePoint Now) const;
  void forgetLink(const model::NodeId &Peer);
  void followNeighbours();
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
  NewsQueue m_News;
  Overlay m_Overlay;
  PeerLinks m_Links;
  DutyAssignment m_Duties;
  uint64_t m_DutiesVersion = 0;

  VmListing m_Listing{model::VmKind::Entry};
  /// Which members the overlay and the duties were last made from.
  uint64_t m_SeenMembers = UINT64_MAX;
  bool m_ListChanged = true;
  /// VMs that refuted a suspicion of this node.
  std::map<model::VmId, model::TimePoint> m_Refuted;
  struct Mismatch {
    uint32_t m_Beats = 0;
    model::TimePoint m_ToldAt;
  };
  std::map<model::NodeId, Mismatch> m_Mismatches;
  std::set<model::NodeId> m_Relays;

  model::TimePoint m_LastSeen;
  model::TimePoint m_NextListAt;
  uint64_t m_Sequence = 0;
  bool m_Started = false;
  bool m_Unsure = false;
  bool m_Replaced = false;
  /// Heartbeats from this sequence on were sent after the last pause.
  uint64_t m_AwakeSequence = 0;
  ports::Random &m_Random;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPVIEW_H
