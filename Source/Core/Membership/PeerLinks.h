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

/// Which VMs a node wants links to.
struct LinkTargets {
  /// Dialled at once.
  std::set<model::VmId> m_Dialled;
  /// Expected to dial this node; dialled when they don't.
  std::set<model::VmId> m_Expected;
  /// Tried now and then without being counted on.
  std::set<model::VmId> m_Probed;

  bool contains(const model::VmId &Vm) const {
    return m_Dialled.contains(Vm) || m_Expected.contains(Vm) ||
           m_Probed.contains(Vm);
  }
  friend auto operator<=>(const LinkTargets &, const LinkTargets &) = default;
};

/// Keeps the links to peers: dials the targets with back-off, cuts links that
/// fell silent, and lets go of those it no longer needs.
class PeerLinks {
public:
  struct Link {
    model::VmId m_Vm;
    /// This node made it, and may let it go.
    bool m_Dialled = false;
    model::TimePoint m_Since;
    model::TimePoint m_LastHeard;
    model::TimePoint m_LastNeeded;
    /// When the last heartbeat went out, and whether the next is urgent.
    model::TimePoint m_LastSent;
    bool m_Urgent = false;
    uint64_t m_PeerSequence = 0;
    /// The peer counts this node among its neighbours.
    bool m_CountsUs = false;
  };

  /// Address of a VM's node as far as known.
  using InfoSource =
      std::function<std::optional<model::NodeInfo>(const model::VmId &)>;

  PeerLinks(ports::Random &Random, InfoSource Infos);

  void setTargets(LinkTargets Targets, model::TimePoint Now);
  /// Keeps a link to \p Vm beside the overlay's while it is asked for.
  void wantExtra(const model::VmId &Vm, model::TimePoint Now);

  /// The link came up; \p Vm is known where this node dialled.
  void up(const model::NodeId &Peer, const model::VmId &Vm,
          model::TimePoint Now);
  /// The peer on the link said which VM it is on.
  void bind(const model::NodeId &Peer, const model::VmId &Vm);
  /// The link broke, or a dial to \p Vm failed.
  void down(const model::NodeId &Peer, const model::VmId &Vm,
            model::TimePoint Now);

  /// Dials, lets go and cuts; returns the peers cut for their silence.
  std::vector<model::NodeId> tick(model::TimePoint Now, ports::EffectList &Out);

  /// This node slept: its peers' silence means nothing.
  void forgiveSilence(model::TimePoint Now);

  Link *find(const model::NodeId &Peer);
  bool isLinked(const model::VmId &Vm) const;
  /// Whether the overlay makes the VM at the other end a neighbour.
  bool isNeighbour(const Link &Known) const;
  std::map<model::NodeId, Link> &links() { return m_Links; }
  const std::map<model::NodeId, Link> &links() const { return m_Links; }

  /// Targets to which no link was had for \p Span.
  std::vector<model::VmId> unlinkedFor(model::Duration Span,
                                       model::TimePoint Now) const;

private:
  struct Dial {
    Backoff m_Backoff;
    model::TimePoint m_NextAt;
    bool m_Pending = false;
  };

  bool isNeeded(const model::VmId &Vm, model::TimePoint Now) const;
  void noteUnlinked(model::TimePoint Now);
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
