#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

/// How long an endpoint is remembered whose entry is gone. Longer than the
/// pauses that endpoints ask for and the time for which a leaving one serves.
constexpr model::Duration UnregisteredLifetime = std::chrono::seconds(60);
/// How long a peer's CopyChange takes precedence over the endpoint's own entry:
/// two of the periods at which engines renew their entries.
constexpr model::Duration CopyOverrideLifetime = std::chrono::seconds(3);
/// Several notices may be lost in this time. An endpoint repeats what it says
/// in each answer.
constexpr model::Duration StatementAnnounceTime = std::chrono::seconds(2);
/// Of the first endpoints by id: the same on all nodes, so that where many
/// recover at a time some are found together, and the others by each node
/// alone.
constexpr size_t MaxPaceReports = 16;

} // namespace

void RelayCore::setNodeCount(uint32_t Count, model::TimePoint Now) {
  m_Retries.setNodeCount(Count);
  const uint32_t Old = std::exchange(m_NodeCount, std::max(1U, Count));
  if (Old == m_NodeCount)
    return;
  m_Now = Now;
  for (auto &Each : m_Endpoints)
    updateRateShare(Each.second);
}

void RelayCore::onPeerNotice(const PeerNotice &Notice, model::TimePoint Now,
                             RelayEffectList &Out) {
  m_Now = Now;
  PeerState &Peer = m_Peers[Notice.m_From];
  if (Peer.m_Start == Notice.m_Start && Peer.m_Sequence >= Notice.m_Sequence)
    return;
  subtractPeerLoads(Peer.m_Loads);
  for (const EndpointLoad &New : Notice.m_Loads) {
    if (EndpointView *const Endpoint = findEndpoint(New.m_Endpoint)) {
      Endpoint->m_PeersInFlight += New.m_InFlight;
      Endpoint->m_PeersPrefillTokens += New.m_PrefillTokens;
    }
  }
  Peer = {Now,
          Notice.m_Start,
          Notice.m_Sequence,
          Notice.m_Loads,
          {Notice.m_SenderIp, Notice.m_ForwardingPort},
          Notice.m_LostServices};
  m_Quarantine.onNotice(Notice.m_Quarantine, Now);
  m_Origins.onNotice(Notice.m_Streams, Now);
  for (const EndpointNotice &Each : Notice.m_EndpointNotices)
    if (EndpointView *const Endpoint = findEndpoint(Each.m_Endpoint)) {
      applyStatement(*Endpoint, Each.m_Statement, Now - Each.m_Age, Out);
      Endpoint->m_FullUntil =
          std::max(Endpoint->m_FullUntil, Now + Each.m_FullFor);
    }
  onPaceReports(Notice);
  for (const CopyChange &Change : Notice.m_CopyChanges)
    if (EndpointView *const Endpoint = findEndpoint(Change.m_Endpoint))
      Endpoint->m_CopyOverrides[Change.m_ModelRef] = {
          !Change.m_Removed, Now + CopyOverrideLifetime};
  if (!Notice.m_CopyChanges.empty())
    dispatchWaiting(Out);
}

void RelayCore::subtractPeerLoads(const std::vector<EndpointLoad> &Loads) {
  for (const EndpointLoad &Old : Loads) {
    EndpointView *const Endpoint = findEndpoint(Old.m_Endpoint);
    if (!Endpoint)
      continue;
    Endpoint->m_PeersInFlight -=
        std::min(Endpoint->m_PeersInFlight, Old.m_InFlight);
    Endpoint->m_PeersPrefillTokens -=
        std::min(Endpoint->m_PeersPrefillTokens, Old.m_PrefillTokens);
  }
}

PeerNotice RelayCore::notice(model::TimePoint Now) const {
  PeerNotice Notice;
  Notice.m_Quarantine = m_Quarantine.notice(Now);
  Notice.m_Streams = m_Origins.notice(Now);
  Notice.m_LostServices = m_Links.lostServices();
  for (const auto &Entry : m_Endpoints) {
    const EndpointView &View = Entry.second;
    if (View.m_InFlight > 0)
      Notice.m_Loads.push_back(
          {Entry.first, View.m_InFlight, View.m_PrefillTokens});
    if (View.m_Pace && Notice.m_PaceReports.size() < MaxPaceReports)
      Notice.m_PaceReports.push_back(View.m_Pace->report(Entry.first));
    if (View.m_OwnStatement && Now - View.m_OwnStatedAt < StatementAnnounceTime)
      Notice.m_EndpointNotices.push_back(
          {Entry.first, Now - View.m_OwnStatedAt, *View.m_OwnStatement,
           std::max(model::Duration::zero(), View.m_OwnFullUntil - Now)});
  }
  return Notice;
}

std::vector<UsageCounter> RelayCore::takeUsageCounters() {
  std::vector<UsageCounter> Changed;
  for (const auto &Ref : m_UsageCounters) {
    uint64_t &LastReported = m_ReportedRequestCounts[Ref.first];
    if (LastReported == Ref.second.m_Requests)
      continue;
    LastReported = Ref.second.m_Requests;
    Changed.push_back(Ref.second);
  }
  return Changed;
}

void RelayCore::eraseUnregistered() {
  for (auto &Entry : m_Endpoints)
    if (Entry.second.m_IsRegistered)
      Entry.second.m_RegisteredAt = m_Now;
  std::erase_if(m_Endpoints, [this](const auto &Entry) {
    const EndpointView &View = Entry.second;
    return !View.m_IsRegistered && View.m_InFlight == 0 &&
           m_Now - View.m_RegisteredAt >= UnregisteredLifetime &&
           m_Now >= View.m_PausedUntil;
  });
}

} // namespace bronzepass::core::gateway
