#ifndef BRONZEPASS_CORE_NODE_CONTROLCORE_H
#define BRONZEPASS_CORE_NODE_CONTROLCORE_H

#include "Core/Claims/ClaimShards.h"
#include "Core/Leases/LeaseKeeper.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Membership/IntentReplicator.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Node/LeaseFencing.h"
#include "Core/Node/NodeConfig.h"
#include "Core/Node/ReportPoller.h"
#include "Core/Node/ResidencyTable.h"
#include "Core/Node/ResidencyGossip.h"
#include "Core/Node/TrafficReporter.h"
#include "Core/Placement/PlacementCore.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::node {

/// One node's control: membership, configuration, leases, claims, placement and
/// the routing table, composed. A deterministic state machine: time, randomness
/// and every message come in as typed events, and what is to be done comes out
/// as typed effects, in order. Nothing here reads a clock, a socket or a
/// thread, so that many nodes can live in one process under virtual time, and
/// a node can be driven from outside one event at a time.
class ControlCore {
public:
  /// \p Random and \p Reader outlive the core.
  ControlCore(const NodeConfig &Config, ports::Random &Random,
              const ports::IntentReader &Reader);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Once, before the first event.
  void start(model::TimePoint Now, ports::EffectList &Out);

  /// Takes one event at \p Now, which never runs backwards, and appends what
  /// is to be done to \p Out. A Tick is due at least every 50 ms.
  void handle(const ports::Event &Incoming, model::TimePoint Now,
              ports::EffectList &Out);

  const membership::MembershipView &view() const { return m_View; }
  const membership::IntentReplicator &intent() const { return m_Intent; }
  const placement::PlacementCore &placement() const { return m_Placement; }
  const ResidencyTable &residency() const { return m_Residency; }
  const leases::StoreGovernor &governor() const { return m_Governor; }
  /// The leases that this node may act on now.
  std::vector<model::HeldLease> heldLeases() const;
  const claims::ClaimShards &claims() const { return m_Claims; }
  bool isReady() const { return m_Ready; }
  const std::string &readinessReason() const { return m_ReadinessReason; }

private:
  void on(const ports::Tick &);
  void on(const ports::StoreAnswer &Answer);
  void on(const model::EngineReport &Report);
  void on(const ports::ReportFailed &Missed);
  void on(const ports::EndpointObserved &Seen);
  void on(const model::OrderAnswer &Answer);
  void on(const ports::PeerMessageReceived &Received);
  void on(const ports::PeerLinkChanged &Change);
  void on(const ports::VmListReceived &Seen);
  void on(const ports::ClaimRequested &Wanted);
  void on(const ports::ClaimEnded &Ended);
  void on(const ports::TrafficReport &Seen);
  void on(const ports::StopRequested &);
  void on(const ports::TrafficDrained &);

  void routeAnswer(const leases::RoutedAnswer &Routed);
  void takeReport(const model::EngineReport &Report, const model::NodeId *From);
  model::CallId submit(leases::StoreClient Client, ports::StoreCall Call);

  void takeNotices(const std::vector<leases::LeaseNotice> &Notices);
  void renewPlacement();
  void followIntent();
  void followDuties();
  /// Asks for links to those whom claim messages go to, in the effects from
  /// \p From on.
  void wantClaimLinks(size_t From);
  void followEndpoints();
  void followDraining();
  void refreshLeaseDuties();
  void refreshPolls();
  void publishTable();
  void judgeReadiness();
  void setReady(bool Ready, const std::string &Reason);
  void advanceStop();

  const NodeConfig m_Config;
  leases::StoreGovernor m_Governor;
  membership::MembershipView m_View;
  membership::IntentReplicator m_Intent;
  leases::LeaseKeeper m_Leases;
  claims::ClaimShards m_Claims;
  placement::PlacementCore m_Placement;
  ResidencyTable m_Residency;
  ResidencyGossip m_Relay;
  ReportPoller m_Poller;
  TrafficReporter m_Shares;
  LeaseFencing m_Fences;

  // Valid during handle().
  model::TimePoint m_Now;
  ports::EffectList *m_Out = nullptr;

  // What the rest was last brought in line with.
  model::Generation m_SeenGeneration;
  std::optional<uint64_t> m_SeenDuties;
  std::optional<uint64_t> m_SeenEndpoints;
  std::optional<uint64_t> m_SeenMembers;
  std::vector<model::Copy> m_SeenDraining;
  bool m_TableDirty = false;
  std::optional<model::TimePoint> m_TableAt;
  std::shared_ptr<const routing::RoutingTable> m_Table;

  bool m_Ready = false;
  std::string m_ReadinessReason;
  enum class StopPhase { Running, LameDuck, Draining, HandingOver, Stopped };
  StopPhase m_Stop = StopPhase::Running;
  model::TimePoint m_StopPhaseEnds;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_CONTROLCORE_H
