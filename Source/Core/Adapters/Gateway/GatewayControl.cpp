#include "Core/Adapters/Gateway/GatewayControl.h"

#include "Core/Adapters/Daemon/CrashReport.h"
#include "Core/Adapters/Daemon/SystemPorts.h"

#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr std::chrono::milliseconds TickPeriod(20);

} // namespace

GatewayControl::GatewayControl(const ControlOptions &Options,
                               const gateway::Dialect &Dialect,
                               const ports::Clock &Clock, GatewayLog &Log)
    : m_RelayAddress(Options.m_Self.m_PeerAddress),
      m_Random(std::make_unique<daemon::SystemRandom>()),
      m_Calls(m_Thread.loop()), m_Log(Log),
      m_Store(Options.m_Store, Dialect, m_Calls, Log, *this),
      m_Relay(m_Thread.loop(), m_Calls, Clock),
      m_Feeds(m_Store, m_Relay, Options.m_FeedTimes, Options.m_Self, Dialect,
              Clock, *m_Random, Log, *this),
      m_Placement({Options.m_Self.m_Node, Options.m_Lease, Options.m_Residency},
                  Dialect, m_Store, m_Calls, m_Thread.loop(), Clock, *m_Random,
                  Log, *this),
      m_StreamRecorder(Options.m_Self.m_Node, Dialect, m_Store, Clock, Log,
                       *this) {
  m_Thread.loop().setFaultHandler([this](const std::string &What) {
    m_Log.write("process", "exception",
                {{"thread", "control"}, {"reason", What}});
  });
}

GatewayControl::~GatewayControl() { join(); }

std::optional<std::string> GatewayControl::start(GatewayTraffic &Traffic) {
  if (std::optional<std::string> Reason = m_Relay.listen(m_RelayAddress))
    return "peers: " + *Reason;
  m_Traffic = &Traffic;
  m_Thread.loop().post([] { daemon::CrashReport::coverThread("control"); });
  m_Thread.loop().post([this] { tick(); });
  m_Thread.start();
  return std::nullopt;
}

void GatewayControl::tick() {
  m_Thread.loop().runAfter(TickPeriod, [this] { tick(); });
  m_Feeds.tick();
  m_Placement.tick();
  m_StreamRecorder.tick();
  if (m_OnStopped && m_Placement.isStopped()) {
    m_Feeds.leave();
    std::exchange(m_OnStopped, nullptr)();
  }
}

void GatewayControl::stop(std::function<void()> OnStopped) {
  m_Thread.loop().post([this, OnStopped = std::move(OnStopped)] {
    m_OnStopped = OnStopped;
    m_Placement.stop();
  });
}

void GatewayControl::onRouteTableChanged(
    std::shared_ptr<const gateway::RouteTable> Table) {
  m_Placement.setTable(Table);
  m_Traffic->setTable(std::move(Table));
}

void GatewayControl::onEndpointsChanged(
    const std::vector<gateway::EndpointEntry> &Entries) {
  m_Placement.setEndpoints(Entries);
  m_Traffic->setEndpoints(Entries);
}

void GatewayControl::onEndpointsConfirmed(model::TimePoint AskedAt) {
  m_Traffic->confirmEndpoints(AskedAt);
}

void GatewayControl::onConfigProven(model::TimePoint At) {
  m_Traffic->proveConfig(At);
}

void GatewayControl::onNodesChanged(
    const std::vector<gateway::NodeEntry> &Nodes) {
  m_Placement.setNodes(Nodes);
  m_StreamRecorder.setNodes(Nodes);
  m_Traffic->setPeers(Nodes);
}

void GatewayControl::onStoreReachChanged(const gateway::StoreReach &Reach) {
  m_Log.write("dependency", "reach",
              {{"dependency", "store"},
               {"source", Reach.m_IsSource ? "yes" : "no"},
               {"announces", Reach.m_Announces ? "yes" : "no"},
               {"refused", Reach.m_IsRefused ? "yes" : "no"}});
  m_Traffic->setStoreReach(Reach);
}

void GatewayControl::onStoreEraChanged(std::optional<model::StoreEra> Old,
                                       model::StoreEra New) {
  if (Old) {
    m_Log.write("dependency", "store_restored",
                {{"dependency", "store"},
                 {"old_era", static_cast<int64_t>(Old->m_Value)},
                 {"new_era", static_cast<int64_t>(New.m_Value)},
                 {"reason", "all lists are read again, the lease is void, this "
                            "node registers again"}});
    m_Traffic->countStoreRestore();
    m_Feeds.onStoreRestored();
    m_StreamRecorder.onStoreRestored();
  }
  m_Placement.onStoreEra(New);
}

void GatewayControl::onLeaseChanged(
    const std::optional<model::HeldLease> &Held) {
  m_Feeds.setHolder(Held.has_value());
  m_Traffic->setHeldLease(Held);
}

void GatewayControl::onCopiesChanged(
    const std::vector<gateway::CopyChange> &Changes) {
  m_Traffic->announceCopyChanges(Changes);
}

void GatewayControl::onDemandReport(
    const model::NodeId &Node, uint64_t Start,
    std::vector<gateway::UsageCounter> Counters) {
  m_Thread.loop().post([this, Node, Start, Counters = std::move(Counters)] {
    m_Placement.onDemandReport(Node, Start, Counters);
  });
}

void GatewayControl::onCopyRequest(const gateway::CopyRequest &Request) {
  m_Thread.loop().post([this, Request] { m_Placement.onCopyRequest(Request); });
}

void GatewayControl::onStatementChange(const gateway::StatementChange &Change) {
  m_Thread.loop().post(
      [this, Change] { m_Placement.onStatementChange(Change); });
}

void GatewayControl::onPauseBegun(const gateway::PauseBegun &Pause) {
  m_Thread.loop().post([this, Pause] { m_Placement.onPauseBegun(Pause); });
}

void GatewayControl::onLivePeers(gateway::LivePeers Peers) {
  m_Thread.loop().post([this, Peers = std::move(Peers)] {
    m_Placement.onLivePeers(Peers);
    m_StreamRecorder.onLivePeers(Peers);
    m_Feeds.onLivePeers(Peers);
  });
}

void GatewayControl::onSourceHeard(const gateway::NodeEntry &Source) {
  m_Thread.loop().post([this, Source] { m_Feeds.onSourceHeard(Source); });
}

void GatewayControl::onSourceLost(const model::NodeId &Node) {
  m_Thread.loop().post([this, Node] { m_Feeds.onSourceLost(Node); });
}

void GatewayControl::onConfirmEndpoints() {
  m_Thread.loop().post([this] { m_Feeds.confirmEndpoints(); });
}

void GatewayControl::onStreamRecord(gateway::StreamNotice Record) {
  m_Thread.loop().post([this, Record = std::move(Record)]() mutable {
    m_StreamRecorder.setRecord(std::move(Record));
  });
}

void GatewayControl::onStreamRecordRead(const gateway::StreamNotice &Record) {
  m_Traffic->restoreStreams(Record);
}

void GatewayControl::onStreamRecordSlot(std::optional<uint32_t> Slot) {
  m_Traffic->setStreamRecordSlot(Slot);
}

} // namespace bronzepass::core::adapters::gateway
