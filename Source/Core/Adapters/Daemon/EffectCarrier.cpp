#include "Core/Adapters/Daemon/EffectCarrier.h"

#include "Core/Routing/RoutingTable.h"

#include <variant>

namespace bronzepass::core::adapters::daemon {

namespace {

const char *nameOf(ports::StoreVerb Verb) {
  switch (Verb) {
  case ports::StoreVerb::Get:
    return "get";
  case ports::StoreVerb::List:
    return "list";
  case ports::StoreVerb::Create:
    return "create";
  case ports::StoreVerb::Update:
    return "update";
  case ports::StoreVerb::Delete:
    return "delete";
  case ports::StoreVerb::Watch:
    return "watch";
  }
  return "get";
}

} // namespace

void EffectCarrier::carryOut(const ports::Effect &Which) {
  std::visit([this](const auto &Effect) { on(Effect); }, Which);
}

void EffectCarrier::on(const ports::StoreCall &Call) {
  m_Targets.m_Metrics.add(ports::Metric::StoreCalls, nameOf(Call.m_Verb), 1);
  m_Targets.m_Store.submit(Call);
}

void EffectCarrier::on(const ports::OrderSend &Send) {
  m_Targets.m_Metrics.add(ports::Metric::OrdersSent,
                          Send.m_Order.m_Endpoint.str(), 1);
  m_Targets.m_Engines.send(Send.m_Order, Send.m_Address);
}

void EffectCarrier::on(const ports::ReportRequest &Wanted) {
  m_Targets.m_Engines.requestReport(Wanted.m_Endpoint, Wanted.m_Address);
}

void EffectCarrier::on(const ports::PeerSend &Send) {
  m_Targets.m_Peers.send(Send.m_To, Send.m_Message);
}

void EffectCarrier::on(const ports::PeerConnect &Connect) {
  m_Targets.m_Peers.connect(Connect.m_Peer);
}

void EffectCarrier::on(const ports::PeerDisconnect &Disconnect) {
  m_Targets.m_Peers.disconnect(Disconnect.m_Peer);
}

void EffectCarrier::on(const ports::VmListRequest &) {
  m_Targets.m_VmList.refresh();
}

void EffectCarrier::on(const ports::ClaimVerdict &Verdict) {
  m_Targets.m_Traffic.post(Verdict);
}

void EffectCarrier::on(const ports::RoutingTablePublished &Published) {
  m_Targets.m_Metrics.set(
      ports::Metric::GenerationInForce, "",
      static_cast<double>(Published.m_Table->intent().m_Generation.m_Value));
  m_Targets.m_Traffic.setTable(Published.m_Table);
  m_Targets.m_Front.setTable(Published.m_Table);
}

void EffectCarrier::on(const ports::PeerUsageUpdated &Seen) {
  m_Targets.m_Traffic.post(Seen);
}

void EffectCarrier::on(const ports::ReadinessChanged &Change) {
  m_Targets.m_Operators.setReady(Change.m_Ready, Change.m_Reason);
}

void EffectCarrier::on(const ports::TrafficStop &) {
  m_Targets.m_Traffic.post(routing::TrafficStopRequested());
}

void EffectCarrier::on(const ports::StopFinished &) { m_Targets.m_OnStopped(); }

void EffectCarrier::on(const model::Decision &Line) {
  m_Targets.m_Log.write(Line);
}

} // namespace bronzepass::core::adapters::daemon
