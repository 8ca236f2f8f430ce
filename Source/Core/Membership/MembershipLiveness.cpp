// The part of MembershipView that decides the liveness of nodes, from the
// platform's list and missing links, and rebuilds the overlay and the duties.
#include "Core/Membership/MembershipTiming.h"
#include "Core/Membership/MembershipView.h"

#include <algorithm>

namespace bronzepass::core::membership {

namespace {

/// A node without a link to any peer still suspects the others if they are at
/// most this many; if they are more, it assumes that it is itself disconnected.
constexpr size_t MaxPeersOfSmallSystem = 8;

} // namespace

void MembershipView::onVmList(const ports::VmListReceived &Seen,
                              model::TimePoint Now, ports::EffectList &Out) {
  const std::map<model::VmId, model::VmState> Before = m_Listing.vms();
  m_Listing.update(Seen.m_Vms);
  m_ListChanged = m_ListChanged || Before != m_Listing.vms();
  applyListedLiveness(Now, Out);
  for (const model::EndpointState &Statement :
       m_Endpoints.onVmList(Seen.m_Vms)) {
    relayEndpoint(Statement, model::NodeId());
    Out.push_back(
        model::Decision{.m_Kind = model::DecisionKind::Membership,
                        .m_Subject = Statement.m_Endpoint.str(),
                        .m_Action = "endpoint",
                        .m_Reason = "the platform's VM list changed"});
  }
  if (m_IsAwaitingConfirmation && !hasOtherNodes())
    endPause("the platform lists no other node", Out);
  refreshOverlay(Now);
}

void MembershipView::applyListedLiveness(model::TimePoint Now,
                                         ports::EffectList &Out) {
  for (const auto &[Vm, Listed] : m_Listing.vms()) {
    const model::Liveness Liveness = Listed.m_Liveness;
    if (Liveness != model::Liveness::Leaving &&
        Liveness != model::Liveness::Gone)
      continue;
    if (Vm == m_Self.m_Vm) {
      if (!isLeaving())
        leave(Now, Out);
      continue;
    }
    const MemberTable::Member *Known = m_Members.find(Vm);
    // A node with a working link is not gone; the list may lag.
    const bool Answers =
        Liveness == model::Liveness::Gone && m_Links.isLinked(Vm);
    if (Known && Known->m_Info.m_Liveness < Liveness && !Answers)
      setLiveness(Known->m_Info, Liveness, "stated by the platform's VM list",
                  Now, Out);
  }
}

void MembershipView::setLiveness(const model::NodeInfo &Node,
                                 model::Liveness Liveness,
                                 const std::string &Reason,
                                 model::TimePoint Now, ports::EffectList &Out) {
  model::NodeInfo Statement = Node;
  Statement.m_Liveness = Liveness;
  if (!m_Members.merge(Statement, Now))
    return;
  m_Updates.add(Statement.m_Vm, model::NodeId());
  const char *Action = Liveness == model::Liveness::Suspect ? "suspect"
                       : Liveness == model::Liveness::Gone  ? "gone"
                                                            : "leaving";
  Out.push_back(model::Decision{.m_Kind = model::DecisionKind::Membership,
                                .m_Subject = Statement.m_Node.str(),
                                .m_Action = Action,
                                .m_Reason = Reason});
}

bool MembershipView::hasOtherNodes() const {
  const auto &Vms = m_Listing.vms();
  const bool Listed =
      std::any_of(Vms.begin(), Vms.end(), [this](const auto &Entry) {
        return Entry.first != m_Self.m_Vm &&
               Entry.second.m_Liveness == model::Liveness::Live;
      });
  return Listed || m_Members.present().size() > 1;
}

bool MembershipView::canSuspectPeers(model::TimePoint Now) const {
  const auto &Links = m_Links.links();
  const bool Heard =
      std::any_of(Links.begin(), Links.end(), [Now](const auto &Entry) {
        return Now - Entry.second.m_LastHeard < SilenceTimeout;
      });
  return Heard || m_Members.present().size() <= MaxPeersOfSmallSystem + 1;
}

void MembershipView::detectFailedNodes(model::TimePoint Now,
                                       ports::EffectList &Out) {
  if (m_IsAwaitingConfirmation || !canSuspectPeers(Now))
    return;
  for (const model::VmId &Vm : m_Links.unlinkedFor(SuspectAfter, Now)) {
    const MemberTable::Member *Known = m_Members.find(Vm);
    if (!Known || Known->m_Info.m_Liveness != model::Liveness::Live)
      continue;
    if (m_Refuted.find(Vm, Now))
      continue;
    setLiveness(Known->m_Info, model::Liveness::Suspect,
                "no link could be established", Now, Out);
  }
  std::vector<model::NodeInfo> Gone;
  for (const auto &[Vm, Known] : m_Members.all())
    if (Known.m_Info.m_Liveness == model::Liveness::Suspect &&
        Now - Known.m_Since >= GoneAfter)
      Gone.push_back(Known.m_Info);
  for (const model::VmId &Vm :
       m_Links.unlinkedFor(SuspectAfter + GoneAfter, Now))
    if (const MemberTable::Member *Known = m_Members.find(Vm))
      if (Known->m_Info.m_Liveness == model::Liveness::Leaving)
        Gone.push_back(Known->m_Info);
  for (const model::NodeInfo &Node : Gone)
    setLiveness(Node, model::Liveness::Gone, "nothing received from it in time",
                Now, Out);
}

void MembershipView::refreshOverlay(model::TimePoint Now) {
  if (!m_ListChanged && m_AppliedMembersVersion == m_Members.version())
    return;
  m_ListChanged = false;
  m_AppliedMembersVersion = m_Members.version();
  Overlay Fresh(m_Self.m_Vm, m_Self.m_Region);
  for (const auto &[Vm, Listed] : m_Listing.vms())
    if (Listed.m_Liveness == model::Liveness::Live && !m_Members.find(Vm))
      Fresh.put(Vm, Listed.m_Region, true);
  for (const auto &[Vm, Known] : m_Members.all()) {
    const bool Gone = Known.m_Info.m_Liveness == model::Liveness::Gone;
    if (!Gone || m_Listing.isLive(Vm))
      Fresh.put(Vm, Known.m_Info.m_Region, !Gone);
  }
  m_Overlay = std::move(Fresh);
  m_Links.setTargets(
      {m_Overlay.successors(), m_Overlay.predecessors(), m_Overlay.probes()},
      Now);
  refreshRelays();
  refreshDuties();
}

void MembershipView::refreshDuties() {
  std::vector<model::NodeInfo> Nodes;
  for (model::NodeInfo Node : m_Members.present()) {
    if (Node.m_Liveness == model::Liveness::Leaving)
      continue;
    // Neither a suspicion nor its refutation changes the assignment.
    Node.m_Liveness = model::Liveness::Live;
    Node.m_Incarnation = 0;
    Nodes.push_back(std::move(Node));
  }
  std::sort(Nodes.begin(), Nodes.end());
  if (Nodes == m_Duties.nodes())
    return;
  m_Duties = DutyAssignment(std::move(Nodes));
  ++m_DutiesVersion;
}

bool MembershipView::watchesForDomain() const {
  const std::vector<model::NodeId> Watchers =
      m_Duties.watchersOf(m_Self.m_Domain);
  return std::find(Watchers.begin(), Watchers.end(), m_Self.m_Node) !=
         Watchers.end();
}

std::optional<model::NodeInfo>
MembershipView::infoOf(const model::VmId &Vm) const {
  if (const MemberTable::Member *Known = m_Members.find(Vm))
    return Known->m_Info;
  const model::VmState *Listed = m_Listing.find(Vm);
  if (!Listed)
    return std::nullopt;
  return model::NodeInfo{.m_Vm = Vm,
                         .m_Domain = Listed->m_Domain,
                         .m_Region = Listed->m_Region,
                         .m_PeerAddress = Listed->m_PeerAddress,
                         .m_CallerAddress = Listed->m_CallerAddress};
}

} // namespace bronzepass::core::membership
