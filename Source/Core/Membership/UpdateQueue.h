#ifndef BRONZEPASS_CORE_MEMBERSHIP_UPDATEQUEUE_H
#define BRONZEPASS_CORE_MEMBERSHIP_UPDATEQUEUE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bronzepass::core::membership {

/// Queues, for each peer, the VMs and endpoints whose statements are still to
/// be sent to it. The statement is looked up when it is sent, so that a
/// superseded one is never sent. A token bucket limits the rate over all links.
class UpdateQueue {
public:
  struct Batch {
    std::vector<model::VmId> m_Vms;
    std::vector<model::EndpointId> m_Endpoints;
  };

  void linkUp(const model::NodeId &Peer) { m_Queues[Peer]; }
  void linkDown(const model::NodeId &Peer) { m_Queues.erase(Peer); }

  /// Queues an update for all peers except \p Except, which sent it.
  void add(const model::VmId &Vm, const model::NodeId &Except);
  void add(const model::EndpointId &Endpoint, const model::NodeId &Except);
  /// Queues an update for \p Peer only.
  void addFor(const model::NodeId &Peer, const model::VmId &Vm);
  void addFor(const model::NodeId &Peer, const model::EndpointId &Endpoint);

  bool hasUpdatesFor(const model::NodeId &Peer) const;

  /// Takes what may be sent to \p Peer now. Endpoints come first because they
  /// keep new work away from endpoints that can't serve it.
  Batch take(const model::NodeId &Peer, model::TimePoint Now);

private:
  struct Queue {
    std::set<model::VmId> m_Vms;
    std::set<model::EndpointId> m_Endpoints;
  };

  void refill(model::TimePoint Now);

  std::map<model::NodeId, Queue> m_Queues;
  double m_SendTokens = 0;
  model::TimePoint m_RefilledAt;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_UPDATEQUEUE_H
