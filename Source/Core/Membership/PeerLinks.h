#ifndef BRONZEPASS_CORE_MEMBERSHIP_PEERLINKS_H
#define BRONZEPASS_CORE_MEMBERSHIP_PEERLINKS_H

#include "Core/Membership/Backoff.h"
#include "Core/Model/Node.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Ports.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bronzepass::core::membership {

/// The VMs to which a node should have links.
struct LinkTargets {
  /// VMs to dial at once.
  std::set<model::VmId> m_Dialled;
  /// VMs expected to dial this node; dialled if they don't.
  std::set<model::VmId> m_Expected;
  /// Unreachable VMs dialled from time to time.
  std::set<model::VmId> m_Probed;

  bool contains(const model::VmId &Vm) const {
    return m_Dialled.contains(Vm) || m_Expected.contains(Vm) ||
           m_Probed.contains(Vm);
  }
  friend auto operator<=>(const LinkTargets &, const LinkTargets &) = default;
};

/// Maintains the links to peers: dials the targets with back-off and closes
/// links that are silent or no longer needed.
class PeerLinks {
public:
  struct Link {
    model::VmId m_Vm;
    /// This node dialled the peer, and may close the link when it is idle.
    bool m_Dialled = false;
    model::TimePoint m_Since;
    model::TimePoint m_LastHeard;
    model::TimePoint m_LastNeeded;
    /// When the last heartbeat was sent, and whether the next is urgent.
    model::TimePoint m_LastSent;
    bool m_Urgent = false;
    /// Highest heartbeat sequence received from the peer.
    uint64_t m_PeerSequence = 0;
    /// The peer counts this node among its neighbours.
    bool m_PeerCountsUsAsNeighbour = false;
  };

  /// Looks up a VM's node with its address; none if unknown.
  using InfoSource =
      std::function<std::optional<model::NodeInfo>(const model::VmId &)>;

  PeerLinks(ports::Random &Random, InfoSource Infos);

  void setTargets(LinkTargets Targets, model::TimePoint Now);
  /// Keeps a link to \p Vm in addition to the overlay's while it is requested.
  void requestExtra(const model::VmId &Vm, model::TimePoint Now);

  /// The link was established; \p Vm is known only if this node dialled.
  void onLinkUp(const model::NodeId &Peer, const model::VmId &Vm,
                model::TimePoint Now);
  /// The peer on the link reported the VM it runs on.
  void setVm(const model::NodeId &Peer, const model::VmId &Vm);
  /// The link was lost, or dialling \p Vm failed.
  void onLinkDown(const model::NodeId &Peer, const model::VmId &Vm,
                  model::TimePoint Now);

  /// Dials targets and closes silent or idle links; returns the peers of the
  /// closed links.
  std::vector<model::NodeId> tick(model::TimePoint Now, ports::EffectList &Out);

  /// Restarts all silence timeouts after a pause of this node, during which it
  /// could not receive anything.
  void resetSilence(model::TimePoint Now);

  Link *find(const model::NodeId &Peer);
  bool isLinked(const model::VmId &Vm) const;
  /// Whether the VM at the other end is a neighbour in the overlay.
  bool isNeighbour(const Link &Known) const;
  std::map<model::NodeId, Link> &links() { return m_Links; }
  const std::map<model::NodeId, Link> &links() const { return m_Links; }

  /// Targets, probed ones excepted, without a link for at least \p Span.
  std::vector<model::VmId> unlinkedFor(model::Duration Span,
                                       model::TimePoint Now) const;

private:
  struct Dial {
    Backoff m_Backoff;
    model::TimePoint m_NextAt;
    bool m_Pending = false;
  };

  bool isNeeded(const model::VmId &Vm, model::TimePoint Now) const;
  void updateUnlinkedSince(model::TimePoint Now);
  void dial(const model::VmId &Vm, model::TimePoint Now,
            ports::EffectList &Out);
  void dialTargets(model::TimePoint Now, ports::EffectList &Out);
  void dialExtras(model::TimePoint Now, ports::EffectList &Out);

  ports::Random &m_Random;
  InfoSource m_Infos;
  LinkTargets m_Targets;
  std::map<model::VmId, model::TimePoint> m_Extras;
  std::map<model::NodeId, Link> m_Links;
  std::map<model::VmId, Dial> m_Dials;
  std::map<model::VmId, model::TimePoint> m_UnlinkedSince;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_PEERLINKS_H
