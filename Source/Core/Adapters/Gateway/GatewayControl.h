#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Adapters/Gateway/PlacementControl.h"
#include "Core/Adapters/Gateway/StoreFeeds.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Ports/Ports.h"

#include <functional>
#include <memory>
#include <vector>

namespace bronzepass::core::adapters::gateway {

struct ControlOptions {
  model::Address m_Store;
  core::gateway::NodeEntry m_Self;
  leases::LeaseSettings m_Lease;
  residency::ResidencySettings m_Residency;
};

/// The control thread of a node: follows the platform's store, tries for the
/// placement lease, and places models while it holds it. Hands to the traffic
/// thread what it has to know, and takes from it what was asked for.
class GatewayControl : public TrafficEvents,
                       private StoreEvents,
                       private PlacementEvents {
public:
  /// \p Dialect, \p Clock and \p Log outlive it.
  GatewayControl(const ControlOptions &Options,
                 const core::gateway::Dialect &Dialect,
                 const ports::Clock &Clock, GatewayLog &Log);
  ~GatewayControl() override;

  /// \p Traffic outlives the thread.
  void start(GatewayTraffic &Traffic);
  void join() { m_Thread.stop(); }
  /// Gives the lease back and takes this node's entry out; calls \p OnStopped.
  void stop(std::function<void()> OnStopped);

  void demandSeen(const model::NodeId &Node, uint64_t Start,
                  std::vector<core::gateway::UsageCounter> Uses) override;
  void copyWanted(const core::gateway::CopyRequest &Wanted) override;
  void peersHeard(std::vector<model::NodeId> Nodes) override;

private:
  void
  tableCame(std::shared_ptr<const core::gateway::RouteTable> Table) override;
  void endpointsCame(
      const std::vector<core::gateway::EndpointEntry> &Entries) override;
  void nodesCame(const std::vector<core::gateway::NodeEntry> &Nodes) override;
  void holdsLease(bool Holds) override;
  void
  copiesChanged(const std::vector<core::gateway::CopyChange> &News) override;

  void tick();

  GatewayTraffic *m_Traffic = nullptr;
  std::unique_ptr<ports::Random> m_Dice;
  /// Set from the call to stop() until the lease is given back.
  std::function<void()> m_OnStopped;
  net::LoopThread m_Thread;
  ControlCalls m_Calls;
  StoreFeeds m_Feeds;
  PlacementControl m_Placement;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
