#include "Core/Node/ControlCore.h"

#include "Core/Routing/RoutingTable.h"

#include <algorithm>
#include <variant>

namespace bronzepass::core::node {

ControlCore::ControlCore(const NodeConfig &Config, ports::Random &Random,
                         const ports::IntentReader &Reader)
    : m_Config(Config), m_Governor(Config.m_Governor, Random),
      m_View(Config.m_Self, Random),
      m_Intent(
          Reader,
          [this](ports::StoreCall Call) {
            return submit(leases::StoreClient::Intent, std::move(Call));
          },
          Random),
      m_Leases(Config.m_Leases, Config.m_Self.m_Node, m_Governor, Random),
      m_Claims(Config.m_Claims, Config.m_Self.m_Node, m_Governor, Random),
      m_Placement(
          Config.m_Self.m_Node,
          [this](ports::StoreCall Call) {
            return submit(leases::StoreClient::Placement, std::move(Call));
          },
          Config.m_Placement),
      m_Gossip(m_Residency), m_Poller(Config.m_ReportPeriod),
      m_TrafficReporter(m_View, Config.m_DemandReportPeriod),
      m_LeaseFencing(m_View, m_Placement) {}

model::CallId ControlCore::submit(leases::StoreClient Client,
                                  ports::StoreCall Call) {
  return m_Governor.submit(Client, std::move(Call), m_Now, *m_Out);
}

void ControlCore::start(model::TimePoint Now, ports::EffectList &Out) {
  m_Now = Now;
  m_Out = &Out;
  m_View.start(Now, Out);
  m_Intent.start(Now, Out);
  setReady(false, "no configuration yet");
}

void ControlCore::handle(const ports::Event &Incoming, model::TimePoint Now,
                         ports::EffectList &Out) {
  m_Now = Now;
  m_Out = &Out;
  const size_t Before = Out.size();
  m_View.detectPause(Now, Out);
  std::visit([this](const auto &Event) { on(Event); }, Incoming);
  applyIntent();
  applyMembership();
  applyEndpointStates();
  publishTable();
  updateReadiness();
  advanceShutdown();
  requestClaimLinks(Before);
}

void ControlCore::requestClaimLinks(size_t From) {
  // Without a link the message is lost, and is sent again once there is one.
  for (size_t I = From; I < m_Out->size(); ++I) {
    const auto *Send = std::get_if<ports::PeerSend>(&(*m_Out)[I]);
    if (Send == nullptr)
      continue;
    const ports::PeerMessage &Message = Send->m_Message;
    if (std::holds_alternative<ports::ClaimRequest>(Message) ||
        std::holds_alternative<ports::ClaimReply>(Message) ||
        std::holds_alternative<ports::ClaimOutcome>(Message))
      m_View.requestLink(Send->m_To, m_Now);
  }
}

void ControlCore::on(const ports::Tick &) {
  for (const leases::RoutedAnswer &Each : m_Governor.tick(m_Now, *m_Out))
    routeAnswer(Each);
  m_View.tick(m_Now, *m_Out);
  m_Intent.tick(m_Now, *m_Out);
  handleLeaseNotices(m_Leases.tick(m_Now, *m_Out));
  m_Claims.tick(m_Now, *m_Out);
  tickPlacement();
  m_LeaseFencing.tick(m_Now, *m_Out);
  updateDrainingCopies();
  m_Gossip.setNeighbours(m_View.neighbours());
  m_Gossip.tick(m_Now, *m_Out);
  m_Poller.tick(m_Now, *m_Out);
  if (!m_Intent.inForce())
    return;
  const std::vector<model::DemandSample> OwnDemand =
      m_TrafficReporter.tick(*m_Intent.inForce(), m_Now, *m_Out);
  if (!OwnDemand.empty())
    m_Placement.demandReceived(OwnDemand, m_Now);
}

void ControlCore::on(const ports::StoreAnswer &Answer) {
  const std::optional<leases::RoutedAnswer> Routed =
      m_Governor.onAnswer(Answer, m_Now, *m_Out);
  if (Routed)
    routeAnswer(*Routed);
}

void ControlCore::routeAnswer(const leases::RoutedAnswer &Routed) {
  switch (Routed.m_Client) {
  case leases::StoreClient::Intent:
    m_Intent.onStoreAnswer(Routed.m_Answer, m_Now, *m_Out);
    return;
  case leases::StoreClient::Placement:
    m_Placement.storeAnswered(Routed.m_Answer, m_Now, *m_Out);
    return;
  case leases::StoreClient::Leases:
    handleLeaseNotices(m_Leases.onStoreAnswer(Routed.m_Answer, m_Now, *m_Out));
    return;
  case leases::StoreClient::Claims:
    m_Claims.onStoreAnswer(Routed.m_Answer, m_Now, *m_Out);
    return;
  case leases::StoreClient::Status:
    return;
  }
}

void ControlCore::on(const model::EngineReport &Report) {
  m_Poller.onAnswer(Report.m_Endpoint);
  handleReport(Report, nullptr);
}

void ControlCore::handleReport(const model::EngineReport &Report,
                               const model::NodeId *From) {
  const ResidencyTable::UpdateResult Result = m_Residency.update(Report);
  if (Result == ResidencyTable::UpdateResult::Stale)
    return;
  m_View.onReport(Report, m_Now);
  m_Placement.reportReceived(Report, m_Now, *m_Out);
  const bool Changed = Result == ResidencyTable::UpdateResult::Changed;
  m_Gossip.onReportStored(Report.m_Endpoint, Changed, From);
  m_TableDirty = m_TableDirty || Changed;
}

void ControlCore::on(const ports::ReportFailed &Failure) {
  m_Poller.onAnswer(Failure.m_Endpoint);
  m_View.onReportFailed(Failure, m_Now);
  m_Placement.reportMissed(Failure, m_Now, *m_Out);
}

void ControlCore::on(const ports::EndpointObserved &Observed) {
  m_View.onEndpointObserved(Observed, m_Now);
}

void ControlCore::on(const model::OrderAnswer &Answer) {
  m_Placement.orderAnswered(Answer, m_Now, *m_Out);
}

void ControlCore::on(const ports::PeerMessageReceived &Received) {
  m_View.onPeerMessage(Received, m_Now, *m_Out);
  m_Intent.onPeerMessage(Received, m_Now, *m_Out);
  const model::NodeId &From = Received.m_From;
  const ports::PeerMessage &Message = Received.m_Message;
  if (const auto *ResidencyReply = std::get_if<ports::ResidencyReply>(&Message))
    for (const model::EngineReport &Report : ResidencyReply->m_Reports)
      handleReport(Report, &From);
  else if (const auto *Offer = std::get_if<ports::ResidencyOffer>(&Message))
    m_Gossip.onOffer(From, *Offer, m_Now, *m_Out);
  else if (const auto *ResidencyRequest =
               std::get_if<ports::ResidencyRequest>(&Message))
    m_Gossip.onReportRequest(From, *ResidencyRequest, *m_Out);
  else if (const auto *Demand = std::get_if<ports::DemandReport>(&Message))
    m_Placement.demandReceived(Demand->m_Samples, m_Now);
  else if (const auto *Usage = std::get_if<ports::UsageReport>(&Message))
    m_TrafficReporter.onUsageReport(From, *Usage, m_Now, *m_Out);
  else if (const auto *ClaimRequest =
               std::get_if<ports::ClaimRequest>(&Message))
    m_Claims.onClaimRequest(From, *ClaimRequest, m_Now, *m_Out);
  else if (const auto *Reply = std::get_if<ports::ClaimReply>(&Message))
    m_Claims.onClaimReply(From, *Reply, m_Now, *m_Out);
  else if (const auto *Outcome = std::get_if<ports::ClaimOutcome>(&Message))
    m_Claims.onClaimOutcome(From, *Outcome, m_Now, *m_Out);
  else if (const auto *Fence = std::get_if<ports::FenceRequest>(&Message))
    m_LeaseFencing.onFenceRequest(From, *Fence,
                                  m_Leases.find(Fence->m_Lease, m_Now), *m_Out);
  else if (const auto *Ack = std::get_if<ports::FenceAck>(&Message))
    m_LeaseFencing.onFenceAck(From, *Ack, m_Now, *m_Out);
}

void ControlCore::on(const ports::PeerLinkChanged &Change) {
  m_View.onPeerLinkChanged(Change, m_Now, *m_Out);
  m_Intent.onPeerLinkChanged(Change, m_Now, *m_Out);
  m_Gossip.forget(Change.m_Peer);
}

void ControlCore::on(const ports::VmListReceived &List) {
  m_View.onVmList(List, m_Now, *m_Out);
  m_LeaseFencing.onVmList(List);
}

void ControlCore::on(const ports::ClaimRequested &Request) {
  m_Claims.onClaimRequested(Request, m_Now, *m_Out);
}

void ControlCore::on(const ports::ClaimEnded &Ended) {
  m_Claims.onClaimEnded(Ended, m_Now, *m_Out);
}

void ControlCore::handleLeaseNotices(
    const std::vector<leases::LeaseNotice> &Notices) {
  for (const leases::LeaseNotice &Each : Notices) {
    if (Each.m_Change == leases::LeaseChange::Lost)
      m_Placement.leaseLost(Each.m_Lease.m_Name);
    else if (!m_LeaseFencing.isFenced(Each.m_Lease))
      m_Placement.leaseHeld(Each.m_Lease, m_Now, *m_Out);
  }
  if (!Notices.empty())
    updatePolledEngines();
}

void ControlCore::tickPlacement() {
  // A node that was paused does not act until its peers see it as live again.
  if (!m_View.mayAct())
    return;
  for (const model::HeldLease &Lease : m_Leases.held(m_Now))
    if (!m_LeaseFencing.isFenced(Lease))
      m_Placement.leaseHeld(Lease, m_Now, *m_Out);
  m_Placement.tick(m_Now, *m_Out);
}

std::vector<model::HeldLease> ControlCore::heldLeases() const {
  return m_Leases.held(m_Now);
}

void ControlCore::on(const ports::TrafficReport &Report) {
  if (m_Intent.inForce())
    m_TrafficReporter.onTrafficReport(Report, *m_Intent.inForce(), m_Now,
                                      *m_Out);
}

void ControlCore::applyIntent() {
  if (m_Intent.generation() == m_AppliedGeneration || !m_Intent.inForce())
    return;
  m_AppliedGeneration = m_Intent.generation();
  const std::shared_ptr<const model::Intent> Value = m_Intent.inForce();
  m_View.setIntent(*Value, m_Now);
  std::set<model::EndpointId> Declared;
  for (const model::PoolSpec &Pool : Value->m_Pools)
    for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints)
      Declared.insert(Endpoint.m_Name);
  m_Residency.keepOnly(Declared);
  m_Placement.intentChanged(Value, m_Now, *m_Out);
  updateLeaseDuties();
  updatePolledEngines();
  m_TableDirty = true;
}

void ControlCore::applyMembership() {
  if (m_AppliedDutiesVersion != m_View.dutiesVersion()) {
    m_AppliedDutiesVersion = m_View.dutiesVersion();
    bool IsWatcher = false;
    for (const model::NodeId &Node :
         m_View.duties().watchersOf(m_View.self().m_Domain))
      IsWatcher = IsWatcher || Node == m_View.self().m_Node;
    m_Intent.setWatching(IsWatcher);
    std::vector<model::NodeId> Nodes;
    for (const model::NodeInfo &Node : m_View.duties().nodes())
      Nodes.push_back(Node.m_Node);
    m_Claims.setNodes(Nodes, m_Now, *m_Out);
    updateLeaseDuties();
    updatePolledEngines();
  }
  if (m_AppliedMembersVersion != m_View.members().version()) {
    m_AppliedMembersVersion = m_View.members().version();
    updateLeaseDuties();
    m_TableDirty = true;
  }
}

void ControlCore::applyEndpointStates() {
  if (m_AppliedEndpointsVersion != m_View.endpoints().version()) {
    m_AppliedEndpointsVersion = m_View.endpoints().version();
    for (const model::EndpointState &State : m_View.endpoints().states())
      m_Placement.livenessChanged(State, m_Now, *m_Out);
    m_TableDirty = true;
  }
}

void ControlCore::updateDrainingCopies() {
  const std::vector<model::Copy> Draining = m_Placement.drainingCopies();
  if (Draining != m_DrainingCopies) {
    m_DrainingCopies = Draining;
    m_TableDirty = true;
  }
}

void ControlCore::updateLeaseDuties() {
  if (!m_Intent.inForce() || m_StopPhase != StopPhase::Running)
    return;
  // Only live nodes are candidates for leases. A suspected node keeps its other
  // duties, but a lease for which it ranks first would stay unused.
  std::vector<model::NodeInfo> Live;
  for (const model::NodeInfo &Node : m_View.duties().nodes()) {
    const membership::MemberTable::Member *Member =
        m_View.members().find(Node.m_Vm);
    if (Member && Member->m_Info.m_Liveness == model::Liveness::Live)
      Live.push_back(Node);
  }
  const membership::DutyAssignment Preferences(std::move(Live));
  std::vector<leases::LeaseCandidacy> Candidacies;
  for (const model::PoolSpec &Pool : m_Intent.inForce()->m_Pools) {
    if (Pool.m_Kind != model::PoolKind::Engine)
      continue;
    const model::LeaseName Lease = placement::poolLease(Pool.m_Name);
    const size_t Rank = Preferences.preferenceRank(Lease, m_View.self().m_Node);
    Candidacies.push_back({Lease, static_cast<uint32_t>(Rank)});
  }
  m_Leases.setCandidacies(Candidacies, m_Now, *m_Out);
}

void ControlCore::updatePolledEngines() {
  if (!m_Intent.inForce())
    return;
  std::map<model::EndpointId, model::Address> Engines;
  for (const model::PoolSpec &Pool : m_Intent.inForce()->m_Pools) {
    if (Pool.m_Kind != model::PoolKind::Engine)
      continue;
    // The node that places the pool polls its engines itself, because placement
    // decides by their reports.
    const bool IsPlacer =
        m_Leases.find(placement::poolLease(Pool.m_Name), m_Now).has_value();
    for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints) {
      const std::vector<model::NodeId> Pollers =
          m_View.duties().pollersOf(Endpoint);
      if (IsPlacer || std::find(Pollers.begin(), Pollers.end(),
                                m_View.self().m_Node) != Pollers.end())
        Engines.emplace(Endpoint.m_Name, Endpoint.m_Address);
    }
  }
  m_Poller.setEngines(Engines, m_Now);
}

void ControlCore::publishTable() {
  if (!m_TableDirty || !m_Intent.inForce())
    return;
  if (m_TablePublishedAt &&
      m_Now < *m_TablePublishedAt + m_Config.m_MinTableInterval)
    return;
  routing::RoutingInputs Inputs{.m_Intent = m_Intent.inForce(),
                                .m_Copies =
                                    m_Residency.copies(m_DrainingCopies),
                                .m_Self = m_View.self(),
                                .m_Settings = m_Config.m_Table};
  for (const model::EndpointState &State : m_View.endpoints().states())
    if (State.m_Liveness != model::Liveness::Live)
      Inputs.m_EndpointStates.push_back(State);
  Inputs.m_Nodes = m_View.members().present();
  m_Table = routing::RoutingTable::build(Inputs, m_Table.get());
  m_TablePublishedAt = m_Now;
  m_TableDirty = false;
  m_Out->push_back(ports::RoutingTablePublished{m_Table});
}

} // namespace bronzepass::core::node
