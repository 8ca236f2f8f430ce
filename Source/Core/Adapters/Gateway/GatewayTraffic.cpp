#include "Core/Adapters/Gateway/GatewayTraffic.h"

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
/// Counts of requests under way change within a request's time.
constexpr model::Duration NoticePeriod = std::chrono::milliseconds(200);
/// A peer not heard for this long counts as gone: some lost notices in a row.
constexpr model::Duration PeerAliveFor = std::chrono::milliseconds(1500);
/// Peers that a node tells of its loads; with more nodes each tells its
/// neighbours in rendezvous order and the lease holder.
constexpr size_t MostPeersTold = 24;
constexpr model::Duration PeersHeardPeriod = std::chrono::milliseconds(500);

} // namespace

/// Readiness and metrics.
class GatewayTraffic::PagesHandler : public front::FrontHandler {
public:
  explicit PagesHandler(GatewayTraffic &Traffic) : m_Traffic(Traffic) {}

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
                               const gateway::RelaySettings &Settings,
                               model::NodeId Self,
                               const gateway::Dialect &Dialect,
                               const ports::Clock &Clock, GatewayLog &Log,
                               TrafficEvents &Events)
    : m_Addresses(Addresses), m_Self(std::move(Self)), m_Clock(Clock),
      m_Log(Log), m_Events(Events),
      m_Dice(std::make_unique<daemon::SystemRandom>()),
      m_Core(Settings, *m_Dice), m_Pages(std::make_unique<PagesHandler>(*this)),
      m_Driver(
          m_Thread.loop(), Dialect, m_Core, Clock, Log, m_Counts,
          [this](const gateway::CopyRequest &Wanted) { wantCopy(Wanted); }),
      m_Callers(m_Thread.loop(), m_Driver), m_Ready(m_Thread.loop(), *m_Pages),
      m_Metrics(m_Thread.loop(), *m_Pages),
      m_Datagrams(m_Thread.loop(), [this](const gateway::PeerNotice &Notice,
                                          const model::Address &From) {
        noticeCame(Notice, From);
      }) {
  m_Start = m_Dice->next() >> 1U;
}

GatewayTraffic::~GatewayTraffic() { join(); }

std::optional<std::string> GatewayTraffic::start() {
  if (std::optional<std::string> Reason = m_Ready.listen(m_Addresses.m_Ready))
    return "ready: " + *Reason;
  if (std::optional<std::string> Reason =
          m_Metrics.listen(m_Addresses.m_Metrics))
    return "metrics: " + *Reason;
  if (std::optional<std::string> Reason =
          m_Datagrams.listen(m_Addresses.m_Peers))
    return "peers: " + *Reason;
  if (std::optional<std::string> Reason =
          m_Callers.listen(m_Addresses.m_Callers))
    return "callers: " + *Reason;
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
  const model::TimePoint Now = m_Clock.now();
  if (Now >= m_ToldAt + NoticePeriod) {
    m_ToldAt = Now;
    tellPeers();
  }
  if (Now < m_PeersToldAt + PeersHeardPeriod)
    return;
  m_PeersToldAt = Now;
  std::vector<model::NodeId> Heard;
  for (const auto &Each : m_Peers)
    if (Each.second.m_HeardAt && Now - *Each.second.m_HeardAt < PeerAliveFor)
      Heard.push_back(Each.first);
  m_Core.setNodeCount(
      static_cast<uint32_t>(std::max(m_Peers.size(), Heard.size())) + 1);
  m_Events.peersHeard(std::move(Heard));
}

std::vector<model::Address> GatewayTraffic::noticeTargets() const {
  std::vector<std::pair<uint64_t, const Peer *>> Ranked;
  for (const auto &Each : m_Peers)
    Ranked.emplace_back(
        Each.second.m_HoldsLease
            ? ~0ULL
            : model::rendezvousWeight(m_Self.str(), Each.first.str()),
        &Each.second);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::vector<model::Address> Targets;
  for (const std::pair<uint64_t, const Peer *> &Each : Ranked)
    if (Targets.size() < MostPeersTold)
      Targets.push_back(Each.second->m_Address);
  return Targets;
}

void GatewayTraffic::tellPeers() {
  gateway::PeerNotice Notice;
  Notice.m_Loads = m_Core.loads();
  Notice.m_UsageCounters = m_Core.takeUsageCounters();
  if (!Notice.m_UsageCounters.empty() || m_Sequence == 0)
    m_Events.demandSeen(m_Self, m_Start, Notice.m_UsageCounters);
  sendNotice(std::move(Notice), noticeTargets());
}

void GatewayTraffic::sendNotice(gateway::PeerNotice Notice,
                                const std::vector<model::Address> &To) {
  Notice.m_From = m_Self;
  Notice.m_Start = m_Start;
  Notice.m_Sequence = ++m_Sequence;
  Notice.m_HoldsLease = m_HoldsLease;
  const std::optional<std::string> Bytes = encodeNotice(Notice);
  if (!Bytes) {
    m_Log.write("dependency", "notice_too_long", {});
    return;
  }
  for (const model::Address &Each : To)
    m_Datagrams.send(Each, *Bytes);
}

void GatewayTraffic::noticeCame(const gateway::PeerNotice &Notice,
                                const model::Address &From) {
  if (Notice.m_From == m_Self)
    return;
  const model::TimePoint Now = m_Clock.now();
  Peer &Sender = m_Peers[Notice.m_From];
  Sender.m_Address = From;
  Sender.m_HeardAt = Now;
  Sender.m_HoldsLease = Notice.m_HoldsLease;
  m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint At,
                      gateway::RelayEffectList &Out) {
    Core.onPeerNotice(Notice, At, Out);
  });
  const bool IsNew = Sender.m_Start != Notice.m_Start;
  Sender.m_Start = Notice.m_Start;
  if (IsNew || !Notice.m_UsageCounters.empty())
    m_Events.demandSeen(Notice.m_From, Notice.m_Start, Notice.m_UsageCounters);
  if (m_HoldsLease)
    for (const gateway::CopyRequest &Each : Notice.m_CopyRequests)
      m_Events.copyWanted(Each);
}

void GatewayTraffic::wantCopy(const gateway::CopyRequest &Wanted) {
  m_Events.copyWanted(Wanted);
  if (m_HoldsLease)
    return;
  std::vector<model::Address> Holders;
  for (const auto &Each : m_Peers)
    if (Each.second.m_HoldsLease)
      Holders.push_back(Each.second.m_Address);
  if (Holders.empty())
    return;
  gateway::PeerNotice Notice;
  Notice.m_Loads = m_Core.loads();
  Notice.m_CopyRequests.push_back(Wanted);
  sendNotice(std::move(Notice), Holders);
}

void GatewayTraffic::setTable(
    std::shared_ptr<const gateway::RouteTable> Table) {
  m_Thread.loop().post([this, Table = std::move(Table)] {
    if (!m_Core.setTable(Table))
      return;
    const gateway::CallerInputLimits &Limits = Table->config().m_Limits;
    front::FrontLimits Front = m_Callers.limits();
    Front.m_Reading = {Limits.m_MaxHeaderBytes, Limits.m_MaxBodyBytes};
    Front.m_HeaderTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Limits.m_HeaderTimeout);
    Front.m_IdleTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        Limits.m_IdleTimeout);
    m_Callers.setLimits(Front);
    m_Log.write(
        "config", "in_force",
        {{"config", static_cast<int64_t>(Table->config().m_Version)},
         {"routes", static_cast<int64_t>(Table->config().m_Routes.size())}});
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

void GatewayTraffic::setPeers(std::vector<gateway::NodeEntry> Peers) {
  m_Thread.loop().post([this, Peers = std::move(Peers)] {
    std::map<model::NodeId, Peer> Known;
    const model::TimePoint Now = m_Clock.now();
    for (const gateway::NodeEntry &Each : Peers) {
      if (Each.m_Node == m_Self)
        continue;
      const auto Old = m_Peers.find(Each.m_Node);
      // What a peer was heard from is newer than what it registered.
      Known[Each.m_Node] = Old == m_Peers.end() ? Peer{Each.m_PeerAddress,
                                                       std::nullopt, false, 0}
                                                : Old->second;
      Peer &Value = Known[Each.m_Node];
      if (!Value.m_HeardAt || Now - *Value.m_HeardAt > PeerAliveFor)
        Value.m_Address = Each.m_PeerAddress;
    }
    for (const auto &Each : m_Peers)
      if (Each.second.m_HeardAt && Now - *Each.second.m_HeardAt < PeerAliveFor)
        Known.emplace(Each);
    m_Peers = std::move(Known);
  });
}

void GatewayTraffic::tellCopies(std::vector<gateway::CopyChange> News) {
  m_Thread.loop().post([this, News = std::move(News)] {
    gateway::PeerNotice Notice;
    Notice.m_Loads = m_Core.loads();
    Notice.m_CopyChanges = News;
    std::vector<model::Address> All;
    for (const auto &Each : m_Peers)
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

void GatewayTraffic::setHoldsLease(bool Holds) {
  m_Thread.loop().post([this, Holds] { m_HoldsLease = Holds; });
}

void GatewayTraffic::stop(model::Duration LameDuck,
                          std::function<void()> OnEmpty) {
  m_Thread.loop().post([this, LameDuck, OnEmpty = std::move(OnEmpty)] {
    if (m_Stopping)
      return;
    m_Stopping = true;
    m_OnEmpty = OnEmpty;
    m_Driver.closeBehindAnswers();
    m_Thread.loop().runAfter(LameDuck, [this] {
      m_Core.stopAccepting();
      m_Callers.closeIdle();
      watchForEmpty();
    });
  });
}

void GatewayTraffic::watchForEmpty() {
  m_Callers.closeIdle();
  if (m_Core.activeRequestCount() == 0 && m_Driver.unfinishedAnswers() == 0 &&
      m_Callers.connectionCount() == 0) {
    m_OnEmpty();
    return;
  }
  m_Thread.loop().runAfter(TickPeriod, [this] { watchForEmpty(); });
}

std::string GatewayTraffic::metricsText() {
  m_Counts.setLive(m_Core.activeRequestCount(), m_Callers.connectionCount());
  m_Counts.setLinesDropped(m_Log.dropped());
  m_Counts.setConfigVersion(m_Core.table() ? m_Core.table()->config().m_Version
                                           : 0);
  return m_Counts.text();
}

} // namespace bronzepass::core::adapters::gateway
