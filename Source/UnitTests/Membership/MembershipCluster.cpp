#include "UnitTests/Membership/MembershipCluster.h"

#include "Core/Membership/IntentParts.h"

#include <variant>

using namespace bronzepass::core;

namespace bronzepass::unit_tests::membership {

MembershipCluster::MembershipCluster() {
  m_Network.m_IsResponsive = [this](const model::VmId &Vm) {
    return node(Vm.str()).m_PausedUntil <= m_Now;
  };
}

MembershipCluster::Node &MembershipCluster::boot(const std::string &Vm,
                                                 const std::string &Domain,
                                                 const std::string &Region) {
  const uint64_t Number = ++m_Booted;
  const uint16_t Port = static_cast<uint16_t>(7000 + Number);
  const model::NodeInfo Info{
      .m_Node = model::NodeId(Vm + "-" + std::to_string(Number)),
      .m_Vm = model::VmId(Vm),
      .m_Domain = model::DomainId(Domain),
      .m_Region = model::RegionId(Region),
      .m_PeerAddress = {"10.0.0.1", Port},
      .m_Incarnation = static_cast<uint64_t>(m_Now.time_since_epoch().count())};
  m_VmList[Vm] = {.m_Vm = Info.m_Vm,
                  .m_Kind = model::VmKind::Entry,
                  .m_Domain = Info.m_Domain,
                  .m_Region = Info.m_Region,
                  .m_PeerAddress = Info.m_PeerAddress};
  m_Nodes[Vm].reset(new Node{Info, fakes::FixedRandom(Number)});
  Node &Booted = *m_Nodes[Vm];
  Booted.m_Core = std::make_unique<MembershipNode>(
      Info, m_Reader,
      [this, &Booted](ports::StoreCall Call) {
        Call.m_Id = {++Booted.m_LastCall};
        m_Store.submit(Booted.m_Info.m_Node, Call, m_Now);
        return Call.m_Id;
      },
      Booted.m_Random);
  m_Network.join(Info);
  ports::EffectList Effects;
  Booted.m_Core->start(m_Now, Effects);
  applyEffects(Booted, Effects);
  return Booted;
}

void MembershipCluster::kill(const std::string &Vm) {
  m_Network.leave(node(Vm).m_Info.m_Node, m_Now);
  m_Nodes.erase(Vm);
}

void MembershipCluster::pause(const std::string &Vm, model::Duration Span) {
  node(Vm).m_PausedUntil = m_Now + Span;
}

void MembershipCluster::apply(uint64_t Generation, const std::string &Text) {
  const model::NodeId Operator("operator");
  model::IntentDocument Document = core::membership::splitIntent(Text);
  for (const model::IntentPart &Part : Document.m_Parts)
    m_Store.submit(Operator,
                   {.m_Id = {++m_OperatorCalls},
                    .m_Verb = ports::StoreVerb::Create,
                    .m_Key = core::membership::intentPartKey(Part.m_Hash),
                    .m_Record = Part},
                   m_Now);
  Document.m_Head.m_Generation = {Generation};
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
}

void MembershipCluster::runFor(model::Duration Span) {
  const model::TimePoint End = m_Now + Span;
  while (m_Now < End) {
    m_Now += Step;
    for (fakes::FakeStore::DueAnswer &Due : m_Store.takeDue(m_Now)) {
      m_AlterAnswer(Due.m_Answer);
      deliver(Due.m_Caller, Due.m_Answer);
    }
    for (fakes::FakePeerNetwork::DueEvent &Due : m_Network.takeDue(m_Now))
      deliver(Due.m_To, Due.m_Event);
    for (auto &[Vm, Running] : m_Nodes) {
      if (Running->m_PausedUntil > m_Now)
        continue;
      while (!Running->m_PendingEvents.empty()) {
        const ports::Event Next = std::move(Running->m_PendingEvents.front());
        Running->m_PendingEvents.pop_front();
        handleEvent(Vm, Next);
      }
      if (m_Now.time_since_epoch() % TickPeriod == model::Duration(0))
        handleEvent(Vm, ports::Tick());
    }
  }
}

void MembershipCluster::deliver(const model::NodeId &To,
                                const ports::Event &Event) {
  for (auto &[Vm, Running] : m_Nodes)
    if (Running->m_Info.m_Node == To)
      Running->m_PendingEvents.push_back(Event);
}

void MembershipCluster::handleEvent(const std::string &Vm,
                                    const ports::Event &Event) {
  Node &On = node(Vm);
  ports::EffectList Effects;
  On.m_Core->handle(Event, m_Now, Effects);
  const uint64_t Generation = On.m_Core->intent().generation().m_Value;
  if (On.m_Generations.empty() || On.m_Generations.back() != Generation)
    On.m_Generations.push_back(Generation);
  applyEffects(On, Effects);
}

void MembershipCluster::applyEffects(Node &On, ports::EffectList &Effects) {
  for (const ports::Effect &Effect : Effects) {
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect))
      m_Network.send(On.m_Info, Send->m_To, Send->m_Message, m_Now);
    else if (const auto *Connect = std::get_if<ports::PeerConnect>(&Effect))
      m_Network.connect(On.m_Info, Connect->m_Peer.m_Vm, m_Now);
    else if (const auto *Cut = std::get_if<ports::PeerDisconnect>(&Effect))
      m_Network.breakLink(On.m_Info.m_Node, Cut->m_Peer, m_Now);
    else if (const auto *Line = std::get_if<model::Decision>(&Effect))
      On.m_Log.push_back(*Line);
    else if (std::holds_alternative<ports::VmListRequest>(Effect) &&
             !m_VmListDown) {
      ports::VmListReceived Seen;
      for (const auto &[Vm, State] : m_VmList)
        Seen.m_Vms.push_back(State);
      On.m_PendingEvents.push_back(std::move(Seen));
    }
  }
}

bool MembershipCluster::allAtGeneration(uint64_t Generation) const {
  return std::all_of(m_Nodes.begin(), m_Nodes.end(), [&](const auto &Entry) {
    return Entry.second->m_Core->intent().generation().m_Value == Generation;
  });
}

bool MembershipCluster::allAgree() const {
  for (const auto &[Vm, Running] : m_Nodes) {
    std::vector<std::string> Live;
    for (const model::NodeInfo &Info :
         Running->m_Core->view().members().present())
      if (Info.m_Liveness == model::Liveness::Live)
        Live.push_back(Info.m_Vm.str());
    std::vector<std::string> Expected;
    for (const auto &[Other, Unused] : m_Nodes)
      Expected.push_back(Other);
    if (Live != Expected)
      return false;
  }
  return true;
}

} // namespace bronzepass::unit_tests::membership
