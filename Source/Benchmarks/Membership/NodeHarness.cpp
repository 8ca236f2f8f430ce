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
/// Header of a WebSocket frame with a mask, and of its TCP segment.
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

DrivenNode::DrivenNode(const Surroundings &Around)
    : m_Around(Around), m_Processes(Around.m_Nodes, 1),
      m_ReportSequences(Around.m_Engines, 0), m_Moves(Around.m_Engines, 0),
      m_Core(configOf(info(0, 1)), m_Random, m_Reader) {}

model::NodeInfo DrivenNode::info(int Number, int Process) const {
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

ports::VmListReceived DrivenNode::vmList() const {
  ports::VmListReceived Seen;
  for (int I = 0; I < m_Around.m_Nodes; ++I) {
    const model::NodeInfo Node = info(I, m_Processes[I]);
    Seen.m_Vms.push_back({.m_Vm = Node.m_Vm,
                          .m_Kind = model::VmKind::Entry,
                          .m_Domain = Node.m_Domain,
                          .m_Region = Node.m_Region,
                          .m_PeerAddress = Node.m_PeerAddress});
  }
  for (int I = 0; I < m_Around.m_Engines; ++I)
    Seen.m_Vms.push_back(
        {.m_Vm = model::VmId("vm-engine-" + std::to_string(I))});
  return Seen;
}

void DrivenNode::give(const ports::Event &Event) {
  ports::EffectList Effects;
  const double Begin = cpuNow();
  m_Core.handle(Event, m_Now, Effects);
  const double Spent = cpuNow() - Begin;
  m_Costs.m_CpuSeconds += Spent;
  m_Costs.m_WorstEventSeconds = std::max(m_Costs.m_WorstEventSeconds, Spent);
  carryOut(Effects);
}

void DrivenNode::receive(const model::NodeId &From,
                         const ports::PeerMessage &Message) {
  const std::optional<std::string> Bytes = m_Codec.encode({1, Message});
  m_Costs.m_BytesIn += Bytes->size() + FrameBytes;
  const double Begin = cpuNow();
  const auto Read = m_Codec.decode(*Bytes);
  m_Costs.m_CpuSeconds += cpuNow() - Begin;
  give(ports::PeerMessageReceived{From, Read->m_Message});
}

void DrivenNode::carryOut(const ports::EffectList &Effects) {
  for (const ports::Effect &Effect : Effects) {
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect)) {
      const double Begin = cpuNow();
      const std::optional<std::string> Bytes =
          m_Codec.encode({1, Send->m_Message});
      m_Costs.m_CpuSeconds += cpuNow() - Begin;
      const std::string Type(adapters::codec::typeName(Send->m_Message));
      m_Costs.m_BytesOut[Type] += Bytes->size() + FrameBytes;
      if (const auto *Beat = std::get_if<ports::Heartbeat>(&Send->m_Message))
        m_Echoes[Send->m_To] = Beat->m_Sequence;
      answerResidency(Send->m_To, Send->m_Message);
    } else if (const auto *Call = std::get_if<ports::StoreCall>(&Effect)) {
      constexpr const char *Verbs[] = {"get",    "list",   "create",
                                       "update", "delete", "watch"};
      ++m_Costs.m_StoreCalls[Verbs[static_cast<int>(Call->m_Verb)]];
      m_Store.submit(m_Core.view().self().m_Node, *Call, m_Now);
    } else if (const auto *Wanted =
                   std::get_if<ports::ReportRequest>(&Effect)) {
      const std::string &Name = Wanted->m_Endpoint.str();
      m_Queue.emplace_back(report(std::stoi(Name.substr(Name.find('-') + 1))));
    } else if (const auto *Dial = std::get_if<ports::PeerConnect>(&Effect)) {
      const std::string &Vm = Dial->m_Peer.m_Vm.str();
      const int Number = std::stoi(Vm.substr(Vm.rfind('-') + 1));
      link(info(Number, m_Processes[Number]), true);
    } else if (std::holds_alternative<ports::VmListRequest>(Effect)) {
      m_Queue.emplace_back(vmList());
    } else if (const auto *Cut = std::get_if<ports::PeerDisconnect>(&Effect)) {
      m_Linked.erase(Cut->m_Peer);
    }
  }
}

void DrivenNode::link(const model::NodeInfo &Peer, bool Dialled) {
  if (!m_Linked.emplace(Peer.m_Node, Peer).second)
    return;
  m_Queue.emplace_back(ports::PeerLinkChanged{
      Peer.m_Node, true, Dialled ? Peer.m_Vm : model::VmId()});
  m_Queue.emplace_back(ports::PeerMessageReceived{
      Peer.m_Node, ports::Hello{1, Peer, {m_Generation}}});
}

void DrivenNode::beat(const model::NodeInfo &Peer) {
  ports::Heartbeat Beat{.m_Sequence = ++m_Sequences[Peer.m_Node],
                        .m_Generation = {m_Generation},
                        .m_LastReceivedSequence = m_Echoes[Peer.m_Node],
                        .m_MembersDigest = m_Core.view().members().digest(),
                        .m_Neighbour = m_Neighbours.contains(Peer.m_Vm)};
  Beat.m_NodeUpdates = std::move(m_News[Peer.m_Node]);
  m_News.erase(Peer.m_Node);
  std::vector<uint64_t> &Untold = m_Progress[Peer.m_Node];
  if (!Untold.empty())
    Beat.m_Progress = {{m_Generation}, std::move(Untold)};
  m_Progress.erase(Peer.m_Node);
  receive(Peer.m_Node, Beat);
}

model::EngineReport DrivenNode::report(int Engine) {
  model::EngineReport Report;
  Report.m_Endpoint = model::EndpointId("engine-" + std::to_string(Engine));
  Report.m_Sequence = ++m_ReportSequences[Engine];
  Report.m_MadeAt = m_Now;
  Report.m_MemoryBytes = 320ULL << 30;
  Report.m_Running = m_Chance.next() % 32;
  constexpr int CopiesPerEngine = 6;
  for (int I = 0; I < CopiesPerEngine; ++I) {
    const int Model =
        (Engine * CopiesPerEngine + I + (I == 0 ? m_Moves[Engine] : 0)) %
        m_Around.m_Models;
    Report.m_Copies.push_back(
        {{model::ModelId("model-" + std::to_string(Model)), "1", {}},
         model::CopyState::Serving,
         14ULL << 30});
    Report.m_UsedBytes += 14ULL << 30;
  }
  return Report;
}

ports::TrafficReport DrivenNode::demand() {
  // One node's share of 4,200 requests a second over 380 nodes.
  constexpr int RequestsPerSecond = 11;
  ports::TrafficReport Seen;
  for (int I = 0; I < RequestsPerSecond; ++I) {
    const uint64_t Model = m_Chance.next() % m_Around.m_Models;
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

void DrivenNode::replaceOne() {
  const int Number = 1 + m_Chance.next() % (m_Around.m_Nodes - 1);
  model::NodeInfo Old = info(Number, m_Processes[Number]);
  if (m_Linked.erase(Old.m_Node))
    m_Queue.emplace_back(ports::PeerLinkChanged{Old.m_Node, false});
  Old.m_Liveness = model::Liveness::Gone;
  const model::NodeInfo Fresh = info(Number, ++m_Processes[Number]);
  // Two neighbours pass it on before the others hear of it from this node.
  int Tellers = 2;
  for (const auto &[Peer, Info] : m_Linked) {
    if (Tellers-- == 0)
      break;
    m_News[Peer].push_back(Old);
    m_News[Peer].push_back(Fresh);
  }
}

void DrivenNode::answerResidency(const model::NodeId &Peer,
                                 const ports::PeerMessage &Message) {
  if (const auto *Wanted = std::get_if<ports::ResidencyRequest>(&Message))
    for (const model::EndpointId &Endpoint : Wanted->m_Endpoints)
      m_Queue.emplace_back(ports::PeerMessageReceived{
          Peer, ports::ResidencyReply{{m_Offered.at(Endpoint)}}});
  // Each node fetches a report once: of this node's neighbours one in all.
  if (const auto *Offer = std::get_if<ports::ResidencyOffer>(&Message))
    for (const ports::OfferedReport &News : Offer->m_OfferedReports)
      if (m_Chance.next() % m_Core.view().neighbours().size() == 0)
        m_Queue.emplace_back(ports::PeerMessageReceived{
            Peer, ports::ResidencyRequest{{News.m_Endpoint}}});
}

void DrivenNode::moveOne() {
  const int Engine = m_Chance.next() % m_Around.m_Engines;
  ++m_Moves[Engine];
  const model::EngineReport Moved = report(Engine);
  m_Offered[Moved.m_Endpoint] = Moved;
  const ports::ResidencyOffer Offer{{{Moved.m_Endpoint, Moved.m_MadeAt}}};
  // Two neighbours pass it on before the others hear of it from this node.
  int Tellers = 2;
  const auto Linked = m_Linked;
  for (const auto &[Peer, Info] : Linked) {
    if (Tellers-- == 0)
      break;
    receive(Peer, Offer);
  }
}

void DrivenNode::applyNext() {
  model::IntentDocument Document = core::membership::splitIntent(intentText(
      m_Around.m_Models, m_Around.m_Engines, static_cast<int>(m_Generation)));
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
  if (m_Linked.empty())
    return;
  // One neighbour offers it, has its parts, and every node's name comes by.
  const model::NodeId First = m_Linked.begin()->first;
  receive(First, ports::IntentOffer{Document.m_Head});
  for (const model::IntentPart &Part : Document.m_Parts)
    receive(First, ports::IntentPartReply{Part});
  for (int I = 1; I < m_Around.m_Nodes; ++I) {
    const auto At = std::next(m_Linked.begin(), I % m_Linked.size());
    m_Progress[At->first].push_back(
        model::stableHash(info(I, m_Processes[I]).m_Node.str()));
  }
}

void DrivenNode::step() {
  m_Now += Step;
  for (auto &Due : m_Store.takeDue(m_Now))
    if (Due.m_Caller == m_Core.view().self().m_Node)
      m_Queue.emplace_back(std::move(Due.m_Answer));
  while (!m_Queue.empty()) {
    const ports::Event Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    give(Next);
  }
  give(ports::Tick());
  if (m_Now.time_since_epoch() % 1s == model::Duration(0))
    give(demand());
  const auto Linked = m_Linked;
  size_t Place = 0;
  for (const auto &[Peer, Info] : Linked) {
    const bool IsDue =
        (m_Now.time_since_epoch() / Step + ++Place) % (1s / Step) == 0;
    if (IsDue)
      beat(Info);
  }
}

void DrivenNode::warmUp() {
  ports::EffectList Effects;
  m_Core.start(m_Now, Effects);
  carryOut(Effects);
  applyNext();
  core::membership::Overlay Links(info(0, 1).m_Vm, info(0, 1).m_Region);
  for (int I = 1; I < m_Around.m_Nodes; ++I)
    Links.put(info(I, 1).m_Vm, info(I, 1).m_Region, true);
  m_Neighbours = Links.successors();
  m_Neighbours.merge(Links.predecessors());
  for (const model::VmId &Vm : Links.predecessors())
    link(info(std::stoi(Vm.str().substr(Vm.str().rfind('-') + 1)), 1), false);
  for (int I = 0; I < 40; ++I)
    step();
  for (int I = 1; I < m_Around.m_Nodes; ++I)
    m_News[m_Linked.begin()->first].push_back(info(I, 1));
  for (int I = 0; I < m_Around.m_Engines; ++I)
    receive(m_Linked.begin()->first, ports::ResidencyReply{{report(I)}});
  while (m_Now < model::TimePoint(1000h + 2min))
    step();
}

Costs DrivenNode::run(model::Duration Span) {
  m_Costs = {};
  const model::TimePoint End = m_Now + Span;
  const double Steps = static_cast<double>(Span / Step);
  const double Hours =
      std::chrono::duration<double, std::ratio<3600>>(Span).count();
  const double Changes = m_Around.m_ChangesPerDay / 24 * Hours / Steps;
  const double Replacements = m_Around.m_ReplacementsPerHour * Hours / Steps;
  const double Moves =
      m_Around.m_MovesPerEnginePerHour * m_Around.m_Engines * Hours / Steps;
  double DueChanges = 0;
  double DueReplacements = 0;
  double DueMoves = 0;
  while (m_Now < End) {
    step();
    for (DueChanges += Changes; DueChanges >= 1; --DueChanges)
      applyNext();
    for (DueReplacements += Replacements; DueReplacements >= 1;
         --DueReplacements)
      replaceOne();
    for (DueMoves += Moves; DueMoves >= 1; --DueMoves)
      moveOne();
  }
  m_Costs.m_VirtualSeconds = std::chrono::duration<double>(Span).count();
  m_Costs.m_Links = m_Core.view().linkedPeers().size();
  return m_Costs;
}

} // namespace bronzepass::benchmarks::membership
