#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Leases/LeaseManager.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Ports/Ports.h"
#include "Core/Residency/ResidencyCore.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Gets what the lease holder decides, on the control thread.
class PlacementEvents {
public:
  virtual ~PlacementEvents() = default;
  virtual void holdsLease(bool Holds) = 0;
  virtual void
  copiesChanged(const std::vector<core::gateway::CopyChange> &) = 0;
};

/// Tries for the placement lease in the platform's store, and while this node
/// holds it carries out what the residency core decides.
class PlacementControl {
public:
  struct Options {
    model::Address m_Store;
    model::NodeId m_Self;
    leases::LeaseSettings m_Lease;
    residency::ResidencySettings m_Residency;
  };

  /// All but \p Values outlive it.
  PlacementControl(const Options &Values, const core::gateway::Dialect &Dialect,
                   ControlCalls &Calls, net::EventLoop &Loop,
                   const ports::Clock &Clock, ports::Random &Dice,
                   GatewayLog &Log, PlacementEvents &Events);

  /// Every 20 ms or so.
  void tick();
  void setTable(std::shared_ptr<const core::gateway::RouteTable> Table);
  void setEndpoints(const std::vector<core::gateway::EndpointEntry> &Entries);
  void demandSeen(const model::NodeId &Node, uint64_t Start,
                  const std::vector<core::gateway::UsageCounter> &Uses);
  void copyWanted(const core::gateway::CopyRequest &Wanted);
  /// The nodes that live: of them and this one the first by rendezvous order
  /// is to hold the lease.
  void peersHeard(const std::vector<model::NodeId> &Nodes);
  /// Gives the lease back; isStopped() once it is.
  void stop();
  bool isStopped() const { return m_Stopping && m_Keeper.isStopped(); }

private:
  void submit(const ports::EffectList &Effects);
  void takeStoreAnswer(const ports::StoreAnswer &Answer);
  void noteLease(const std::vector<leases::LeaseNotice> &Notices);
  void syncLease();
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
  ControlCalls &m_Calls;
  net::EventLoop &m_Loop;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  PlacementEvents &m_Events;
  leases::StoreGovernor m_Governor;
  leases::LeaseManager m_Keeper;
  residency::ResidencyCore m_Residency;
  bool m_HoldsLease = false;
  bool m_Stopping = false;
  std::optional<model::TimePoint> m_SuspendedUntil;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PLACEMENTCONTROL_H
