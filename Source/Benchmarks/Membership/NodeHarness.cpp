#include "Benchmarks/Membership/NodeHarness.h"

#include "Benchmarks/Membership/IntentText.h"
#include "Core/Membership/IntentParts.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <ctime>
#include <variant>

using namespace bronzepass::core;
using namespace std::chrono_literals;

namespace bronzepass::benchmarks::membership {

namespace {

constexpr model::Duration Step = 50ms;
/// Headers of a masked WebSocket frame and of its TCP segment.
constexpr uint64_t FrameBytes = 8 + 52;

double cpuNow() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  constexpr double Nanoseconds = 1e-9;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * Nanoseconds;
}

node::NodeConfig configOf(model::NodeInfo Self) {
  node::NodeConfig Config;
  Config.m_Self = std::move(Self);
  return Config;
}

template <typename MapT> uint64_t sumOf(const MapT &Counts) {
  uint64_t Sum = 0;
  for (const auto &[Name, Count] : Counts)
    Sum += Count;
  return Sum;
}

} // namespace

uint64_t Costs::bytesOut() const { return sumOf(m_BytesOut); }
uint64_t Costs::storeCalls() const { return sumOf(m_StoreCalls); }

NodeHarness::NodeHarness(const Workload &Load)
    : m_Workload(Load), m_ProcessNumbers(Load.m_Nodes, 1),
      m_ReportSequences(Load.m_Engines, 0), m_MoveCounts(Load.m_Engines, 0),
      m_Core(configOf(nodeInfo(0, 1)), m_Random, m_Reader) {}

model::NodeInfo NodeHarness::nodeInfo(int Number, int Process) const {
  const std::string Name = std::to_string(Number);
  const int Domain = Number % 7;
  return {.m_Node =
              model::NodeId("vm-entry-" + Name + "-" + std::to_string(Process)),
          .m_Vm = model::VmId("vm-entry-" + Name),
          .m_Domain = model::DomainId("domain-" + std::to_string(Domain)),
          .m_Region = model::RegionId("region-" + std::to_string(Domain % 3)),
          .m_PeerAddress = {"10.1.2." + std::to_string(Number % 250), 7000},
          .m_CallerAddress = {"10.1.2." + std::to_string(Number % 250), 8000},
          .m_Incarnation =
              1'790'000'000'000'000 + static_cast<uint64_t>(Process) * 1000};
}

ports::VmListReceived NodeHarness::vmList() const {
  ports::VmListReceived Seen;
  for (int I = 0; I < m_Workload.m_Nodes; ++I) {
    const model::NodeInfo Node = nodeInfo(I, m_ProcessNumbers[I]);
    Seen.m_Vms.push_back({.m_Vm = Node.m_Vm,
                          .m_Kind = model::VmKind::Entry,
                          .m_Domain = Node.m_Domain,
                          .m_Region = Node.m_Region,
                          .m_PeerAddress = Node.m_PeerAddress});
  }
  for (int I = 0; I < m_Workload.m_Engines; ++I)
    Seen.m_Vms.push_back(
        {.m_Vm = model::VmId("vm-engine-" + std::to_string(I))});
  return Seen;
}

void NodeHarness::handleEvent(const ports::Event &Event) {
  ports::EffectList Effects;
  const double Begin = cpuNow();
  m_Core.handle(Event, m_Now, Effects);
  const double Spent = cpuNow() - Begin;
  m_Costs.m_CpuSeconds += Spent;
  m_Costs.m_WorstEventSeconds = std::max(m_Costs.m_WorstEventSeconds, Spent);
  applyEffects(Effects);
}

void NodeHarness::receive(const model::NodeId &From,
                          const ports::PeerMessage &Message) {
  const std::optional<std::string> Bytes = m_Codec.encode({1, Message});
  m_Costs.m_BytesIn += Bytes->size() + FrameBytes;
  const double Begin = cpuNow();
  const auto Read = m_Codec.decode(*Bytes);
  m_Costs.m_CpuSeconds += cpuNow() - Begin;
  handleEvent(ports::PeerMessageReceived{From, Read->m_Message});
}

void NodeHarness::applyEffects(const ports::EffectList &Effects) {
  for (const ports::Effect &Effect : Effects) {
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect)) {
      const double Begin = cpuNow();
      const std::optional<std::string> Bytes =
          m_Codec.encode({1, Send->m_Message});
      m_Costs.m_CpuSeconds += cpuNow() - Begin;
      const std::string Type(adapters::codec::typeName(Send->m_Message));
      m_Costs.m_BytesOut[Type] += Bytes->size() + FrameBytes;
      if (const auto *Beat = std::get_if<ports::Heartbeat>(&Send->m_Message))
        m_LastReceivedSequences[Send->m_To] = Beat->m_Sequence;
      answerResidencyMessage(Send->m_To, Send->m_Message);
    } else if (const auto *Call = std::get_if<ports::StoreCall>(&Effect)) {
      constexpr const char *Verbs[] = {"get",    "list",   "create",
                                       "update", "delete", "watch"};
      ++m_Costs.m_StoreCalls[Verbs[static_cast<int>(Call->m_Verb)]];
      m_Store.submit(m_Core.view().self().m_Node, *Call, m_Now);
    } else if (const auto *Wanted =
                   std::get_if<ports::ReportRequest>(&Effect)) {
      const std::string &Name = Wanted->m_Endpoint.str();
      m_EventQueue.emplace_back(
          report(std::stoi(Name.substr(Name.find('-') + 1))));
    } else if (const auto *Connect = std::get_if<ports::PeerConnect>(&Effect)) {
      const std::string &Vm = Connect->m_Peer.m_Vm.str();
      const int Number = std::stoi(Vm.substr(Vm.rfind('-') + 1));
      addLink(nodeInfo(Number, m_ProcessNumbers[Number]), true);
    } else if (std::holds_alternative<ports::VmListRequest>(Effect)) {
      m_EventQueue.emplace_back(vmList());
    } else if (const auto *Disconnect =
                   std::get_if<ports::PeerDisconnect>(&Effect)) {
      m_LinkedPeers.erase(Disconnect->m_Peer);
    }
  }
}

void NodeHarness::addLink(const model::NodeInfo &Peer, bool Dialled) {
  if (!m_LinkedPeers.emplace(Peer.m_Node, Peer).second)
    return;
  m_EventQueue.emplace_back(ports::PeerLinkChanged{
      Peer.m_Node, true, Dialled ? Peer.m_Vm : model::VmId()});
  m_EventQueue.emplace_back(ports::PeerMessageReceived{
      Peer.m_Node, ports::Hello{1, Peer, {m_Generation}}});
}

void NodeHarness::deliverHeartbeat(const model::NodeInfo &Peer) {
  ports::Heartbeat Beat{.m_Sequence = ++m_HeartbeatSequences[Peer.m_Node],
                        .m_Generation = {m_Generation},
                        .m_LastReceivedSequence =
                            m_LastReceivedSequences[Peer.m_Node],
                        .m_MembersDigest = m_Core.view().members().digest(),
                        .m_Neighbour = m_Neighbours.contains(Peer.m_Vm)};
  Beat.m_NodeUpdates = std::move(m_PendingNodeUpdates[Peer.m_Node]);
  m_PendingNodeUpdates.erase(Peer.m_Node);
  std::vector<uint64_t> &PendingProgress = m_PendingProgress[Peer.m_Node];
  if (!PendingProgress.empty())
    Beat.m_Progress = {{m_Generation}, std::move(PendingProgress)};
  m_PendingProgress.erase(Peer.m_Node);
  receive(Peer.m_Node, Beat);
}

model::EngineReport NodeHarness::report(int Engine) {
  model::EngineReport Report;
  Report.m_Endpoint = model::EndpointId("engine-" + std::to_string(Engine));
  Report.m_Sequence = ++m_ReportSequences[Engine];
  Report.m_MadeAt = m_Now;
  Report.m_MemoryBytes = 320ULL << 30;
  Report.m_Running = m_WorkloadRandom.next() % 32;
  constexpr int CopiesPerEngine = 6;
  for (int I = 0; I < CopiesPerEngine; ++I) {
    const int Model =
        (Engine * CopiesPerEngine + I + (I == 0 ? m_MoveCounts[Engine] : 0)) %
        m_Workload.m_Models;
    Report.m_Copies.push_back(
        {{model::ModelId("model-" + std::to_string(Model)), "1", {}},
         model::CopyState::Serving,
         14ULL << 30});
    Report.m_UsedBytes += 14ULL << 30;
  }
  return Report;
}

ports::TrafficReport NodeHarness::trafficReport() {
  // One node's share of 4,200 requests a second over 380 nodes.
  constexpr int RequestsPerSecond = 11;
  ports::TrafficReport Seen;
  for (int I = 0; I < RequestsPerSecond; ++I) {
    const uint64_t Model = m_WorkloadRandom.next() % m_Workload.m_Models;
    Seen.m_Demand.push_back(
        {{model::ModelId("model-" + std::to_string(Model)), "1", {}},
         1,
         1,
         0,
         0,
         2.5});
  }
  return Seen;
}

void NodeHarness::replaceNode() {
  const int Number = 1 + m_WorkloadRandom.next() % (m_Workload.m_Nodes - 1);
  model::NodeInfo Old = nodeInfo(Number, m_ProcessNumbers[Number]);
  if (m_LinkedPeers.erase(Old.m_Node))
    m_EventQueue.emplace_back(ports::PeerLinkChanged{Old.m_Node, false});
  Old.m_Liveness = model::Liveness::Gone;
  const model::NodeInfo Replacement =
      nodeInfo(Number, ++m_ProcessNumbers[Number]);
  // Two neighbours send the change; the others learn it from this node.
  int Forwarders = 2;
  for (const auto &[Peer, Info] : m_LinkedPeers) {
    if (Forwarders-- == 0)
      break;
    m_PendingNodeUpdates[Peer].push_back(Old);
    m_PendingNodeUpdates[Peer].push_back(Replacement);
  }
}

void NodeHarness::answerResidencyMessage(const model::NodeId &Peer,
                                         const ports::PeerMessage &Message) {
  if (const auto *Wanted = std::get_if<ports::ResidencyRequest>(&Message))
    for (const model::EndpointId &Endpoint : Wanted->m_Endpoints)
      m_EventQueue.emplace_back(ports::PeerMessageReceived{
          Peer, ports::ResidencyReply{{m_MovedReports.at(Endpoint)}}});
  // Each node fetches a report once, so on average one of this node's
  // neighbours requests it from this node.
  if (const auto *Offer = std::get_if<ports::ResidencyOffer>(&Message))
    for (const ports::OfferedReport &Offered : Offer->m_OfferedReports)
      if (m_WorkloadRandom.next() % m_Core.view().neighbours().size() == 0)
        m_EventQueue.emplace_back(ports::PeerMessageReceived{
            Peer, ports::ResidencyRequest{{Offered.m_Endpoint}}});
}

void NodeHarness::moveCopy() {
  const int Engine = m_WorkloadRandom.next() % m_Workload.m_Engines;
  ++m_MoveCounts[Engine];
  const model::EngineReport Moved = report(Engine);
  m_MovedReports[Moved.m_Endpoint] = Moved;
  const ports::ResidencyOffer Offer{{{Moved.m_Endpoint, Moved.m_MadeAt}}};
  // Two neighbours send the change; the others learn it from this node.
  int Forwarders = 2;
  const auto Linked = m_LinkedPeers;
  for (const auto &[Peer, Info] : Linked) {
    if (Forwarders-- == 0)
      break;
    receive(Peer, Offer);
  }
}

void NodeHarness::applyNextIntent() {
  model::IntentDocument Document = core::membership::splitIntent(
      intentText(m_Workload.m_Models, m_Workload.m_Engines,
                 static_cast<int>(m_Generation)));
  Document.m_Head.m_Generation = {++m_Generation};
  const model::NodeId Operator("operator");
  for (const model::IntentPart &Part : Document.m_Parts)
    m_Store.submit(Operator,
                   {.m_Id = {++m_OperatorCalls},
                    .m_Verb = ports::StoreVerb::Create,
                    .m_Key = core::membership::intentPartKey(Part.m_Hash),
                    .m_Record = Part},
                   m_Now);
  const ports::ObjectKey Key = core::membership::intentHeadKey();
  const ports::StoredObject *Old = m_Store.find(Key);
  m_Store.submit(
      Operator,
      {.m_Id = {++m_OperatorCalls},
       .m_Verb = Old ? ports::StoreVerb::Update : ports::StoreVerb::Create,
       .m_Key = Key,
       .m_Expected = Old ? Old->m_Version : model::ObjectVersion(),
       .m_Record = Document.m_Head},
      m_Now);
  if (m_LinkedPeers.empty())
    return;
  // One neighbour offers the intent and sends its parts; then the neighbours
  // report each node's progress.
  const model::NodeId First = m_LinkedPeers.begin()->first;
  receive(First, ports::IntentOffer{Document.m_Head});
  for (const model::IntentPart &Part : Document.m_Parts)
    receive(First, ports::IntentPartReply{Part});
  for (int I = 1; I < m_Workload.m_Nodes; ++I) {
    const auto At = std::next(m_LinkedPeers.begin(), I % m_LinkedPeers.size());
    m_PendingProgress[At->first].push_back(
        model::stableHash(nodeInfo(I, m_ProcessNumbers[I]).m_Node.str()));
  }
}

void NodeHarness::step() {
  m_Now += Step;
  for (auto &Due : m_Store.takeDue(m_Now))
    if (Due.m_Caller == m_Core.view().self().m_Node)
      m_EventQueue.emplace_back(std::move(Due.m_Answer));
  while (!m_EventQueue.empty()) {
    const ports::Event Next = std::move(m_EventQueue.front());
    m_EventQueue.pop_front();
    handleEvent(Next);
  }
  handleEvent(ports::Tick());
  if (m_Now.time_since_epoch() % 1s == model::Duration(0))
    handleEvent(trafficReport());
  const auto Linked = m_LinkedPeers;
  size_t Index = 0;
  for (const auto &[Peer, Info] : Linked) {
    const bool IsDue =
        (m_Now.time_since_epoch() / Step + ++Index) % (1s / Step) == 0;
    if (IsDue)
      deliverHeartbeat(Info);
  }
}

void NodeHarness::warmUp() {
  ports::EffectList Effects;
  m_Core.start(m_Now, Effects);
  applyEffects(Effects);
  applyNextIntent();
  core::membership::Overlay Links(nodeInfo(0, 1).m_Vm, nodeInfo(0, 1).m_Region);
  for (int I = 1; I < m_Workload.m_Nodes; ++I)
    Links.put(nodeInfo(I, 1).m_Vm, nodeInfo(I, 1).m_Region, true);
  m_Neighbours = Links.successors();
  m_Neighbours.merge(Links.predecessors());
  for (const model::VmId &Vm : Links.predecessors())
    addLink(nodeInfo(std::stoi(Vm.str().substr(Vm.str().rfind('-') + 1)), 1),
            false);
  for (int I = 0; I < 40; ++I)
    step();
  for (int I = 1; I < m_Workload.m_Nodes; ++I)
    m_PendingNodeUpdates[m_LinkedPeers.begin()->first].push_back(
        nodeInfo(I, 1));
  for (int I = 0; I < m_Workload.m_Engines; ++I)
    receive(m_LinkedPeers.begin()->first, ports::ResidencyReply{{report(I)}});
  while (m_Now < model::TimePoint(1000h + 2min))
    step();
}

Costs NodeHarness::run(model::Duration Span) {
  m_Costs = {};
  const model::TimePoint End = m_Now + Span;
  const double Steps = static_cast<double>(Span / Step);
  const double Hours =
      std::chrono::duration<double, std::ratio<3600>>(Span).count();
  const double Changes = m_Workload.m_ChangesPerDay / 24 * Hours / Steps;
  const double Replacements = m_Workload.m_ReplacementsPerHour * Hours / Steps;
  const double Moves =
      m_Workload.m_MovesPerEnginePerHour * m_Workload.m_Engines * Hours / Steps;
  double DueChanges = 0;
  double DueReplacements = 0;
  double DueMoves = 0;
  while (m_Now < End) {
    step();
    for (DueChanges += Changes; DueChanges >= 1; --DueChanges)
      applyNextIntent();
    for (DueReplacements += Replacements; DueReplacements >= 1;
         --DueReplacements)
      replaceNode();
    for (DueMoves += Moves; DueMoves >= 1; --DueMoves)
      moveCopy();
  }
  m_Costs.m_VirtualSeconds = std::chrono::duration<double>(Span).count();
  m_Costs.m_Links = m_Core.view().linkedPeers().size();
  return m_Costs;
}

} // namespace bronzepass::benchmarks::membership
