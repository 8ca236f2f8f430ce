#include "Core/Gateway/StaleNodeFinder.h"

#include <algorithm>
#include <set>

namespace bronzepass::core::gateway {

void StaleNodeFinder::setNodes(const std::vector<NodeEntry> &Nodes,
                               model::TimePoint Now) {
  std::set<model::NodeId> Registered;
  for (const NodeEntry &Each : Nodes)
    Registered.insert(Each.m_Node);
  std::erase_if(m_Nodes, [&](const auto &Known) {
    return !Registered.contains(Known.first) &&
           (Known.second.m_Removals == 0 ||
            Now - Known.second.m_RemovedAt > m_Settings.m_Memory);
  });
  for (auto &Known : m_Nodes)
    if (!Registered.contains(Known.first))
      Known.second.m_IsRegistered = false;
  for (const model::NodeId &Each : Registered) {
    Node &Known = m_Nodes[Each];
    if (Known.m_IsRegistered)
      continue;
    Known.m_IsRegistered = true;
    Known.m_AliveAt = Now;
  }
}

void StaleNodeFinder::onLivePeers(const LivePeers &Peers,
                                  model::TimePoint Now) {
  if (Now - m_ReportedAt > m_Settings.m_MaxReportGap)
    m_WatchedSince = Now;
  m_ReportedAt = Now;
  m_HearsAny = !Peers.m_Able.empty() || !Peers.m_StoreRefused.empty();
  for (auto &Known : m_Nodes)
    Known.second.m_IsSilent = false;
  for (const model::NodeId &Each : Peers.m_Silent)
    if (const auto Known = m_Nodes.find(Each); Known != m_Nodes.end())
      Known->second.m_IsSilent = true;
  for (auto &Known : m_Nodes)
    if (!Known.second.m_IsSilent)
      Known.second.m_AliveAt = Now;
}

void StaleNodeFinder::setHolder(bool IsHolder, model::TimePoint Now) {
  // Before, other nodes may not have sent this one anything.
  if (IsHolder && !m_IsHolder)
    m_WatchedSince = Now;
  m_IsHolder = IsHolder;
}

std::optional<model::NodeId> StaleNodeFinder::takeStale(model::TimePoint Now) {
  if (!m_IsHolder || Now < m_LastRemovalAt + m_Settings.m_Period)
    return std::nullopt;
  const model::Duration Silence =
      m_HearsAny ? m_Settings.m_Silence : m_Settings.m_SilenceOfAll;
  for (auto &Each : m_Nodes) {
    Node &Known = Each.second;
    const uint32_t Doublings =
        std::min(Known.m_Removals, m_Settings.m_MaxDoublings);
    const model::TimePoint SilentSince =
        std::max(Known.m_AliveAt, m_WatchedSince);
    if (!Known.m_IsRegistered || !Known.m_IsSilent ||
        Now - SilentSince < Silence * (1 << Doublings))
      continue;
    ++Known.m_Removals;
    Known.m_RemovedAt = Now;
    // The list may still show the entry for a while.
    Known.m_AliveAt = Now;
    m_LastRemovalAt = Now;
    return Each.first;
  }
  return std::nullopt;
}

} // namespace bronzepass::core::gateway
