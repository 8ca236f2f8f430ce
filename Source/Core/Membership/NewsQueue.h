#ifndef BRONZEPASS_CORE_MEMBERSHIP_NEWSQUEUE_H
#define BRONZEPASS_CORE_MEMBERSHIP_NEWSQUEUE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bronzepass::core::membership {

/// What each peer is still to be told, by name: the statement itself is looked
/// up when it is sent, so that one overtaken by a newer never leaves. Bounded
/// by a rate over all links.
class NewsQueue {
public:
  struct Batch {
    std::vector<model::VmId> m_Vms;
    std::vector<model::EndpointId> m_Endpoints;
  };

  void linkUp(const model::NodeId &Peer) { m_Queues[Peer]; }
  void linkDown(const model::NodeId &Peer) { m_Queues.erase(Peer); }

  /// For all peers but \p Except, who said it.
  void add(const model::VmId &Vm, const model::NodeId &Except);
  void add(const model::EndpointId &Endpoint, const model::NodeId &Except);
  /// For \p Peer alone.
  void addFor(const model::NodeId &Peer, const model::VmId &Vm);
  void addFor(const model::NodeId &Peer, const model::EndpointId &Endpoint);

  bool hasNewsFor(const model::NodeId &Peer) const;

  /// Takes what may be sent to \p Peer now; endpoints go first, since they
  /// keep new work from going astray.
  Batch take(const model::NodeId &Peer, model::TimePoint Now);

private:
  struct Queue {
    std::set<model::VmId> m_Vms;
    std::set<model::EndpointId> m_Endpoints;
  };

  void refill(model::TimePoint Now);

  std::map<model::NodeId, Queue> m_Queues;
  double m_Allowance = 0;
  model::TimePoint m_RefilledAt;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_NEWSQUEUE_H
