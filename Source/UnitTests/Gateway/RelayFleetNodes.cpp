#include "UnitTests/Gateway/RelayFleet.h"

#include <algorithm>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

/// Until a call to the store is answered.
constexpr model::Duration StoreDelay = 10ms;

} // namespace

void RelayFleet::startNode(size_t Index) {
  m_Nodes[Index] = std::make_unique<Node>(m_Random());
  RelayFixture &Relay = m_Nodes[Index]->m_Relay;
  Relay.m_Now = m_Now;
  Relay.configure();
  Relay.m_Core.setNodeCount(static_cast<uint32_t>(m_Nodes.size()), m_Now);
}

void RelayFleet::restartNode(size_t Index) {
  for (const auto &Each : m_Nodes[Index]->m_Sends)
    takeUp(Each.second.m_Asked, Index);
  startNode(Index);
  for (const std::unique_ptr<Node> &Each : m_Nodes)
    Each->m_Relay.m_Core.onPeerRestarted(m_Now);
  publishEngines();
}

void RelayFleet::restartAllNodes(
    model::Duration Outage, const std::optional<model::EndpointId> &Ending) {
  if (Ending)
    m_Engines.erase(*Ending);
  for (size_t I = 0; I < m_Nodes.size(); ++I) {
    for (const auto &Each : m_Nodes[I]->m_Sends)
      takeUp(Each.second.m_Asked, std::nullopt,
             Outage + model::Duration(m_Random() % (Outage * 2).count()));
    startNode(I);
    m_Nodes[I]->m_Relay.m_Core.streamOrigins().awaitRecord(m_Now);
    schedule(StoreDelay, [this, I, Node = m_Nodes[I].get()] {
      if (m_Nodes[I].get() != Node)
        return;
      gateway::StreamOrigins &Origins = Node->m_Relay.m_Core.streamOrigins();
      Origins.restore({}, m_Now);
      for (const auto &Each : m_StreamRecords)
        Origins.restore(Each.second, m_Now);
    });
  }
  publishEngines();
}

void RelayFleet::cutOff(const std::set<size_t> &Nodes) {
  m_CutOff = Nodes;
  publishEngines();
}

void RelayFleet::confirmEndpoints(size_t Index) {
  if (m_CutOff.contains(Index))
    return;
  schedule(StoreDelay, [this, Index, Node = m_Nodes[Index].get(), At = m_Now] {
    if (m_Nodes[Index].get() != Node)
      return;
    Node->m_Relay.m_Core.onEndpointsConfirmed(At, m_Now, Node->m_Relay.m_Out);
    carryOut(Index);
  });
}

void RelayFleet::recordStreams() {
  for (size_t I = 0;
       I < std::min<size_t>(gateway::StreamRecordSlots, m_Nodes.size()); ++I) {
    const model::Duration Phase =
        gateway::StreamRecordPeriod * I / gateway::StreamRecordSlots;
    const gateway::StreamOrigins &Origins =
        m_Nodes[I]->m_Relay.m_Core.streamOrigins();
    const bool IsDue =
        (m_Now - Phase).time_since_epoch() % gateway::StreamRecordPeriod < Step;
    if (IsDue && !Origins.awaitsRecord(m_Now) && Origins.isAnyMixed(m_Now))
      m_StreamRecords[I] = Origins.record(m_Now);
  }
}

} // namespace bronzepass::unit_tests
