#include "Core/Membership/MembershipView.h"

#include "Core/Membership/MembershipTiming.h"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace bronzepass::core::membership {

namespace {

/// Heartbeats with another digest before the whole table is told.
constexpr uint32_t BeatsBeforeTelling = 3;
constexpr model::Duration TellingPause = std::chrono::seconds(30);

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
  m_LastSeen = Now;
  m_NextListAt = Now;
  m_Members.merge(m_Self, Now);
  tick(Now, Out);
}

void MembershipView::detectPause(model::TimePoint Now, ports::EffectList &Out) {
  const bool Paused = m_Started && Now - m_LastSeen >= PauseLimit;
  m_LastSeen = Now;
  if (!Paused)
    return;
  m_Unsure = true;
  m_AwakeSequence = m_Sequence + 1;
  m_NextListAt = Now;
  m_Links.forgiveSilence(Now);
  for (auto &[Peer, Link] : m_Links.links())
    Link.m_Urgent = true;
  Out.push_back(decision(m_Self.m_Node.str(), "hold",
                         "woke after a pause; peers may count it out"));
}

void MembershipView::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (Now >= m_NextListAt) {
    const model::Duration Period =
        watchesForDomain() ? VmListPeriodWatcher : VmListPeriodOther;
    const uint64_t Half = static_cast<uint64_t>(Period.count()) / 2;
    m_NextListAt = Now + Period / 2 + model::Duration(m_Random.next() % Half);
    Out.push_back(ports::VmListWanted());
  }
  for (const model::NodeId &Peer : m_Links.tick(Now, Out))
    forgetLink(Peer);
  judgeSilent(Now, Out);
  m_Members.forgetGone(Now);
  refreshOverlay(Now);
  sendDueHeartbeats(Now, Out);
}

void MembershipView::onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                                       model::TimePoint Now,
                                       ports::EffectList &Out) {
  if (!Change.m_Up) {
    m_Links.down(Change.m_Peer, Change.m_Vm, Now);
    forgetLink(Change.m_Peer);
    return;
  }
  m_Links.up(Change.m_Peer, Change.m_Vm, Now);
  followNeighbours();
  sendHeartbeat(Change.m_Peer, Now, Out);
}

void MembershipView::followNeighbours() {
  for (const auto &[Peer, Link] : m_Links.links()) {
    const bool Relays = relaysTo(Link);
    if (Relays == m_Relays.contains(Peer))
      continue;
    if (!Relays) {
      forgetLink(Peer);
      continue;
    }
    m_Relays.insert(Peer);
    m_News.linkUp(Peer);
    m_Generations.linkUp(Peer);
    for (const model::EndpointState &Statement : m_Endpoints.statements())
      m_News.addFor(Peer, Statement.m_Endpoint);
  }
}

bool MembershipView::relaysTo(const PeerLinks::Link &Link) const {
  return Link.m_CountsUs || m_Links.isNeighbour(Link);
}

std::vector<model::NodeId> MembershipView::neighbours() const {
  return {m_Relays.begin(), m_Relays.end()};
}

void MembershipView::forgetLink(const model::NodeId &Peer) {
  m_Relays.erase(Peer);
  m_News.linkDown(Peer);
  m_Generations.linkDown(Peer);
  m_Mismatches.erase(Peer);
}

void MembershipView::onPeerMessage(const ports::PeerReceived &Received,
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
  m_Links.bind(From, Hello.m_Node.m_Vm);
  followNeighbours();
  learn(Hello.m_Node, From, Now, Out);
  // A peer that others count out must hear of it to refute it.
  const MemberTable::Member *Known = m_Members.find(Hello.m_Node.m_Vm);
  if (Known && supersedes(Known->m_Info, Hello.m_Node))
    m_News.addFor(From, Hello.m_Node.m_Vm);
}

void MembershipView::applyHeartbeat(const model::NodeId &From,
                                    const ports::Heartbeat &Beat,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  PeerLinks::Link *Link = m_Links.find(From);
  if (Beat.m_Sequence <= Link->m_PeerSequence)
    return;
  Link->m_PeerSequence = Beat.m_Sequence;
  Link->m_CountsUs = Beat.m_Neighbour;
  followNeighbours();
  for (const model::NodeInfo &Statement : Beat.m_NodeNews)
    learn(Statement, From, Now, Out);
  for (const model::EndpointState &Statement : Beat.m_EndpointNews)
    if (m_Endpoints.merge(Statement))
      tell(Statement, From);
  m_Generations.heard(From, Beat.m_Generation);
  m_Generations.merge(From, Beat.m_Progress);
  compareDigest(From, Beat.m_MembersDigest, Now);
  if (m_Unsure && Beat.m_Echo >= m_AwakeSequence)
    confirm("a peer counts it in", Out);
}

void MembershipView::learn(const model::NodeInfo &Statement,
                           const model::NodeId &From, model::TimePoint Now,
                           ports::EffectList &Out) {
  if (Statement.m_Vm == m_Self.m_Vm)
    return learnOfSelf(Statement, Now, Out);
  const MemberTable::Member *Known = m_Members.find(Statement.m_Vm);
  const bool WasSuspect =
      Known && Known->m_Info.m_Liveness == model::Liveness::Suspect;
  const bool WasNews =
      !Known || Known->m_Info.m_Liveness != Statement.m_Liveness;
  if (!m_Members.merge(Statement, Now))
    return;
  if (WasSuspect && Statement.m_Liveness == model::Liveness::Live)
    m_Refuted[Statement.m_Vm] = Now;
  m_News.add(Statement.m_Vm, From);
  if (WasNews)
    Out.push_back(decision(Statement.m_Node.str(), nameOf(Statement.m_Liveness),
                           "heard from " + From.str()));
}

void MembershipView::learnOfSelf(const model::NodeInfo &Statement,
                                 model::TimePoint Now, ports::EffectList &Out) {
  if (!supersedes(Statement, m_Self))
    return;
  if (Statement.m_Node != m_Self.m_Node) {
    m_Replaced = true;
    Out.push_back(decision(m_Self.m_Node.str(), "replaced",
                           "a newer process of this VM is up"));
    return;
  }
  // Only the platform's list makes others say that this node is leaving.
  if (Statement.m_Liveness == model::Liveness::Leaving)
    m_Self.m_Liveness = model::Liveness::Leaving;
  else
    Out.push_back(decision(m_Self.m_Node.str(), "refute",
                           "peers took it for " +
                               std::string(nameOf(Statement.m_Liveness))));
  m_Self.m_Incarnation = Statement.m_Incarnation + 1;
  m_Members.merge(m_Self, Now);
  m_News.add(m_Self.m_Vm, model::NodeId());
}

void MembershipView::confirm(const std::string &Reason,
                             ports::EffectList &Out) {
  m_Unsure = false;
  Out.push_back(decision(m_Self.m_Node.str(), "resume", Reason));
}

void MembershipView::compareDigest(const model::NodeId &From, uint64_t Digest,
                                   model::TimePoint Now) {
  if (!m_Relays.contains(From))
    return;
  Mismatch &State = m_Mismatches[From];
  if (Digest == m_Members.digest()) {
    State.m_Beats = 0;
    return;
  }
  if (++State.m_Beats < BeatsBeforeTelling ||
      Now - State.m_ToldAt < TellingPause)
    return;
  State = {0, Now};
  for (const auto &[Vm, Known] : m_Members.all())
    m_News.addFor(From, Vm);
}

void MembershipView::tell(const model::EndpointState &Statement,
                          const model::NodeId &From) {
  m_News.add(Statement.m_Endpoint, From);
}

void MembershipView::noteEndpoint(const EndpointTable::News &News) {
  if (News)
    tell(*News, model::NodeId());
}

void MembershipView::onEndpointObserved(const ports::EndpointSeen &Seen,
                                        model::TimePoint Now) {
  noteEndpoint(Seen.m_Refused ? m_Endpoints.refused(Seen.m_Endpoint, Now)
                              : m_Endpoints.answered(Seen.m_Endpoint));
}

void MembershipView::onReportFailed(const ports::ReportMissed &Missed,
                                    model::TimePoint Now) {
  if (Missed.m_Refused)
    noteEndpoint(m_Endpoints.refused(Missed.m_Endpoint, Now));
}

void MembershipView::onReport(const model::EngineReport &Report,
                              model::TimePoint) {
  noteEndpoint(m_Endpoints.answered(Report.m_Endpoint));
}

void MembershipView::setIntent(const model::Intent &Intent, model::TimePoint) {
  m_Endpoints.setIntent(Intent);
  m_Generations.setOwn(Intent.m_Generation);
}

void MembershipView::leave(model::TimePoint Now, ports::EffectList &Out) {
  m_Self.m_Liveness = model::Liveness::Leaving;
  ++m_Self.m_Incarnation;
  m_Members.merge(m_Self, Now);
  m_News.add(m_Self.m_Vm, model::NodeId());
  for (const model::NodeId &Peer : linkedPeers())
    sendHeartbeat(Peer, Now, Out);
}

void MembershipView::requestLink(const model::NodeId &Peer,
                                 model::TimePoint Now) {
  const std::optional<model::VmId> Vm = m_Members.vmOf(Peer);
  if (Vm && *Vm != m_Self.m_Vm)
    m_Links.wantExtra(*Vm, Now);
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
    const bool HasNews = Link.m_Urgent || m_News.hasNewsFor(Peer) ||
                         m_Generations.hasNewsFor(Peer);
    const model::Duration Wait = HasNews          ? NewsDelay
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
  const NewsQueue::Batch Batch = m_News.take(To, Now);
  for (const model::VmId &Vm : Batch.m_Vms)
    if (const MemberTable::Member *Known = m_Members.find(Vm))
      Beat.m_NodeNews.push_back(Known->m_Info);
  for (const model::EndpointId &Endpoint : Batch.m_Endpoints)
    if (const EndpointTable::News Known = m_Endpoints.statementOf(Endpoint))
      Beat.m_EndpointNews.push_back(*Known);
  Beat.m_Progress = m_Generations.take(To, MaxProgressPerHeartbeat);
  Beat.m_Echo = Link->m_PeerSequence;
  Beat.m_MembersDigest = m_Members.digest();
  Beat.m_Neighbour = m_Links.isNeighbour(*Link);
  Link->m_LastSent = Now;
  Link->m_Urgent = false;
  Out.push_back(ports::PeerSend{To, std::move(Beat)});
}

} // namespace bronzepass::core::membership
