#include "UnitTests/Gateway/PeerFleet.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr model::Duration Step = std::chrono::milliseconds(20);
constexpr model::Duration Delay = std::chrono::milliseconds(20);
constexpr model::Duration LoadPeriod = std::chrono::milliseconds(200);
constexpr model::Duration GreetPeriod = std::chrono::milliseconds(100);
constexpr model::Duration ReportPeriod = std::chrono::milliseconds(500);
constexpr uint16_t FirstPort = 1000;
constexpr uint32_t RecorderSlots = 3;

} // namespace

PeerFleet::PeerFleet(size_t Live, size_t Gone, uint64_t Seed, double LossShare)
    : m_Random(Seed), m_LossShare(LossShare) {
  // Names decide which nodes come first.
  const std::string Series = std::to_string(Seed);
  for (size_t I = 0; I < Live; ++I)
    m_Entries.push_back({model::NodeId("n" + Series + "-" + std::to_string(I)),
                         addressOf(I),
                         {},
                         25});
  for (size_t I = 0; I < Gone; ++I)
    m_Entries.push_back({model::NodeId("g" + Series + "-" + std::to_string(I)),
                         {"10.9.9.9", static_cast<uint16_t>(FirstPort + I)},
                         {},
                         25});
  for (size_t I = 0; I < Live; ++I)
    m_Nodes.push_back(makeNode(I));
  std::rotate(m_Entries.begin(),
              m_Entries.begin() + static_cast<std::ptrdiff_t>(Live),
              m_Entries.end());
  for (const auto &Each : m_Nodes)
    readList(*Each);
}

model::Address PeerFleet::addressOf(size_t Number) {
  return {"10.0.0.1", static_cast<uint16_t>(FirstPort + Number)};
}

std::unique_ptr<PeerFleet::Node> PeerFleet::makeNode(size_t Number) const {
  const auto Own = std::find_if(
      m_Entries.begin(), m_Entries.end(), [&](const NodeEntry &Each) {
        return Each.m_PeerAddress == addressOf(Number);
      });
  return std::make_unique<Node>(Node{
      Own->m_Node, Own->m_PeerAddress, PeerDirectory(Own->m_Node, PeerTiming()),
      PlacementCandidates(Own->m_Node, "stream-recorder")});
}

void PeerFleet::readList(Node &Reader) const {
  Reader.m_Directory.setRegistered(m_Entries, m_Now);
  Reader.m_Candidates.setRegistered(m_Entries);
}

void PeerFleet::restart(size_t Number) {
  m_Nodes[Number] = makeNode(Number);
  readList(*m_Nodes[Number]);
}

void PeerFleet::add() {
  const size_t Number = m_Nodes.size();
  m_Entries.push_back({model::NodeId("added-" + std::to_string(Number)),
                       addressOf(Number),
                       {},
                       25});
  m_Nodes.push_back(makeNode(Number));
  for (const auto &Each : m_Nodes)
    readList(*Each);
}

void PeerFleet::send(size_t From, const std::vector<model::Address> &To,
                     bool HasLoads) {
  std::uniform_real_distribution<> Chance(0, 1);
  m_Sent += To.size();
  for (const model::Address &Each : To)
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      if (Each == addressOf(I) && Chance(m_Random) >= m_LossShare)
        m_Network.push_back({m_Now + Delay, From, I, HasLoads});
}

void PeerFleet::step() {
  m_Now += Step;
  while (!m_Network.empty() && m_Network.front().m_At <= m_Now) {
    const Datagram Arrived = m_Network.front();
    m_Network.pop_front();
    Node &To = *m_Nodes[Arrived.m_To];
    const Node &From = *m_Nodes[Arrived.m_From];
    if (To.m_IsUp)
      To.m_Directory.onNotice(From.m_Id, From.m_Address, Arrived.m_HasLoads,
                              m_Now);
  }
  for (size_t I = 0; I < m_Nodes.size(); ++I) {
    Node &Each = *m_Nodes[I];
    if (!Each.m_IsUp)
      continue;
    if (m_Now >= Each.m_GreetAt) {
      Each.m_GreetAt = m_Now + GreetPeriod;
      send(I, Each.m_Directory.takeGreetings(m_Now), false);
    }
    if (m_Now >= Each.m_LoadsAt) {
      Each.m_LoadsAt = m_Now + LoadPeriod;
      send(I, Each.m_Directory.takeLoadTargets(m_Now), true);
    }
    if (m_Now >= Each.m_ReportAt) {
      Each.m_ReportAt = m_Now + ReportPeriod;
      Each.m_Candidates.setHeard(Each.m_Directory.livePeers(m_Now));
    }
  }
}

void PeerFleet::run(model::Duration Length) {
  const model::TimePoint End = m_Now + Length;
  while (m_Now < End)
    step();
}

std::vector<size_t> PeerFleet::firstThree() const {
  std::vector<size_t> First;
  for (size_t I = 0; I < m_Nodes.size(); ++I)
    if (m_Nodes[I]->m_IsUp && m_Nodes[I]->m_Candidates.rank() < RecorderSlots)
      First.push_back(I);
  return First;
}

size_t PeerFleet::liveTargets(size_t Number) {
  const std::vector<model::Address> Targets =
      m_Nodes[Number]->m_Directory.takeLoadTargets(m_Now);
  size_t Count = 0;
  for (size_t I = 0; I < m_Nodes.size(); ++I)
    Count += m_Nodes[I]->m_IsUp && std::find(Targets.begin(), Targets.end(),
                                             addressOf(I)) != Targets.end()
                 ? 1
                 : 0;
  return Count;
}

size_t PeerFleet::takeSent() { return std::exchange(m_Sent, 0); }

} // namespace bronzepass::core::gateway
