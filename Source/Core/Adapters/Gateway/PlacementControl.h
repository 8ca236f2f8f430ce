#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/StoreClient.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/PlacementCandidates.h"
#include "Core/Leases/LeaseManager.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Ports/Ports.h"
#include "Core/Residency/ResidencyCore.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Receives lease and copy changes, on the control thread.
class PlacementEvents {
public:
  virtual ~PlacementEvents() = default;
  /// The lease was gained, renewed or lost.
  virtual void onLeaseChanged(const std::optional<model::HeldLease> &Held) = 0;
  virtual void
  onCopiesChanged(const std::vector<core::gateway::CopyChange> &) = 0;
};

/// Competes for the placement lease in the platform's store, and while this
/// node holds it, executes the decisions of the residency core.
class PlacementControl {
public:
  struct Options {
    model::NodeId m_Self;
    leases::LeaseSettings m_Lease;
    residency::ResidencySettings m_Residency;
  };

  /// All arguments except \p Values must outlive this object.
  PlacementControl(const Options &Values, const core::gateway::Dialect &Dialect,
                   StoreClient &Store, ControlCalls &Calls,
                   net::EventLoop &Loop, const ports::Clock &Clock,
                   ports::Random &Random, GatewayLog &Log,
                   PlacementEvents &Events);

  /// Call about every 20 ms.
  void tick();
  void setTable(std::shared_ptr<const core::gateway::RouteTable> Table);
  void setEndpoints(const std::vector<core::gateway::EndpointEntry> &Entries);
  void onDemandReport(const model::NodeId &Node, uint64_t Start,
                      const std::vector<core::gateway::UsageCounter> &Counters);
  void onCopyRequest(const core::gateway::CopyRequest &Request);
  void onStatementChange(const core::gateway::StatementChange &Change);
  void onPauseBegun(const core::gateway::PauseBegun &Pause);
  /// Sets all registered nodes.
  void setNodes(const std::vector<core::gateway::NodeEntry> &Nodes);
  /// Sets the nodes that are heard. The first candidate by DutyRank is the
  /// preferred lease holder.
  void onLivePeers(const core::gateway::LivePeers &Peers);
  /// Takes the store's era. If it has changed, the store was restored from a
  /// backup, and this node stops placing models until it gets the lease anew.
  void onStoreEra(model::StoreEra Era);
  /// Starts releasing the lease; isStopped() is true once it is released.
  void stop();
  bool isStopped() const { return m_Stopping && m_LeaseManager.isStopped(); }

private:
  void submit(const ports::EffectList &Effects);
  void handleStoreAnswer(const ports::StoreAnswer &Answer);
  /// Logs a new rank, at most one each two seconds.
  void logRank(uint32_t Rank, size_t Heard);
  void logLeaseChanges(const std::vector<leases::LeaseNotice> &Notices);
  void updateLease();
  void
  decide(const std::function<void(residency::ResidencyCore &, model::TimePoint,
                                  residency::ResidencyEffectList &)> &Decide);
  void on(const residency::SendOrder &Effect);
  void on(const residency::RequestReport &Effect);
  void on(const residency::AnnounceCopies &Effect);
  void on(const residency::TokenRefused &Effect);
  void on(const residency::ResidencyLogEntry &Effect);

  const Options m_Options;
  const core::gateway::Dialect &m_Dialect;
  StoreClient &m_Store;
  ControlCalls &m_Calls;
  net::EventLoop &m_Loop;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  PlacementEvents &m_Events;
  leases::StoreGovernor m_Governor;
  leases::LeaseManager m_LeaseManager;
  core::gateway::PlacementCandidates m_Candidates;
  residency::ResidencyCore m_Residency;
  std::optional<model::HeldLease> m_Held;
  bool m_Stopping = false;
  std::optional<model::TimePoint> m_SuspendedUntil;
  std::optional<uint32_t> m_LoggedRank;
  model::TimePoint m_RankLoggedAt;
  /// When a holder of the lease was last heard; at first, this node's start.
  model::TimePoint m_HolderHeardAt;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H
