#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H

#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayMetrics.h"
#include "Core/Adapters/Gateway/PeerDatagrams.h"
#include "Core/Adapters/Gateway/RelayDriver.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/RelayCore.h"
#include "Core/Ports/Ports.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// What the traffic thread tells the control thread.
class TrafficEvents {
public:
  virtual ~TrafficEvents() = default;
  /// Of this node or another.
  virtual void demandSeen(const model::NodeId &Node, uint64_t Start,
                          std::vector<core::gateway::UsageCounter> Uses) = 0;
  virtual void copyWanted(const core::gateway::CopyRequest &Wanted) = 0;
  virtual void peersHeard(std::vector<model::NodeId> Nodes) = 0;
};

struct TrafficAddresses {
  model::Address m_Callers;
  model::Address m_Ready;
  model::Address m_Peers;
  model::Address m_Metrics;

  friend auto operator<=>(const TrafficAddresses &,
                          const TrafficAddresses &) = default;
};

/// The traffic thread of a node: callers' connections, sends to endpoints,
/// readiness, and notices between nodes.
class GatewayTraffic {
public:
  GatewayTraffic(const TrafficAddresses &Addresses,
                 const core::gateway::RelaySettings &Settings,
                 model::NodeId Self, const core::gateway::Dialect &Dialect,
                 const ports::Clock &Clock, GatewayLog &Log,
                 TrafficEvents &Events);
  ~GatewayTraffic();

  /// Listens and starts the thread; the reason where that fails.
  std::optional<std::string> start();
  void join() { m_Thread.stop(); }

  // From any thread.
  void setTable(std::shared_ptr<const core::gateway::RouteTable> Table);
  void setEndpoints(std::vector<core::gateway::EndpointEntry> Entries);
  void setPeers(std::vector<core::gateway::NodeEntry> Peers);
  void tellCopies(std::vector<core::gateway::CopyChange> News);
  void setHoldsLease(bool Holds);
  /// Not ready from now on; after \p LameDuck nothing new is taken; calls
  /// \p OnEmpty once every request has its answer.
  void stop(model::Duration LameDuck, std::function<void()> OnEmpty);

private:
  class PagesHandler;
  struct Peer {
    model::Address m_Address;
    std::optional<model::TimePoint> m_HeardAt;
    bool m_HoldsLease = false;
    /// Of the process that was heard last.
    uint64_t m_Start = 0;
  };

  bool isReady() const;
  void tick();
  void tellPeers();
  void sendNotice(core::gateway::PeerNotice Notice,
                  const std::vector<model::Address> &To);
  std::vector<model::Address> noticeTargets() const;
  void noticeCame(const core::gateway::PeerNotice &Notice,
                  const model::Address &From);
  void wantCopy(const core::gateway::CopyRequest &Wanted);
  void watchForEmpty();
  std::string metricsText();

  TrafficAddresses m_Addresses;
  model::NodeId m_Self;
  uint64_t m_Start;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  TrafficEvents &m_Events;
  std::unique_ptr<ports::Random> m_Dice;
  core::gateway::RelayCore m_Core;
  GatewayMetrics m_Counts;
  bool m_HasEndpoints = false;
  bool m_Stopping = false;
  bool m_HoldsLease = false;
  uint64_t m_Sequence = 0;
  model::TimePoint m_ToldAt;
  model::TimePoint m_PeersToldAt;
  std::map<model::NodeId, Peer> m_Peers;
  std::function<void()> m_OnEmpty;
  net::LoopThread m_Thread;
  std::unique_ptr<PagesHandler> m_Pages;
  RelayDriver m_Driver;
  front::FrontServer m_Callers;
  front::FrontServer m_Ready;
  front::FrontServer m_Metrics;
  PeerDatagrams m_Datagrams;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H
