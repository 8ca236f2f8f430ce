#include "Core/Membership/NewsQueue.h"

#include "Core/Membership/MembershipTiming.h"

#include <algorithm>

namespace bronzepass::core::membership {

namespace {

/// Moves names from \p Queue to \p Batch while the batch and the rate allow.
template <typename IdT>
void move(std::set<IdT> &Queue, std::vector<IdT> &Batch, size_t &Room,
          double &Allowance) {
  while (!Queue.empty() && Room > 0 && Allowance >= 1) {
    Batch.push_back(*Queue.begin());
    Queue.erase(Queue.begin());
    --Room;
    --Allowance;
  }
}

} // namespace

void NewsQueue::add(const model::VmId &Vm, const model::NodeId &Except) {
  for (auto &[Peer, Pending] : m_Queues)
    if (Peer != Except)
      Pending.m_Vms.insert(Vm);
}

void NewsQueue::add(const model::EndpointId &Endpoint,
                    const model::NodeId &Except) {
  for (auto &[Peer, Pending] : m_Queues)
    if (Peer != Except)
      Pending.m_Endpoints.insert(Endpoint);
}

void NewsQueue::addFor(const model::NodeId &Peer, const model::VmId &Vm) {
  m_Queues[Peer].m_Vms.insert(Vm);
}

void NewsQueue::addFor(const model::NodeId &Peer,
                       const model::EndpointId &Endpoint) {
  m_Queues[Peer].m_Endpoints.insert(Endpoint);
}

bool NewsQueue::hasNewsFor(const model::NodeId &Peer) const {
  const auto Found = m_Queues.find(Peer);
  return Found != m_Queues.end() &&
         !(Found->second.m_Vms.empty() && Found->second.m_Endpoints.empty());
}

void NewsQueue::refill(model::TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_Allowance = std::min<double>(
      MaxNewsPerSecond, m_Allowance + Passed.count() * MaxNewsPerSecond);
}

NewsQueue::Batch NewsQueue::take(const model::NodeId &Peer,
                                 model::TimePoint Now) {
  Batch Taken;
  const auto Found = m_Queues.find(Peer);
  if (Found == m_Queues.end())
    return Taken;
  refill(Now);
  size_t Room = MaxNewsPerHeartbeat;
  move(Found->second.m_Endpoints, Taken.m_Endpoints, Room, m_Allowance);
  move(Found->second.m_Vms, Taken.m_Vms, Room, m_Allowance);
  return Taken;
}

} // namespace bronzepass::core::membership
