#include "Core/Adapters/Daemon/EffectExecutor.h"

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

void EffectExecutor::carryOut(const ports::Effect &Which) {
  std::visit([this](const auto &Effect) { on(Effect); }, Which);
}

void EffectExecutor::on(const ports::StoreCall &Call) {
  m_Targets.m_Metrics.add(ports::Metric::StoreCalls, nameOf(Call.m_Verb), 1);
  m_Targets.m_Store.submit(Call);
}

void EffectExecutor::on(const ports::OrderSend &Send) {
  m_Targets.m_Metrics.add(ports::Metric::OrdersSent,
                          Send.m_Order.m_Endpoint.str(), 1);
  m_Targets.m_Engines.send(Send.m_Order, Send.m_Address);
}

void EffectExecutor::on(const ports::ReportRequest &Wanted) {
  m_Targets.m_Engines.requestReport(Wanted.m_Endpoint, Wanted.m_Address);
}

void EffectExecutor::on(const ports::PeerSend &Send) {
  m_Targets.m_Peers.send(Send.m_To, Send.m_Message);
}

void EffectExecutor::on(const ports::PeerConnect &Connect) {
  m_Targets.m_Peers.connect(Connect.m_Peer);
}

void EffectExecutor::on(const ports::PeerDisconnect &Disconnect) {
  m_Targets.m_Peers.disconnect(Disconnect.m_Peer);
}

void EffectExecutor::on(const ports::VmListRequest &) {
  m_Targets.m_VmList.refresh();
}

void EffectExecutor::on(const ports::ClaimVerdict &Verdict) {
  m_Targets.m_Traffic.post(Verdict);
}

void EffectExecutor::on(const ports::RoutingTablePublished &Published) {
  m_Targets.m_Metrics.set(
      ports::Metric::GenerationInForce, "",
      static_cast<double>(Published.m_Table->intent().m_Generation.m_Value));
  m_Targets.m_Traffic.setTable(Published.m_Table);
  m_Targets.m_CallerServer.setTable(Published.m_Table);
}

void EffectExecutor::on(const ports::PeerUsageUpdated &Seen) {
  m_Targets.m_Traffic.post(Seen);
}

void EffectExecutor::on(const ports::ReadinessChanged &Change) {
  m_Targets.m_Operators.setReady(Change.m_Ready, Change.m_Reason);
}

void EffectExecutor::on(const ports::TrafficStop &) {
  m_Targets.m_Traffic.post(routing::TrafficStopRequested());
}

void EffectExecutor::on(const ports::StopFinished &) {
  m_Targets.m_OnStopped();
}

void EffectExecutor::on(const model::Decision &Line) {
  m_Targets.m_Log.write(Line);
}

} // namespace bronzepass::core::adapters::daemon
