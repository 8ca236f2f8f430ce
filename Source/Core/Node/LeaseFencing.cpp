#include "Core/Node/LeaseFencing.h"

namespace bronzepass::core::node {

void LeaseFencing::vmListSeen(const ports::VmListReceived &Seen) {
  m_ListSeen = true;
  m_Listed.clear();
  for (const model::VmState &Vm : Seen.m_Vms)
    if (Vm.m_Kind == model::VmKind::Entry)
      m_Listed[Vm.m_Vm] = Vm.m_Liveness;
  std::erase_if(m_MissingSince, [this](const auto &Entry) {
    return m_Listed.count(Entry.first) != 0;
  });
}

void LeaseFencing::askReceived(const model::NodeId &From,
                            const ports::FenceRequest &Ask,
                            const std::optional<model::HeldLease> &Held,
                            ports::EffectList &Out) {
  model::FencingToken &Fenced = m_Fenced[Ask.m_Lease];
  Fenced = std::max(Fenced, Ask.m_Token);
  // Its orders end here; the answer leaves behind those that went before.
  if (!Held || isFenced(*Held))
    m_Placement.leaseLost(Ask.m_Lease);
  Out.push_back(ports::PeerSend{From, ports::FenceAck{Ask.m_Lease, Fenced}});
}

void LeaseFencing::ackReceived(const model::NodeId &From,
                            const ports::FenceAck &Ack, model::TimePoint Now,
                            ports::EffectList &Out) {
  m_Placement.predecessorFenced(Ack.m_Lease, From, Ack.m_Token, Now, Out);
}

bool LeaseFencing::isFenced(const model::HeldLease &Lease) const {
  auto Found = m_Fenced.find(Lease.m_Name);
  return Found != m_Fenced.end() && Lease.m_Token < Found->second;
}

bool LeaseFencing::isGone(const model::NodeId &Node, model::TimePoint Now) {
  const model::VmId Vm = model::vmOf(Node);
  const membership::MemberTable::Member *Member = m_View.members().find(Vm);
  // A later process on the VM holds its addresses: the earlier one has ended.
  const bool Replaced =
      Member && Member->m_Info.m_Node != Node && Member->m_Info.m_Node > Node;
  if (Replaced)
    return true;
  if (!m_ListSeen)
    return false;
  auto Listed = m_Listed.find(Vm);
  if (Listed != m_Listed.end())
    return Listed->second == model::Liveness::Gone;
  auto Missing = m_MissingSince.emplace(Vm, Now).first;
  return Now - Missing->second >= MissingBeforeGone;
}

void LeaseFencing::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (m_NextAskAt && Now < *m_NextAskAt)
    return;
  m_NextAskAt = Now + AskPeriod;
  for (const placement::UnfencedNode &Each : m_Placement.unfencedNodes()) {
    if (isGone(Each.m_Node, Now)) {
      m_Placement.nodeGone(Each.m_Node, Now, Out);
      continue;
    }
    m_View.requestLink(Each.m_Node, Now);
    Out.push_back(ports::PeerSend{
        Each.m_Node, ports::FenceRequest{Each.m_Lease, Each.m_Token}});
  }
}

} // namespace bronzepass::core::node
