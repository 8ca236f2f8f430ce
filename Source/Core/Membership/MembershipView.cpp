#include "Core/Membership/MembershipView.h"

#include "Core/Membership/MembershipTiming.h"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace bronzepass::core::membership {

namespace {

/// Consecutive heartbeats with another digest after which the whole member
/// table is sent to the peer.
constexpr uint32_t MismatchesBeforeFullSync = 3;
/// Minimum time between two full tables sent to a peer.
constexpr model::Duration FullSyncPause = std::chrono::seconds(30);

model::Decision decision(const std::string &Subject, const std::string &Action,
                         const std::string &Reason) {
  return {.m_Kind = model::DecisionKind::Membership,
          .m_Subject = Subject,
          .m_Action = Action,
          .m_Reason = Reason};
}

const char *nameOf(model::Liveness Liveness) {
  switch (Liveness) {
  case model::Liveness::Live:
    return "live";
  case model::Liveness::Suspect:
    return "suspect";
  case model::Liveness::Leaving:
    return "leaving";
  case model::Liveness::Gone:
    return "gone";
  }
  return "unknown";
}

} // namespace

MembershipView::MembershipView(model::NodeInfo Self, ports::Random &Random)
    : m_Self(std::move(Self)), m_Generations(m_Self.m_Node),
      m_Overlay(m_Self.m_Vm, m_Self.m_Region),
      m_Links(Random, [this](const model::VmId &Vm) { return infoOf(Vm); }),
      m_Duties({m_Self}), m_Random(Random) {}

void MembershipView::start(model::TimePoint Now, ports::EffectList &Out) {
  m_Started = true;
  m_LastEventAt = Now;
  m_NextListAt = Now;
  m_Members.merge(m_Self, Now);
  tick(Now, Out);
}

void MembershipView::detectPause(model::TimePoint Now, ports::EffectList &Out) {
  const bool Paused = m_Started && Now - m_LastEventAt >= PauseThreshold;
  m_LastEventAt = Now;
  if (!Paused)
    return;
  m_IsAwaitingConfirmation = true;
  m_FirstSequenceAfterPause = m_Sequence + 1;
  m_NextListAt = Now;
  m_Links.resetSilence(Now);
  for (auto &[Peer, Link] : m_Links.links())
    Link.m_Urgent = true;
  Out.push_back(decision(m_Self.m_Node.str(), "hold",
                         "resumed after a pause; peers may consider it gone"));
}

void MembershipView::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (Now >= m_NextListAt) {
    const model::Duration Period =
        watchesForDomain() ? VmListPeriodWatcher : VmListPeriodOther;
    const uint64_t Half = static_cast<uint64_t>(Period.count()) / 2;
    m_NextListAt = Now + Period / 2 + model::Duration(m_Random.next() % Half);
    Out.push_back(ports::VmListRequest());
  }
  for (const model::NodeId &Peer : m_Links.tick(Now, Out))
    stopRelayingTo(Peer);
  detectFailedNodes(Now, Out);
  m_Members.forgetGone(Now);
  m_Refuted.forgetOld(Now);
  refreshOverlay(Now);
  sendDueHeartbeats(Now, Out);
}

void MembershipView::onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                                       model::TimePoint Now,
                                       ports::EffectList &Out) {
  if (!Change.m_Up) {
    m_Links.onLinkDown(Change.m_Peer, Change.m_Vm, Now);
    stopRelayingTo(Change.m_Peer);
    return;
  }
  m_Links.onLinkUp(Change.m_Peer, Change.m_Vm, Now);
  refreshRelays();
  sendHeartbeat(Change.m_Peer, Now, Out);
}

void MembershipView::refreshRelays() {
  for (const auto &[Peer, Link] : m_Links.links()) {
    const bool Relays = relaysTo(Link);
    if (Relays == m_RelayPeers.contains(Peer))
      continue;
    if (!Relays) {
      stopRelayingTo(Peer);
      continue;
    }
    m_RelayPeers.insert(Peer);
    m_Updates.linkUp(Peer);
    m_Generations.linkUp(Peer);
    for (const model::EndpointState &Statement :
         m_Endpoints.nonLiveStatements())
      m_Updates.addFor(Peer, Statement.m_Endpoint);
  }
}

bool MembershipView::relaysTo(const PeerLinks::Link &Link) const {
  return Link.m_PeerCountsUsAsNeighbour || m_Links.isNeighbour(Link);
}

std::vector<model::NodeId> MembershipView::neighbours() const {
  return {m_RelayPeers.begin(), m_RelayPeers.end()};
}

void MembershipView::stopRelayingTo(const model::NodeId &Peer) {
  m_RelayPeers.erase(Peer);
  m_Updates.linkDown(Peer);
  m_Generations.linkDown(Peer);
  m_Mismatches.erase(Peer);
}

void MembershipView::onPeerMessage(const ports::PeerMessageReceived &Received,
                                   model::TimePoint Now,
                                   ports::EffectList &Out) {
  PeerLinks::Link *Link = m_Links.find(Received.m_From);
  if (!Link)
    return;
  Link->m_LastHeard = Now;
  if (const auto *Greeting = std::get_if<ports::Hello>(&Received.m_Message))
    applyHello(Received.m_From, *Greeting, Now, Out);
  if (const auto *Beat = std::get_if<ports::Heartbeat>(&Received.m_Message))
    applyHeartbeat(Received.m_From, *Beat, Now, Out);
}

void MembershipView::applyHello(const model::NodeId &From,
                                const ports::Hello &Hello, model::TimePoint Now,
                                ports::EffectList &Out) {
  m_Links.setVm(From, Hello.m_Node.m_Vm);
  refreshRelays();
  applyStatement(Hello.m_Node, From, Now, Out);
  // A peer that others consider Suspect or Gone must learn it to refute it.
  const MemberTable::Member *Known = m_Members.find(Hello.m_Node.m_Vm);
  if (Known && supersedes(Known->m_Info, Hello.m_Node))
    m_Updates.addFor(From, Hello.m_Node.m_Vm);
}

void MembershipView::applyHeartbeat(const model::NodeId &From,
                                    const ports::Heartbeat &Beat,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  PeerLinks::Link *Link = m_Links.find(From);
  if (Beat.m_Sequence <= Link->m_PeerSequence)
    return;
  Link->m_PeerSequence = Beat.m_Sequence;
  Link->m_PeerCountsUsAsNeighbour = Beat.m_Neighbour;
  refreshRelays();
  for (const model::NodeInfo &Statement : Beat.m_NodeUpdates)
    applyStatement(Statement, From, Now, Out);
  for (const model::EndpointState &Statement : Beat.m_EndpointUpdates)
    if (m_Endpoints.merge(Statement))
      relayEndpoint(Statement, From);
  m_Generations.onPeerGeneration(From, Beat.m_Generation);
  m_Generations.merge(From, Beat.m_Progress);
  compareDigest(From, Beat.m_MembersDigest, Now);
  if (m_IsAwaitingConfirmation &&
      Beat.m_LastReceivedSequence >= m_FirstSequenceAfterPause)
    endPause("a peer confirmed its membership", Out);
}

void MembershipView::applyStatement(const model::NodeInfo &Statement,
                                    const model::NodeId &From,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  if (Statement.m_Vm == m_Self.m_Vm)
    return applyStatementAboutSelf(Statement, Now, Out);
  const MemberTable::Member *Known = m_Members.find(Statement.m_Vm);
  const bool WasSuspect =
      Known && Known->m_Info.m_Liveness == model::Liveness::Suspect;
  const bool IsChange =
      !Known || Known->m_Info.m_Liveness != Statement.m_Liveness;
  if (!m_Members.merge(Statement, Now))
    return;
  if (WasSuspect && Statement.m_Liveness == model::Liveness::Live)
    m_Refuted.record(Statement.m_Vm, Now);
  m_Updates.add(Statement.m_Vm, From);
  if (IsChange)
    Out.push_back(decision(Statement.m_Node.str(), nameOf(Statement.m_Liveness),
                           "heard from " + From.str()));
}

void MembershipView::applyStatementAboutSelf(const model::NodeInfo &Statement,
                                             model::TimePoint Now,
                                             ports::EffectList &Out) {
  if (!supersedes(Statement, m_Self))
    return;
  if (Statement.m_Node != m_Self.m_Node) {
    m_Replaced = true;
    Out.push_back(decision(m_Self.m_Node.str(), "replaced",
                           "a newer process on this VM is running"));
    return;
  }
  // Peers state that this node is leaving only if the platform's list says so,
  // which can't be refuted.
  if (Statement.m_Liveness == model::Liveness::Leaving)
    m_Self.m_Liveness = model::Liveness::Leaving;
  else
    Out.push_back(decision(m_Self.m_Node.str(), "refute",
                           "peers considered it " +
                               std::string(nameOf(Statement.m_Liveness))));
  m_Self.m_Incarnation = Statement.m_Incarnation + 1;
  m_Members.merge(m_Self, Now);
  m_Updates.add(m_Self.m_Vm, model::NodeId());
}

void MembershipView::endPause(const std::string &Reason,
                              ports::EffectList &Out) {
  m_IsAwaitingConfirmation = false;
  Out.push_back(decision(m_Self.m_Node.str(), "resume", Reason));
}

void MembershipView::compareDigest(const model::NodeId &From, uint64_t Digest,
                                   model::TimePoint Now) {
  if (!m_RelayPeers.contains(From))
    return;
  Mismatch &State = m_Mismatches[From];
  if (Digest == m_Members.digest()) {
    State.m_Count = 0;
    return;
  }
  if (++State.m_Count < MismatchesBeforeFullSync ||
      Now - State.m_LastFullSync < FullSyncPause)
    return;
  State = {0, Now};
  for (const auto &[Vm, Known] : m_Members.all())
    m_Updates.addFor(From, Vm);
}

void MembershipView::relayEndpoint(const model::EndpointState &Statement,
                                   const model::NodeId &From) {
  m_Updates.add(Statement.m_Endpoint, From);
}

void MembershipView::announceEndpoint(
    const EndpointTable::OptionalStatement &Update) {
  if (Update)
    relayEndpoint(*Update, model::NodeId());
}

void MembershipView::onEndpointObserved(const ports::EndpointObserved &Seen,
                                        model::TimePoint Now) {
  announceEndpoint(Seen.m_Refused
                       ? m_Endpoints.onConnectionRefused(Seen.m_Endpoint, Now)
                       : m_Endpoints.onAnswer(Seen.m_Endpoint));
}

void MembershipView::onReportFailed(const ports::ReportFailed &Missed,
                                    model::TimePoint Now) {
  if (Missed.m_Refused)
    announceEndpoint(m_Endpoints.onConnectionRefused(Missed.m_Endpoint, Now));
}

void MembershipView::onReport(const model::EngineReport &Report,
                              model::TimePoint) {
  announceEndpoint(m_Endpoints.onAnswer(Report.m_Endpoint));
}

void MembershipView::setIntent(const model::Intent &Intent, model::TimePoint) {
  m_Endpoints.setIntent(Intent);
  m_Generations.setOwn(Intent.m_Generation);
}

void MembershipView::leave(model::TimePoint Now, ports::EffectList &Out) {
  m_Self.m_Liveness = model::Liveness::Leaving;
  ++m_Self.m_Incarnation;
  m_Members.merge(m_Self, Now);
  m_Updates.add(m_Self.m_Vm, model::NodeId());
  for (const model::NodeId &Peer : linkedPeers())
    sendHeartbeat(Peer, Now, Out);
}

void MembershipView::requestLink(const model::NodeId &Peer,
                                 model::TimePoint Now) {
  const std::optional<model::VmId> Vm = m_Members.vmOf(Peer);
  if (Vm && *Vm != m_Self.m_Vm)
    m_Links.requestExtra(*Vm, Now);
}

bool MembershipView::isLeaving() const {
  return m_Self.m_Liveness == model::Liveness::Leaving;
}

bool MembershipView::isLinked(const model::NodeId &Peer) const {
  return m_Links.links().contains(Peer);
}

std::vector<model::NodeId> MembershipView::linkedPeers() const {
  std::vector<model::NodeId> Peers;
  for (const auto &[Peer, Link] : m_Links.links())
    Peers.push_back(Peer);
  return Peers;
}

std::optional<model::NodeInfo>
MembershipView::node(const model::NodeId &Node) const {
  const std::optional<model::VmId> Vm = m_Members.vmOf(Node);
  if (!Vm)
    return std::nullopt;
  return m_Members.find(*Vm)->m_Info;
}

void MembershipView::sendDueHeartbeats(model::TimePoint Now,
                                       ports::EffectList &Out) {
  for (auto &[Peer, Link] : m_Links.links()) {
    const bool HasUpdates = Link.m_Urgent || m_Updates.hasUpdatesFor(Peer) ||
                            m_Generations.hasUpdatesFor(Peer);
    const model::Duration Wait = HasUpdates       ? MinHeartbeatInterval
                                 : relaysTo(Link) ? HeartbeatPeriod
                                                  : ExtraHeartbeatPeriod;
    if (Now - Link.m_LastSent >= Wait)
      sendHeartbeat(Peer, Now, Out);
  }
}

void MembershipView::sendHeartbeat(const model::NodeId &To,
                                   model::TimePoint Now,
                                   ports::EffectList &Out) {
  PeerLinks::Link *Link = m_Links.find(To);
  if (!Link)
    return;
  ports::Heartbeat Beat{.m_Sequence = ++m_Sequence,
                        .m_Generation = m_Generations.own(),
                        .m_Leaving = isLeaving()};
  const UpdateQueue::Batch Batch = m_Updates.take(To, Now);
  for (const model::VmId &Vm : Batch.m_Vms)
    if (const MemberTable::Member *Known = m_Members.find(Vm))
      Beat.m_NodeUpdates.push_back(Known->m_Info);
  for (const model::EndpointId &Endpoint : Batch.m_Endpoints)
    if (const EndpointTable::OptionalStatement Known =
            m_Endpoints.findStatement(Endpoint))
      Beat.m_EndpointUpdates.push_back(*Known);
  Beat.m_Progress = m_Generations.take(To, MaxProgressHashesPerHeartbeat);
  Beat.m_LastReceivedSequence = Link->m_PeerSequence;
  Beat.m_MembersDigest = m_Members.digest();
  Beat.m_Neighbour = m_Links.isNeighbour(*Link);
  Link->m_LastSent = Now;
  Link->m_Urgent = false;
  Out.push_back(ports::PeerSend{To, std::move(Beat)});
}

} // namespace bronzepass::core::membership
