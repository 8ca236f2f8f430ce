#include "Core/Gateway/PlacementCandidates.h"

#include "Core/Gateway/DutyRank.h"
#include "Core/Gateway/PeerNotice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzepass::core::gateway {

PlacementCandidates::PlacementCandidates(model::NodeId Self, std::string Duty)
    : m_Self(std::move(Self)), m_Duty(std::move(Duty)) {}

void PlacementCandidates::setRegistered(const std::vector<NodeEntry> &Nodes) {
  m_Registered.clear();
  for (const NodeEntry &Each : Nodes)
    m_Registered[Each.m_Node] = Each;
  std::erase_if(m_HeardBefore, [this](const model::NodeId &Node) {
    return !m_Registered.contains(Node);
  });
}

void PlacementCandidates::setHeard(const LivePeers &Peers) {
  m_Heard = {Peers.m_Able.begin(), Peers.m_Able.end()};
  m_Silent = {Peers.m_Silent.begin(), Peers.m_Silent.end()};
  for (const std::vector<model::NodeId> *const Nodes :
       {&Peers.m_Able, &Peers.m_StoreRefused})
    for (const model::NodeId &Node : *Nodes)
      if (m_Registered.contains(Node))
        m_HeardBefore.insert(Node);
}

NodeEntry PlacementCandidates::entryOf(const model::NodeId &Node) const {
  const auto Found = m_Registered.find(Node);
  return Found == m_Registered.end() ? NodeEntry{Node, {}, {}, 0}
                                     : Found->second;
}

bool PlacementCandidates::counts(const model::NodeId &Node,
                                 bool HearsAll) const {
  if (m_Heard.contains(Node))
    return true;
  return !HearsAll && !m_IsHolderSilent && !m_Silent.contains(Node) &&
         !m_HeardBefore.contains(Node);
}

std::vector<model::NodeId> PlacementCandidates::nodesBefore() const {
  const bool HearsAll = m_Registered.size() <= MaxNoticeTargets + 1;
  const DutyRank Own = dutyRank(m_Duty, entryOf(m_Self));
  std::set<model::NodeId> Candidates = m_Heard;
  for (const auto &Each : m_Registered)
    Candidates.insert(Each.first);
  std::vector<model::NodeId> Before;
  std::copy_if(Candidates.begin(), Candidates.end(), std::back_inserter(Before),
               [&](const model::NodeId &Node) {
                 return Node != m_Self &&
                        dutyRank(m_Duty, entryOf(Node)) > Own &&
                        counts(Node, HearsAll);
               });
  return Before;
}

uint32_t PlacementCandidates::rank() const {
  return static_cast<uint32_t>(nodesBefore().size());
}

uint32_t PlacementCandidates::unheardBefore() const {
  const std::vector<model::NodeId> Before = nodesBefore();
  return static_cast<uint32_t>(std::count_if(
      Before.begin(), Before.end(),
      [this](const model::NodeId &Node) { return !m_Heard.contains(Node); }));
}

} // namespace bronzepass::core::gateway
