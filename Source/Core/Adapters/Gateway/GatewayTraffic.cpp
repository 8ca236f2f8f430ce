#include "Core/Adapters/Gateway/GatewayTraffic.h"

#include "Core/Adapters/Daemon/CrashReport.h"
#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Gateway/PeerNoticeCodec.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int ServiceUnavailable = 503;
constexpr std::chrono::milliseconds TickPeriod(20);
/// Short enough to follow in-flight counts, which change within the duration of
/// a request.
constexpr model::Duration NoticePeriod = std::chrono::milliseconds(200);
/// Between two notices while prefill queues change: the other nodes send their
/// prompts by them.
constexpr model::Duration MinNoticePeriod = std::chrono::milliseconds(40);
/// The same for each node that is told, so that the cost of notices stays
/// bounded in large fleets.
constexpr model::Duration NoticePeriodPerTarget = std::chrono::milliseconds(6);
constexpr model::Duration LivePeersPeriod = std::chrono::milliseconds(500);
/// Requests to /ready and /metrics have none.
constexpr uint64_t MaxStatusBodyBytes = 1024;
/// What nodes add to the headers of a caller's request.
constexpr size_t MaxForwardingHeaderBytes = 1024;
int64_t toMillis(std::chrono::microseconds Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace

/// Serves /ready and /metrics.
class GatewayTraffic::StatusHandler : public front::FrontHandler {
public:
  explicit StatusHandler(GatewayTraffic &Traffic) : m_Traffic(Traffic) {}

  void
  onRequest(front::FrontRequest Request,
            std::shared_ptr<pistache::HttpResponseWriter> Answer) override {
    pistache::HttpReply Reply;
    Reply.m_ContentType = "text/plain";
    Reply.m_Status = NotFound;
    if (Request.path() == "/ready") {
      Reply.m_Status = m_Traffic.isReady() ? Ok : ServiceUnavailable;
      Reply.m_Body = m_Traffic.isReady() ? "ready\n" : "not ready\n";
    } else if (Request.path() == "/metrics") {
      Reply.m_Status = Ok;
      Reply.m_Body = m_Traffic.metricsText();
    }
    Answer->send(Reply);
  }

private:
  GatewayTraffic &m_Traffic;
};

GatewayTraffic::GatewayTraffic(const TrafficAddresses &Addresses,
                               const ProcessLimits &Limits,
                               const gateway::RelaySettings &Settings,
                               model::NodeId Self,
                               const gateway::Dialect &Dialect,
                               const ports::Clock &Clock, GatewayLog &Log,
                               TrafficEvents &Events)
    : m_Addresses(Addresses), m_Self(std::move(Self)), m_Clock(Clock),
      m_Log(Log), m_Events(Events),
      m_Random(std::make_unique<daemon::SystemRandom>()),
      m_Core(Settings, *m_Random), m_QuotaKeeper(Settings.m_QuotaTiming),
      m_Peers(m_Self, gateway::PeerTiming()), m_Limits(Limits),
      m_CallerMemory(resources::sharesOf(Limits.m_MemoryBytes,
                                         front::ParserLimits().m_MaxBodyBytes)),
      m_StatusHandler(std::make_unique<StatusHandler>(*this)),
      m_Driver(m_Thread.loop(), Dialect, m_Core, Clock, Log, m_GatewayMetrics,
               [this](const gateway::CopyRequest &Request) {
                 requestCopy(Request);
               }),
      m_CallerServer(m_Thread.loop(), m_Driver),
      m_ForwardingServer(m_Thread.loop(), m_Driver.forwardedRequestHandler()),
      m_ReadyServer(m_Thread.loop(), *m_StatusHandler),
      m_MetricsServer(m_Thread.loop(), *m_StatusHandler),
      m_Datagrams(m_Thread.loop(), [this](const gateway::PeerNotice &Notice,
                                          const model::Address &From) {
        onPeerNotice(Notice, From);
      }) {
  m_Start = m_Random->next() >> 1U;
  for (front::FrontServer *Each :
       {&m_CallerServer, &m_ForwardingServer, &m_ReadyServer, &m_MetricsServer})
    Each->setMemory(m_CallerMemory);
  m_CallerServer.setPlaces(resources::callerPlacesOf(Limits.m_Descriptors));
  front::FrontLimits StatusLimits;
  StatusLimits.m_Parser.m_MaxBodyBytes = MaxStatusBodyBytes;
  m_ReadyServer.setLimits(StatusLimits);
  m_MetricsServer.setLimits(StatusLimits);
  m_Core.quotas().setStart(m_Start);
  m_Driver.setStatementHandler([this](const gateway::StatementChange &Change) {
    m_Events.onStatementChange(Change);
  });
  m_Driver.setPauseHandler([this](const gateway::PauseBegun &Pause) {
    m_Events.onPauseBegun(Pause);
  });
  m_Driver.setQuotaHandler([this] {
    // Later, since effects are being carried out, and for all requests that
    // came together.
    if (!std::exchange(m_IsQuotaAskPosted, true))
      m_Thread.loop().post([this] { askQuotas(); });
  });
  m_Driver.setConfirmationHandler([this] { m_Events.onConfirmEndpoints(); });
  m_Thread.loop().setTurnObserver(
      [this](const net::EventLoop::Turn &Ended) { noteTurn(Ended); });
  m_Thread.loop().setFaultHandler([this](const std::string &What) {
    m_Log.write("process", "exception",
                {{"thread", "traffic"}, {"reason", What}});
  });
}

GatewayTraffic::~GatewayTraffic() { join(); }

std::optional<std::string> GatewayTraffic::start() {
  m_Core.streamOrigins().awaitRecord(m_Clock.now());
  if (std::optional<std::string> Reason =
          m_ReadyServer.listen(m_Addresses.m_Ready))
    return "ready: " + *Reason;
  if (std::optional<std::string> Reason =
          m_MetricsServer.listen(m_Addresses.m_Metrics))
    return "metrics: " + *Reason;
  if (std::optional<std::string> Reason =
          m_Datagrams.listen(m_Addresses.m_Peers))
    return "peers: " + *Reason;
  if (std::optional<std::string> Reason =
          m_ForwardingServer.listen(m_Addresses.m_Forwarding))
    return "forwarding: " + *Reason;
  if (std::optional<std::string> Reason =
          m_CallerServer.listen(m_Addresses.m_Callers))
    return "callers: " + *Reason;
  m_Thread.loop().post([] { daemon::CrashReport::coverThread("traffic"); });
  m_Thread.loop().runAfter(TickPeriod, [this] { tick(); });
  m_Thread.start();
  return std::nullopt;
}

bool GatewayTraffic::isReady() const {
  return m_Core.table() && m_HasEndpoints && !m_Stopping;
}

void GatewayTraffic::tick() {
  m_Thread.loop().runAfter(TickPeriod, [this] { tick(); });
  m_Driver.decide([](gateway::RelayCore &Core, model::TimePoint Now,
                     gateway::RelayEffectList &Out) { Core.tick(Now, Out); });
  m_CallerMemory.tick(front::FrontServer::now());
  tickQuotas();
  tickAnnouncement();
  greetPeers();
  const model::TimePoint Now = m_Clock.now();
  reportShortage();
  const bool IsNews = m_Core.prefillChanges() != m_PrefillChangesSent;
  const model::Duration NewsPeriod =
      std::max(MinNoticePeriod,
               NoticePeriodPerTarget *
                   static_cast<int64_t>(std::min<size_t>(
                       m_Peers.peers().size(), gateway::MaxNoticeTargets)));
  if (Now >= m_LoadNoticeSentAt + (IsNews ? NewsPeriod : NoticePeriod)) {
    m_LoadNoticeSentAt = Now;
    m_PrefillChangesSent = m_Core.prefillChanges();
    sendLoadNotice();
  }
  reportStreamRecord();
  if (Now < m_LivePeersReportedAt + LivePeersPeriod)
    return;
  m_LivePeersReportedAt = Now;
  gateway::LivePeers Live = m_Peers.livePeers(Now);
  Live.m_HasHolder = Live.m_HasHolder || m_HoldsLease;
  m_Core.setNodeCount(static_cast<uint32_t>(m_Peers.peers().size()) + 1, Now);
  m_Events.onLivePeers(std::move(Live));
}

void GatewayTraffic::sendLoadNotice() {
  gateway::PeerNotice Notice = m_Core.notice(m_Clock.now());
  Notice.m_UsageCounters = m_Core.takeUsageCounters();
  if (!Notice.m_UsageCounters.empty() || m_Sequence == 0)
    m_Events.onDemandReport(m_Self, m_Start, Notice.m_UsageCounters);
  sendNotice(Notice, m_Peers.takeLoadTargets(m_Clock.now()));
  sendStreamNotice(std::move(Notice.m_Streams));
}

void GatewayTraffic::sendNotice(gateway::PeerNotice Notice,
                                const std::vector<model::Address> &To) {
  Notice.m_From = m_Self;
  Notice.m_Start = m_Start;
  Notice.m_Sequence = ++m_Sequence;
  Notice.m_HoldsLease = m_HoldsLease;
  Notice.m_IsSource = m_Reach.m_IsSource;
  Notice.m_IsStoreRefused = m_Reach.m_IsRefused;
  if (isReady())
    Notice.m_ForwardingPort = m_Addresses.m_Forwarding.m_Port;
  const std::optional<std::string> Bytes = encodeNotice(Notice);
  if (!Bytes) {
    m_Log.write("dependency", "notice_too_long", {});
    return;
  }
  for (const model::Address &Each : To)
    m_Datagrams.send(Each, *Bytes);
}

void GatewayTraffic::onPeerNotice(const gateway::PeerNotice &Notice,
                                  const model::Address &From) {
  if (Notice.m_From == m_Self)
    return;
  const model::TimePoint Now = m_Clock.now();
  const bool IsUnknown = !m_Peers.peers().contains(Notice.m_From);
  gateway::Peer &Sender =
      m_Peers.onNotice(Notice.m_From, From, Notice.m_Quotas.isEmpty(), Now);
  if (IsUnknown)
    updateQuotaNodes();
  noteSender(Notice, Sender);
  if (!Notice.m_Quotas.isEmpty()) {
    onQuotaNotice(Notice, From);
    return;
  }
  m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint At,
                      gateway::RelayEffectList &Out) {
    gateway::PeerNotice Received = Notice;
    Received.m_SenderIp = From.m_Ip;
    Core.onPeerNotice(Received, At, Out);
  });
  const bool IsNew = Sender.m_Start != Notice.m_Start;
  if (IsNew)
    m_Core.onPeerRestarted(Now);
  Sender.m_Start = Notice.m_Start;
  if (IsNew || !Notice.m_UsageCounters.empty())
    m_Events.onDemandReport(Notice.m_From, Notice.m_Start,
                            Notice.m_UsageCounters);
  if (m_HoldsLease)
    for (const gateway::CopyRequest &Each : Notice.m_CopyRequests)
      m_Events.onCopyRequest(Each);
}

void GatewayTraffic::requestCopy(const gateway::CopyRequest &Request) {
  m_Events.onCopyRequest(Request);
  if (m_HoldsLease)
    return;
  std::vector<model::Address> Holders;
  for (const auto &Each : m_Peers.peers())
    if (Each.second.m_HoldsLease)
      Holders.push_back(Each.second.m_Address);
  if (Holders.empty())
    return;
  gateway::PeerNotice Notice = m_Core.notice(m_Clock.now());
  Notice.m_CopyRequests.push_back(Request);
  sendNotice(std::move(Notice), Holders);
}

void GatewayTraffic::setTable(
    std::shared_ptr<const gateway::RouteTable> Table) {
  const model::TimePoint ReadAt = m_Clock.now();
  m_Thread.loop().post([this, ReadAt, Table = std::move(Table)] {
    if (!m_Core.setTable(Table))
      return;
    const model::Duration Reading = ReadAt - Table->receivedAt();
    const model::Duration Age = m_Clock.now() - Table->receivedAt();
    m_GatewayMetrics.observeConfigStep("read", Reading);
    m_GatewayMetrics.observeConfigStep("taken", Age);
    m_QuotaKeeper.setPlans(m_Core.quotaPlans(), m_Clock.now());
    const gateway::CallerInputLimits &Limits = Table->config().m_Limits;
    front::FrontLimits Front = m_CallerServer.limits();
    Front.m_Parser = {Limits.m_MaxHeaderBytes, Limits.m_MaxBodyBytes};
    Front.m_HeaderTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Limits.m_HeaderTimeout);
    Front.m_IdleTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        Limits.m_IdleTimeout);
    m_CallerServer.setLimits(Front);
    front::FrontLimits Forwarded = m_ForwardingServer.limits();
    Forwarded.m_Parser = Front.m_Parser;
    Forwarded.m_Parser.m_MaxHeaderBytes += MaxForwardingHeaderBytes;
    m_ForwardingServer.setLimits(Forwarded);
    std::vector<std::string> Names;
    if (Table->organisations())
      for (const organisations::OrganisationSpec &Each :
           Table->organisations()->all())
        Names.push_back(Each.m_Name);
    m_GatewayMetrics.setOrganisations(Names);
    const resources::MemoryShares Shares =
        resources::sharesOf(m_Limits.m_MemoryBytes, Limits.m_MaxBodyBytes);
    m_CallerMemory.setShares(Shares);
    m_Driver.setAnswerMemoryLimit(Shares.m_HeldAnswers);
    m_Log.write(
        "config", "in_force",
        {{"config", static_cast<int64_t>(Table->config().m_Version)},
         {"routes", static_cast<int64_t>(Table->config().m_Routes.size())},
         {"idle_ms", static_cast<int64_t>(Front.m_IdleTimeout.count())},
         {"age_ms", toMillis(Age)}});
  });
}

void GatewayTraffic::setEndpoints(std::vector<gateway::EndpointEntry> Entries) {
  m_Thread.loop().post([this, Entries = std::move(Entries)] {
    m_HasEndpoints = true;
    m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                        gateway::RelayEffectList &Out) {
      Core.setEndpoints(Entries, Now, Out);
    });
  });
}

void GatewayTraffic::confirmEndpoints(model::TimePoint AskedAt) {
  m_Thread.loop().post([this, AskedAt] {
    m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                        gateway::RelayEffectList &Out) {
      Core.onEndpointsConfirmed(AskedAt, Now, Out);
    });
  });
}

void GatewayTraffic::proveConfig(model::TimePoint At) {
  m_Thread.loop().post([this, At] {
    m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                        gateway::RelayEffectList &Out) {
      Core.onConfigProven(At, Now, Out);
    });
  });
}

void GatewayTraffic::setPeers(std::vector<gateway::NodeEntry> Peers) {
  m_Thread.loop().post([this, Peers = std::move(Peers)] {
    m_Peers.setRegistered(Peers, m_Clock.now());
    updateQuotaNodes();
  });
}

void GatewayTraffic::announceCopyChanges(
    std::vector<gateway::CopyChange> Changes) {
  m_Thread.loop().post([this, Changes = std::move(Changes)] {
    gateway::PeerNotice Notice = m_Core.notice(m_Clock.now());
    Notice.m_CopyChanges = Changes;
    std::vector<model::Address> All;
    for (const auto &Each : m_Peers.peers())
      All.push_back(Each.second.m_Address);
    sendNotice(Notice, All);
    gateway::PeerNotice Own = std::move(Notice);
    Own.m_From = m_Self;
    Own.m_Loads.clear();
    Own.m_Start = m_Start;
    Own.m_Sequence = m_Sequence;
    m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                        gateway::RelayEffectList &Out) {
      Core.onPeerNotice(Own, Now, Out);
    });
  });
}

} // namespace bronzepass::core::adapters::gateway
