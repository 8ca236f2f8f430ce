#ifndef BRONZEPASS_CORE_NODE_CONTROLCORE_H
#define BRONZEPASS_CORE_NODE_CONTROLCORE_H

#include "Core/Claims/ClaimShards.h"
#include "Core/Leases/LeaseManager.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Membership/IntentReplicator.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Node/LeaseFencing.h"
#include "Core/Node/NodeConfig.h"
#include "Core/Node/ReportPoller.h"
#include "Core/Node/ResidencyGossip.h"
#include "Core/Node/ResidencyTable.h"
#include "Core/Node/TrafficReporter.h"
#include "Core/Placement/PlacementCore.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::node {

/// The control plane of one node: membership, configuration, leases, claims,
/// placement and the routing table. A deterministic state machine: time,
/// randomness and messages are inputs, and actions are returned as effects, in
/// order. It uses no clock, socket or thread, so that many nodes can run in one
/// process under virtual time, and a caller can drive a node event by event.
class ControlCore {
public:
  /// \p Random and \p Reader outlive the core.
  ControlCore(const NodeConfig &Config, ports::Random &Random,
              const ports::IntentReader &Reader);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Call once, before the first event.
  void start(model::TimePoint Now, ports::EffectList &Out);

  /// Handles one event and appends the resulting effects to \p Out. \p Now
  /// never decreases. A Tick must come at least every 50 ms.
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
  void on(const ports::ReportFailed &Failure);
  void on(const ports::EndpointObserved &Observed);
  void on(const model::OrderAnswer &Answer);
  void on(const ports::PeerMessageReceived &Received);
  void on(const ports::PeerLinkChanged &Change);
  void on(const ports::VmListReceived &List);
  void on(const ports::ClaimRequested &Request);
  void on(const ports::ClaimEnded &Ended);
  void on(const ports::TrafficReport &Report);
  void on(const ports::StopRequested &);
  void on(const ports::TrafficDrained &);

  void routeAnswer(const leases::RoutedAnswer &Routed);
  void handleReport(const model::EngineReport &Report,
                    const model::NodeId *From);
  model::CallId submit(leases::StoreClient Client, ports::StoreCall Call);

  void handleLeaseNotices(const std::vector<leases::LeaseNotice> &Notices);
  void tickPlacement();
  void applyIntent();
  void applyMembership();
  /// Requests links to the receivers of the claim messages among the effects
  /// from index \p From on.
  void requestClaimLinks(size_t From);
  void applyEndpointStates();
  void updateDrainingCopies();
  void updateLeaseDuties();
  void updatePolledEngines();
  void publishTable();
  void updateReadiness();
  void setReady(bool Ready, const std::string &Reason);
  void advanceShutdown();

  const NodeConfig m_Config;
  leases::StoreGovernor m_Governor;
  membership::MembershipView m_View;
  membership::IntentReplicator m_Intent;
  leases::LeaseManager m_Leases;
  claims::ClaimShards m_Claims;
  placement::PlacementCore m_Placement;
  ResidencyTable m_Residency;
  ResidencyGossip m_Gossip;
  ReportPoller m_Poller;
  TrafficReporter m_TrafficReporter;
  LeaseFencing m_LeaseFencing;

  // Valid during handle().
  model::TimePoint m_Now;
  ports::EffectList *m_Out = nullptr;

  // The state that was last passed on to the other components.
  model::Generation m_AppliedGeneration;
  std::optional<uint64_t> m_AppliedDutiesVersion;
  std::optional<uint64_t> m_AppliedEndpointsVersion;
  std::optional<uint64_t> m_AppliedMembersVersion;
  std::vector<model::Copy> m_DrainingCopies;
  bool m_TableDirty = false;
  std::optional<model::TimePoint> m_TablePublishedAt;
  std::shared_ptr<const routing::RoutingTable> m_Table;

  bool m_Ready = false;
  std::string m_ReadinessReason;
  enum class StopPhase { Running, LameDuck, Draining, HandingOver, Stopped };
  StopPhase m_StopPhase = StopPhase::Running;
  model::TimePoint m_StopPhaseEndsAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_CONTROLCORE_H
