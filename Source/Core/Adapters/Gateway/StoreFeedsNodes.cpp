#include "Core/Adapters/Gateway/StoreFeeds.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

// The entries of nodes: this one's, and those of others.
namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr model::Duration RegisterTimeout = std::chrono::milliseconds(1500);
constexpr model::Duration RegisterRetry = std::chrono::milliseconds(1500);
/// A list that was read this long after the registration shows it.
constexpr model::Duration MaxListAge = std::chrono::seconds(8);

} // namespace

void StoreFeeds::handleNode(const gateway::FeedChange &Change) {
  m_Nodes.erase(model::NodeId(Change.m_Name));
  if (!Change.m_Content)
    return;
  const gateway::Decoded<gateway::NodeEntry> Parsed =
      m_Dialect.readNode(Change.m_Name, *Change.m_Content);
  m_Log.writeFindings("node", Change.m_Name, Parsed.m_Findings);
  if (Parsed.m_Value)
    m_Nodes[Parsed.m_Value->m_Node] = *Parsed.m_Value;
}

void StoreFeeds::publishNodes() {
  std::vector<gateway::NodeEntry> Nodes;
  for (const auto &Each : m_Nodes)
    Nodes.push_back(Each.second);
  m_StaleNodes.setNodes(Nodes, m_Clock.now());
  updateSources(Nodes);
  m_Events.onNodesChanged(Nodes);
}

void StoreFeeds::registerSelf() {
  const model::TimePoint Now = m_Clock.now();
  checkOwnEntry();
  if (m_Registered || m_Registering || m_Leaving || Now < m_RegisterAt ||
      !m_NodeFeed.m_Feed.isCurrent())
    return;
  const auto Known = m_Nodes.find(m_Self.m_Node);
  const bool IsKnown = Known != m_Nodes.end() && !m_RegisterAgain;
  if (IsKnown && Known->second == m_Self) {
    m_Registered = true;
    return;
  }
  m_Registering = true;
  const bool Create = m_RegisterAsNew && !IsKnown;
  m_Store.call(m_Dialect.writeNode(m_Self, Create), RegisterTimeout, false,
               [this, Create, Registration = ++m_Registration](
                   const gateway::HttpResult &Result) {
                 constexpr int FirstFailure = 300;
                 constexpr int Conflict = 409;
                 if (Registration != m_Registration)
                   return;
                 m_Registering = false;
                 m_Registered =
                     Result.m_Status > 0 && Result.m_Status < FirstFailure;
                 m_RegisteredAt = m_Clock.now();
                 // The entry already existed, or was removed meanwhile: the
                 // next attempt updates or creates it instead.
                 if (m_Registered || Result.m_Status == Conflict)
                   m_RegisterAgain = false;
                 m_RegisterAsNew = Create ? Result.m_Status != Conflict : true;
                 m_RegisterAt = m_Clock.now() + RegisterRetry;
               });
}

void StoreFeeds::checkOwnEntry() {
  const bool IsMissing = m_Registered && m_NodeFeed.m_Feed.isCurrent() &&
                         !m_Nodes.contains(m_Self.m_Node) &&
                         m_Clock.now() - m_RegisteredAt >= MaxListAge;
  if (!IsMissing || m_Leaving)
    return;
  m_Log.write(
      "dependency", "entry_missing",
      {{"dependency", "store/nodes"}, {"reason", "this node registers again"}});
  m_Registered = false;
  m_RegisterAsNew = true;
}

void StoreFeeds::onLivePeers(const gateway::LivePeers &Peers) {
  m_StaleNodes.onLivePeers(Peers, m_Clock.now());
}

void StoreFeeds::setHolder(bool IsHolder) {
  m_StaleNodes.setHolder(IsHolder, m_Clock.now());
}

void StoreFeeds::removeStaleNode() {
  if (m_Leaving || !m_NodeFeed.m_Feed.isCurrent())
    return;
  const std::optional<model::NodeId> Stale =
      m_StaleNodes.takeStale(m_Clock.now());
  if (!Stale)
    return;
  const std::optional<uint64_t> Revision =
      m_NodeFeed.m_Feed.revisionOf(Stale->str());
  // An entry without a known revision may be the next process's by now.
  if (!Revision)
    return;
  m_Store.call(m_Dialect.removeNode(*Stale, Revision), RegisterTimeout, false,
               [this, Stale = *Stale](const gateway::HttpResult &Result) {
                 m_Log.write("dependency", "entry_removed",
                             {{"dependency", "store/nodes"},
                              {"source", Stale.str()},
                              {"status", static_cast<int64_t>(Result.m_Status)},
                              {"reason", "the node is silent"}});
               });
}

void StoreFeeds::leave() {
  m_Leaving = true;
  m_Relay.close();
  if (!m_Registered)
    return;
  // Otherwise the peers would keep sending notices to this node.
  m_Store.call(
      m_Dialect.removeNode(m_Self.m_Node, std::nullopt), RegisterTimeout, false,
      [this](const gateway::HttpResult &Result) {
        if (Result.m_Status == 0)
          m_Log.write("dependency", "entry_left", {{"reason", "no answer"}});
      });
}

} // namespace bronzepass::core::adapters::gateway
