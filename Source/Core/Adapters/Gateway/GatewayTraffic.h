#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H

#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayMetrics.h"
#include "Core/Adapters/Gateway/PeerDatagrams.h"
#include "Core/Adapters/Gateway/RelayDriver.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/LivePeers.h"
#include "Core/Gateway/PeerDirectory.h"
#include "Core/Gateway/RelayCore.h"
#include "Core/Gateway/StoreReach.h"
#include "Core/Model/Lease.h"
#include "Core/Organisations/QuotaKeeper.h"
#include "Core/Ports/Ports.h"
#include "Core/Resources/CallerMemory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Callbacks from the traffic thread to the control thread.
class TrafficEvents {
public:
  virtual ~TrafficEvents() = default;
  /// Requests and tokens counted by \p Node, which may be this node or a peer.
  virtual void
  onDemandReport(const model::NodeId &Node, uint64_t Start,
                 std::vector<core::gateway::UsageCounter> Counters) = 0;
  virtual void onCopyRequest(const core::gateway::CopyRequest &Request) = 0;
  /// An endpoint has said something new of itself, to this node or a peer.
  virtual void
  onStatementChange(const core::gateway::StatementChange &Change) = 0;
  /// An endpoint wants nothing from this node for a while.
  virtual void onPauseBegun(const core::gateway::PauseBegun &Pause) = 0;
  /// Called periodically.
  virtual void onLivePeers(core::gateway::LivePeers Peers) = 0;
  /// A peer has told that it reads the store itself.
  virtual void onSourceHeard(const core::gateway::NodeEntry &Source) = 0;
  /// It has told that it no longer does.
  virtual void onSourceLost(const model::NodeId &Node) = 0;
  /// Whether endpoints have joined or changed that are not known has to be
  /// asked of the store; GatewayTraffic::confirmEndpoints() takes the answer.
  virtual void onConfirmEndpoints() = 0;
  /// What a node with a slot records of streams' origins from now on.
  virtual void onStreamRecord(core::gateway::StreamNotice Record) = 0;
};

struct TrafficAddresses {
  model::Address m_Callers;
  model::Address m_Ready;
  model::Address m_Peers;
  /// Requests that other nodes forward.
  model::Address m_Forwarding;
  model::Address m_Metrics;

  friend auto operator<=>(const TrafficAddresses &,
                          const TrafficAddresses &) = default;
};

/// What the machine gives to this process.
struct ProcessLimits {
  uint64_t m_MemoryBytes = 0;
  uint64_t m_Descriptors = 0;

  friend auto operator<=>(const ProcessLimits &,
                          const ProcessLimits &) = default;
};

/// The traffic thread of a node: serves callers' connections, sends requests to
/// endpoints, answers /ready and /metrics, and exchanges notices with peers.
class GatewayTraffic {
public:
  GatewayTraffic(const TrafficAddresses &Addresses, const ProcessLimits &Limits,
                 const core::gateway::RelaySettings &Settings,
                 model::NodeId Self, const core::gateway::Dialect &Dialect,
                 const ports::Clock &Clock, GatewayLog &Log,
                 TrafficEvents &Events);
  ~GatewayTraffic();

  /// Listens and starts the thread; returns the reason on failure.
  std::optional<std::string> start();
  /// Logs the requests that are lost with the process; before join().
  void logRequestsLeft();
  void join() { m_Thread.stop(); }

  // May be called from any thread.
  void setTable(std::shared_ptr<const core::gateway::RouteTable> Table);
  void setEndpoints(std::vector<core::gateway::EndpointEntry> Entries);
  /// The store has confirmed the endpoints, by an answer to a call made at
  /// \p AskedAt.
  void confirmEndpoints(model::TimePoint AskedAt);
  /// By an answer of the store to a call made at \p At, or of a node that asked
  /// it, the table set last is in force.
  void proveConfig(model::TimePoint At);
  void setPeers(std::vector<core::gateway::NodeEntry> Peers);
  void announceCopyChanges(std::vector<core::gateway::CopyChange> Changes);
  /// What this node tells others of its way to the store.
  void setStoreReach(const core::gateway::StoreReach &Reach);
  void setHeldLease(std::optional<model::HeldLease> Held);
  /// What nodes had recorded of streams' origins when this one started.
  void restoreStreams(core::gateway::StreamNotice Record);
  /// The slot that this node writes of that record; nullopt if none.
  void setStreamRecordSlot(std::optional<uint32_t> Slot);
  void countStoreRestore() { m_GatewayMetrics.countStoreRestore(); }
  /// Reports not ready from now on, accepts no new requests after \p LameDuck,
  /// ends those that are left at \p End, and calls \p OnDrained once every
  /// request has been answered.
  void stop(model::Duration LameDuck, model::TimePoint End,
            std::function<void()> OnDrained);

private:
  class StatusHandler;

  bool isReady() const;
  /// Counts a turn of the loop, and logs a long one.
  void noteTurn(const net::EventLoop::Turn &Ended);
  void tick();
  void sendLoadNotice();
  /// Passes on what this node records of streams, if it has a slot.
  void reportStreamRecord();
  void sendStreamNotice(core::gateway::StreamNotice Streams);
  void sendNotice(core::gateway::PeerNotice Notice,
                  const std::vector<model::Address> &To);
  void onPeerNotice(const core::gateway::PeerNotice &Notice,
                    const model::Address &From);
  // GatewayTrafficQuotas.cpp
  /// Asks the holder of quotas what is due.
  void askQuotas();
  void tickQuotas();
  void tickAnnouncement();
  /// Tells the nodes that get no other notices what this one is.
  void announce();
  /// Sends the greetings that are due.
  void greetPeers();
  void sendAnnouncement(const std::vector<model::Address> &To);
  /// Takes over what a notice says of its sender.
  void noteSender(const core::gateway::PeerNotice &Notice,
                  core::gateway::Peer &Sender);
  /// Tells the keeper which nodes may have shares of quotas.
  void updateQuotaNodes();
  void onQuotaNotice(const core::gateway::PeerNotice &Notice,
                     const model::Address &From);
  void onQuotaAnswer(const core::organisations::QuotaNotice &Answer);
  void requestCopy(const core::gateway::CopyRequest &Request);
  void waitUntilDrained();
  std::string metricsText();
  /// Logs, at most once a second, what callers lost for want of memory or
  /// places.
  void reportShortage();

  TrafficAddresses m_Addresses;
  model::NodeId m_Self;
  uint64_t m_Start;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  TrafficEvents &m_Events;
  std::unique_ptr<ports::Random> m_Random;
  core::gateway::RelayCore m_Core;
  GatewayMetrics m_GatewayMetrics;
  bool m_HasEndpoints = false;
  bool m_Stopping = false;
  bool m_HoldsLease = false;
  /// Of the lease that this node holds, or held last.
  uint64_t m_Holding = 0;
  core::organisations::QuotaKeeper m_QuotaKeeper;
  bool m_IsQuotaAskPosted = false;
  bool m_HasQuotaHolder = true;
  core::gateway::StoreReach m_Reach;
  model::TimePoint m_AnnouncedAt;
  model::TimePoint m_GreetedAt;
  uint64_t m_Sequence = 0;
  model::TimePoint m_LoadNoticeSentAt;
  model::TimePoint m_StreamNoticeSentAt;
  uint64_t m_PrefillChangesSent = 0;
  model::TimePoint m_LivePeersReportedAt;
  std::optional<uint32_t> m_StreamRecordSlot;
  model::TimePoint m_StreamRecordAt;
  /// Versions were mixed at the last report of the record.
  bool m_RecordsStreams = false;
  core::gateway::PeerDirectory m_Peers;
  std::function<void()> m_OnDrained;
  net::LoopThread m_Thread;
  ProcessLimits m_Limits;
  resources::CallerMemory m_CallerMemory;
  /// Of the shortages that are logged already.
  resources::MemoryCounters m_LoggedCounters;
  uint64_t m_LoggedPlaces = 0;
  uint64_t m_LoggedPauses = 0;
  model::TimePoint m_ShortageLoggedAt;
  model::TimePoint m_LongTurnLoggedAt;
  std::unique_ptr<StatusHandler> m_StatusHandler;
  RelayDriver m_Driver;
  front::FrontServer m_CallerServer;
  front::FrontServer m_ForwardingServer;
  front::FrontServer m_ReadyServer;
  front::FrontServer m_MetricsServer;
  PeerDatagrams m_Datagrams;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYTRAFFIC_H
