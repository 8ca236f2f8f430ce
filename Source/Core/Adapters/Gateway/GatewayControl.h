#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/FeedRelay.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Adapters/Gateway/PlacementControl.h"
#include "Core/Adapters/Gateway/StoreClient.h"
#include "Core/Adapters/Gateway/StoreFeeds.h"
#include "Core/Adapters/Gateway/StreamRecorder.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Ports/Ports.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::gateway {

struct ControlOptions {
  model::Address m_Store;
  core::gateway::NodeEntry m_Self;
  StoreFeedTimes m_FeedTimes;
  leases::LeaseSettings m_Lease;
  residency::ResidencySettings m_Residency;
};

/// The control thread of a node: follows the platform's store, competes for the
/// placement lease, and places models while it holds the lease. Passes routes,
/// endpoints, peers and copy changes to the traffic thread, and receives demand
/// reports and copy requests from it.
class GatewayControl : public TrafficEvents,
                       private StoreEvents,
                       private StoreEraEvents,
                       private PlacementEvents,
                       private StreamRecorderEvents {
public:
  /// \p Dialect, \p Clock and \p Log must outlive this object.
  GatewayControl(const ControlOptions &Options,
                 const core::gateway::Dialect &Dialect,
                 const ports::Clock &Clock, GatewayLog &Log);
  ~GatewayControl() override;

  /// Listens for other nodes and starts the thread; returns the reason on
  /// failure. \p Traffic must outlive the thread.
  std::optional<std::string> start(GatewayTraffic &Traffic);
  void join() { m_Thread.stop(); }
  /// Releases the lease, removes this node's entry from the store and calls
  /// \p OnStopped.
  void stop(std::function<void()> OnStopped);

  void
  onDemandReport(const model::NodeId &Node, uint64_t Start,
                 std::vector<core::gateway::UsageCounter> Counters) override;
  void onCopyRequest(const core::gateway::CopyRequest &Request) override;
  void onStatementChange(const core::gateway::StatementChange &Change) override;
  void onPauseBegun(const core::gateway::PauseBegun &Pause) override;
  void onLivePeers(core::gateway::LivePeers Peers) override;
  void onSourceHeard(const core::gateway::NodeEntry &Source) override;
  void onSourceLost(const model::NodeId &Node) override;
  void onConfirmEndpoints() override;
  void onStreamRecord(core::gateway::StreamNotice Record) override;

private:
  void onRouteTableChanged(
      std::shared_ptr<const core::gateway::RouteTable> Table) override;
  void onEndpointsChanged(
      const std::vector<core::gateway::EndpointEntry> &Entries) override;
  void onEndpointsConfirmed(model::TimePoint AskedAt) override;
  void onConfigProven(model::TimePoint At) override;
  void
  onNodesChanged(const std::vector<core::gateway::NodeEntry> &Nodes) override;
  void onStoreReachChanged(const core::gateway::StoreReach &Reach) override;
  void onStoreEraChanged(std::optional<model::StoreEra> Old,
                         model::StoreEra New) override;
  void onLeaseChanged(const std::optional<model::HeldLease> &Held) override;
  void onCopiesChanged(
      const std::vector<core::gateway::CopyChange> &Changes) override;
  void onStreamRecordRead(const core::gateway::StreamNotice &Record) override;
  void onStreamRecordSlot(std::optional<uint32_t> Slot) override;

  void tick();

  const model::Address m_RelayAddress;
  GatewayTraffic *m_Traffic = nullptr;
  std::unique_ptr<ports::Random> m_Random;
  /// Set from the call to stop() until the lease is released.
  std::function<void()> m_OnStopped;
  net::LoopThread m_Thread;
  ControlCalls m_Calls;
  GatewayLog &m_Log;
  StoreClient m_Store;
  FeedRelay m_Relay;
  StoreFeeds m_Feeds;
  PlacementControl m_Placement;
  StreamRecorder m_StreamRecorder;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
