#include "UnitTests/Node/ControlCluster.h"

#include "Core/Membership/IntentParts.h"
#include "Core/Routing/RoutingTable.h"

#include <algorithm>
#include <variant>

namespace bronzepass::unit_tests::node {

using namespace core;

namespace {

constexpr model::Duration TickPeriod = std::chrono::milliseconds(20);
const model::NodeId Operator("operator");

template <typename... T> struct Overloaded : T... { using T::operator()...; };
template <typename... T> Overloaded(T...) -> Overloaded<T...>;

} // namespace

ControlCluster::ControlCluster() : m_NextTick(m_Now) {}

ControlCluster::Node &ControlCluster::addNode(const std::string &Vm,
                                              const std::string &Domain) {
  const uint64_t Incarnation =
      static_cast<uint64_t>(m_Now.time_since_epoch().count());
  const model::VmId Id(Vm);
  const uint16_t Port = static_cast<uint16_t>(1000 + ++m_Seed);
  const model::NodeInfo Info{.m_Node = model::makeNodeId(Id, Incarnation),
                             .m_Vm = Id,
                             .m_Domain = model::DomainId(Domain),
                             .m_Region = model::RegionId("r"),
                             .m_PeerAddress = {"127.0.0.1", Port},
                             .m_CallerAddress = {"127.0.0.1", Port},
                             .m_Incarnation = Incarnation};
  m_VmList[Id] = {Id,
                  model::VmKind::Entry,
                  model::Liveness::Live,
                  Info.m_Domain,
                  Info.m_Region,
                  Info.m_PeerAddress,
                  Info.m_CallerAddress};
  core::node::NodeConfig Config;
  Config.m_Self = Info;
  Node &Added = m_Nodes[Vm] = Node();
  Added.m_Info = Info;
  Added.m_Random = std::make_unique<fakes::FixedRandom>(m_Seed);
  Added.m_Core = std::make_unique<core::node::ControlCore>(
      Config, *Added.m_Random, m_Reader);
  ports::EffectList Effects;
  Added.m_Core->start(m_Now, Effects);
  carryOut(Added, Effects);
  return Added;
}

void ControlCluster::kill(const std::string &Vm) {
  Node &Killed = m_Nodes.at(Vm);
  const std::set<model::NodeId> Links = Killed.m_Links;
  for (const model::NodeId &Peer : Links)
    breakLink(Killed, Peer);
  m_Nodes.erase(Vm);
}

ControlCluster::Node *ControlCluster::find(const model::NodeId &Id) {
  for (auto &Entry : m_Nodes)
    if (Entry.second.m_Info.m_Node == Id)
      return &Entry.second;
  return nullptr;
}

void ControlCluster::apply(const std::string &Text) {
  const ports::IntentReadResult Reading = m_Reader.read(Text, "intent");
  m_Intent = *Reading.m_Intent;
  for (const model::PoolSpec &Pool : m_Intent.m_Pools)
    for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints) {
      if (Pool.m_Kind != model::PoolKind::Engine ||
          m_Engines.count(Endpoint.m_Name) != 0)
        continue;
      fakes::FakeEngine &Engine = m_Engines[Endpoint.m_Name];
      Engine.m_Spec = Endpoint;
      Engine.m_Fencing = Pool.m_Fencing;
    }
  model::IntentDocument Document = membership::splitIntent(Text);
  const ports::ObjectKey Head = membership::intentHeadKey();
  const ports::StoredObject *Old = m_Store.find(Head);
  Document.m_Head.m_Generation = {1};
  if (Old)
    Document.m_Head.m_Generation.m_Value =
        std::get<model::IntentHead>(Old->m_Record).m_Generation.m_Value + 1;
  for (const model::IntentPart &Part : Document.m_Parts)
    m_Store.submit(Operator,
                   {.m_Id = {++m_StoreCall},
                    .m_Verb = ports::StoreVerb::Create,
                    .m_Key = membership::intentPartKey(Part.m_Hash),
                    .m_Record = Part},
                   m_Now);
  m_Store.submit(
      Operator,
      {.m_Id = {++m_StoreCall},
       .m_Verb = Old ? ports::StoreVerb::Update : ports::StoreVerb::Create,
       .m_Key = Head,
       .m_Expected = Old ? Old->m_Version : model::ObjectVersion(),
       .m_Record = Document.m_Head},
      m_Now);
}

void ControlCluster::post(const std::string &Vm, ports::Event Event,
                          model::Duration Delay) {
  m_ScheduledEvents.emplace(
      m_Now + Delay,
      ScheduledEvent{Vm, m_Nodes.at(Vm).m_Info.m_Node, std::move(Event)});
}

void ControlCluster::deliver(Node &To, const ports::Event &Event) {
  if (To.m_Stopped)
    return;
  if (To.m_Paused) {
    To.m_DeferredEvents.push_back(Event);
    return;
  }
  ports::EffectList Effects;
  // Events received while the node was paused are handled first, in order.
  for (const ports::Event &Deferred : std::exchange(To.m_DeferredEvents, {}))
    To.m_Core->handle(Deferred, m_Now, Effects);
  To.m_Core->handle(Event, m_Now, Effects);
  carryOut(To, Effects);
}

void ControlCluster::carryOut(Node &From, const ports::EffectList &Effects) {
  const std::string Vm = From.m_Info.m_Vm.str();
  for (const ports::Effect &Each : Effects)
    std::visit(
        Overloaded{
            [&](const ports::StoreCall &Call) {
              m_Store.submit(From.m_Info.m_Node, Call, m_Now);
            },
            [&](const ports::OrderSend &Send) { order(From, Send); },
            [&](const ports::ReportRequest &Request) { report(From, Request); },
            [&](const ports::PeerSend &Send) { send(From, Send); },
            [&](const ports::PeerConnect &Connect) {
              connect(From, Connect.m_Peer);
            },
            [&](const ports::PeerDisconnect &Disconnect) {
              breakLink(From, Disconnect.m_Peer);
            },
            [&](const ports::VmListRequest &) {
              ports::VmListReceived Seen;
              for (const auto &Entry : m_VmList)
                Seen.m_Vms.push_back(Entry.second);
              post(Vm, Seen);
            },
            [&](const ports::ClaimVerdict &Verdict) {
              From.m_Verdicts.push_back(Verdict);
            },
            [&](const ports::RoutingTablePublished &Published) {
              From.m_Table = Published.m_Table;
            },
            [&](const ports::ReadinessChanged &Change) {
              From.m_WasReady = From.m_WasReady || Change.m_Ready;
            },
            [&](const ports::TrafficStop &) {
              post(Vm, ports::TrafficDrained());
            },
            [&](const ports::StopFinished &) { From.m_Stopped = true; },
            [&](const model::Decision &Line) {
              if (m_OnDecision)
                m_OnDecision(From.m_Info.m_Node, Line);
            },
            [](const auto &) {}},
        Each);
}

void ControlCluster::send(Node &From, const ports::PeerSend &Send) {
  Node *To = find(Send.m_To);
  if (!To || From.m_Links.count(Send.m_To) == 0 ||
      !m_Reachable(From.m_Info.m_Vm.str(), To->m_Info.m_Vm.str()))
    return;
  post(To->m_Info.m_Vm.str(),
       ports::PeerMessageReceived{From.m_Info.m_Node, Send.m_Message});
}

void ControlCluster::connect(Node &From, const model::NodeInfo &Peer) {
  for (auto &Entry : m_Nodes) {
    Node &To = Entry.second;
    // A paused process accepts a connection but never says Hello.
    if (To.m_Info.m_PeerAddress != Peer.m_PeerAddress || To.m_Paused ||
        !m_Reachable(From.m_Info.m_Vm.str(), Entry.first))
      continue;
    From.m_Links.insert(To.m_Info.m_Node);
    To.m_Links.insert(From.m_Info.m_Node);
    const std::string FromVm = From.m_Info.m_Vm.str();
    post(FromVm,
         ports::PeerLinkChanged{.m_Peer = To.m_Info.m_Node, .m_Up = true});
    post(Entry.first,
         ports::PeerLinkChanged{.m_Peer = From.m_Info.m_Node, .m_Up = true});
    // The first message on a link, in both directions.
    post(FromVm, ports::PeerMessageReceived{To.m_Info.m_Node,
                                            ports::Hello{1, To.m_Info, {}}});
    post(Entry.first,
         ports::PeerMessageReceived{From.m_Info.m_Node,
                                    ports::Hello{1, From.m_Info, {}}});
    return;
  }
  ports::PeerLinkChanged Refused{.m_Peer = Peer.m_Node, .m_Up = false};
  Refused.m_Vm = Peer.m_Vm;
  post(From.m_Info.m_Vm.str(), Refused);
}

void ControlCluster::breakLink(Node &From, const model::NodeId &Peer) {
  From.m_Links.erase(Peer);
  post(From.m_Info.m_Vm.str(), ports::PeerLinkChanged{.m_Peer = Peer});
  Node *To = find(Peer);
  if (!To || To->m_Links.erase(From.m_Info.m_Node) == 0)
    return;
  post(To->m_Info.m_Vm.str(),
       ports::PeerLinkChanged{.m_Peer = From.m_Info.m_Node});
}

void ControlCluster::order(Node &From, const ports::OrderSend &Send) {
  ++From.m_OrdersSent;
  const model::EndpointId &Name = Send.m_Order.m_Endpoint;
  model::OrderAnswer Answer{.m_Id = Send.m_Order.m_Id,
                            .m_Endpoint = Name,
                            .m_Status = model::OrderStatus::NotSent};
  if (m_DeadEngines.count(Name) == 0)
    Answer = m_Engines.at(Name).apply(Send.m_Order, m_Now);
  post(From.m_Info.m_Vm.str(), Answer, 2 * HopLatency);
}

void ControlCluster::report(Node &From, const ports::ReportRequest &Request) {
  const std::string Vm = From.m_Info.m_Vm.str();
  if (m_DeadEngines.count(Request.m_Endpoint) != 0)
    return post(Vm, ports::ReportFailed{Request.m_Endpoint, true},
                2 * HopLatency);
  fakes::FakeEngine &Engine = m_Engines.at(Request.m_Endpoint);
  Engine.advance(m_Now);
  post(Vm, Engine.report(m_Now), 2 * HopLatency);
}

void ControlCluster::step() {
  model::TimePoint Next = m_NextTick;
  if (!m_ScheduledEvents.empty())
    Next = std::min(Next, m_ScheduledEvents.begin()->first);
  m_Now = std::max(m_Now, Next);
  for (const fakes::FakeStore::DueAnswer &Answer : m_Store.takeDue(m_Now))
    if (Node *To = find(Answer.m_Caller))
      deliver(*To, Answer.m_Answer);
  while (!m_ScheduledEvents.empty() &&
         m_ScheduledEvents.begin()->first <= m_Now) {
    const ScheduledEvent First = m_ScheduledEvents.begin()->second;
    m_ScheduledEvents.erase(m_ScheduledEvents.begin());
    auto Found = m_Nodes.find(First.m_Vm);
    if (Found != m_Nodes.end() && Found->second.m_Info.m_Node == First.m_Node)
      deliver(Found->second, First.m_Event);
  }
  if (m_Now >= m_NextTick) {
    m_NextTick = m_Now + TickPeriod;
    for (auto &Entry : m_Engines)
      Entry.second.advance(m_Now);
    for (auto &Entry : m_Nodes)
      if (!Entry.second.m_Paused)
        deliver(Entry.second, ports::Tick());
  }
  m_Invariant();
}

void ControlCluster::runFor(model::Duration Span) {
  const model::TimePoint End = m_Now + Span;
  while (m_Now < End)
    step();
}

bool ControlCluster::runUntil(const std::function<bool()> &Done,
                              model::Duration Limit) {
  const model::TimePoint End = m_Now + Limit;
  while (m_Now < End) {
    if (Done())
      return true;
    step();
  }
  return Done();
}

bool ControlCluster::allServed() const {
  for (const model::ModelSpec &Model : m_Intent.m_Models)
    for (const model::VersionSpec &Version : Model.m_Versions) {
      const model::ArtifactId Artifact{Model.m_Name, Version.m_Version, {}};
      const bool Served = std::any_of(
          m_Engines.begin(), m_Engines.end(), [&](const auto &Entry) {
            return m_DeadEngines.count(Entry.first) == 0 &&
                   Entry.second.serves(Artifact);
          });
      if (!Served)
        return false;
    }
  return true;
}

bool ControlCluster::allReady() const {
  return std::all_of(m_Nodes.begin(), m_Nodes.end(), [](const auto &Entry) {
    return Entry.second.m_Core->isReady();
  });
}

bool ControlCluster::allInForce(model::Generation Wanted) const {
  return std::all_of(
      m_Nodes.begin(), m_Nodes.end(), [Wanted](const auto &Entry) {
        return Entry.second.m_Core->intent().generation() == Wanted;
      });
}

uint64_t ControlCluster::loadsStarted() const {
  uint64_t Total = 0;
  for (const auto &Entry : m_Engines)
    Total += Entry.second.m_LoadsStarted;
  return Total;
}

double ControlCluster::peakMemoryShare() const {
  double Peak = 0;
  for (const auto &Entry : m_Engines)
    Peak = std::max(Peak,
                    static_cast<double>(Entry.second.m_PeakBytes) /
                        static_cast<double>(Entry.second.m_Spec.m_MemoryBytes));
  return Peak;
}

} // namespace bronzepass::unit_tests::node
