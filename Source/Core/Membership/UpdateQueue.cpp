#include "Core/Membership/UpdateQueue.h"

#include "Core/Membership/MembershipTiming.h"

#include <algorithm>

namespace bronzepass::core::membership {

namespace {

/// Moves names from \p Queue to \p Batch while the batch has space and send
/// tokens are left.
template <typename IdT>
void moveNames(std::set<IdT> &Queue, std::vector<IdT> &Batch, size_t &Remaining,
               double &SendTokens) {
  while (!Queue.empty() && Remaining > 0 && SendTokens >= 1) {
    Batch.push_back(*Queue.begin());
    Queue.erase(Queue.begin());
    --Remaining;
    --SendTokens;
  }
}

} // namespace

void UpdateQueue::add(const model::VmId &Vm, const model::NodeId &Except) {
  for (auto &[Peer, Pending] : m_Queues)
    if (Peer != Except)
      Pending.m_Vms.insert(Vm);
}

void UpdateQueue::add(const model::EndpointId &Endpoint,
                      const model::NodeId &Except) {
  for (auto &[Peer, Pending] : m_Queues)
    if (Peer != Except)
      Pending.m_Endpoints.insert(Endpoint);
}

void UpdateQueue::addFor(const model::NodeId &Peer, const model::VmId &Vm) {
  m_Queues[Peer].m_Vms.insert(Vm);
}

void UpdateQueue::addFor(const model::NodeId &Peer,
                         const model::EndpointId &Endpoint) {
  m_Queues[Peer].m_Endpoints.insert(Endpoint);
}

bool UpdateQueue::hasUpdatesFor(const model::NodeId &Peer) const {
  const auto Found = m_Queues.find(Peer);
  return Found != m_Queues.end() &&
         !(Found->second.m_Vms.empty() && Found->second.m_Endpoints.empty());
}

void UpdateQueue::refill(model::TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_SendTokens = std::min<double>(
      MaxUpdatesPerSecond, m_SendTokens + Passed.count() * MaxUpdatesPerSecond);
}

UpdateQueue::Batch UpdateQueue::take(const model::NodeId &Peer,
                                     model::TimePoint Now) {
  Batch Taken;
  const auto Found = m_Queues.find(Peer);
  if (Found == m_Queues.end())
    return Taken;
  refill(Now);
  size_t Remaining = MaxUpdatesPerHeartbeat;
  moveNames(Found->second.m_Endpoints, Taken.m_Endpoints, Remaining,
            m_SendTokens);
  moveNames(Found->second.m_Vms, Taken.m_Vms, Remaining, m_SendTokens);
  return Taken;
}

} // namespace bronzepass::core::membership
