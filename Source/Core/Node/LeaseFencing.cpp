#include "Core/Node/LeaseFencing.h"

namespace bronzepass::core::node {

void LeaseFencing::onVmList(const ports::VmListReceived &List) {
  m_HasVmList = true;
  m_VmLiveness.clear();
  for (const model::VmState &Vm : List.m_Vms)
    if (Vm.m_Kind == model::VmKind::Entry)
      m_VmLiveness[Vm.m_Vm] = Vm.m_Liveness;
  std::erase_if(m_MissingSince, [this](const auto &Entry) {
    return m_VmLiveness.count(Entry.first) != 0;
  });
}

void LeaseFencing::onFenceRequest(const model::NodeId &From,
                                  const ports::FenceRequest &Request,
                                  const std::optional<model::HeldLease> &Held,
                                  ports::EffectList &Out) {
  model::FencingToken &Fenced = m_FencedBelow[Request.m_Lease];
  Fenced = std::max(Fenced, Request.m_Token);
  // Placement stops sending orders before the acknowledgement is sent, so the
  // acknowledgement follows every order under an older token.
  if (!Held || isFenced(*Held))
    m_Placement.leaseLost(Request.m_Lease);
  Out.push_back(
      ports::PeerSend{From, ports::FenceAck{Request.m_Lease, Fenced}});
}

void LeaseFencing::onFenceAck(const model::NodeId &From,
                              const ports::FenceAck &Ack, model::TimePoint Now,
                              ports::EffectList &Out) {
  m_Placement.predecessorFenced(Ack.m_Lease, From, Ack.m_Token, Now, Out);
}

bool LeaseFencing::isFenced(const model::HeldLease &Lease) const {
  auto Found = m_FencedBelow.find(Lease.m_Name);
  return Found != m_FencedBelow.end() && Lease.m_Token < Found->second;
}

bool LeaseFencing::isGone(const model::NodeId &Node, model::TimePoint Now) {
  const model::VmId Vm = model::vmOf(Node);
  const membership::MemberTable::Member *Member = m_View.members().find(Vm);
  // A newer process on the VM uses its addresses, so the old one has exited.
  const bool Replaced =
      Member && Member->m_Info.m_Node != Node && Member->m_Info.m_Node > Node;
  if (Replaced)
    return true;
  if (!m_HasVmList)
    return false;
  auto Listed = m_VmLiveness.find(Vm);
  if (Listed != m_VmLiveness.end())
    return Listed->second == model::Liveness::Gone;
  auto Missing = m_MissingSince.emplace(Vm, Now).first;
  return Now - Missing->second >= MissingVmTimeout;
}

void LeaseFencing::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (m_NextRequestAt && Now < *m_NextRequestAt)
    return;
  m_NextRequestAt = Now + RequestPeriod;
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
