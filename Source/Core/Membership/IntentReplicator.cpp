#include "Core/Membership/IntentReplicator.h"

#include "Core/Membership/IntentParts.h"

#include <algorithm>
#include <variant>

namespace bronzepass::core::membership {

namespace {

/// A peer that still has an older generation is offered the new one again after
/// this long.
constexpr model::Duration OfferRetryPeriod = std::chrono::seconds(3);
/// How long a starting node waits for peers that don't answer.
constexpr model::Duration PeerGrace = std::chrono::seconds(3);
/// Number of peers from which a node must have received a heartbeat before it
/// takes the generations they report to be the newest.
constexpr size_t MinPeersHeard = 2;

std::string subjectOf(const model::IntentHead &Head) {
  return "generation " + std::to_string(Head.m_Generation.m_Value);
}

} // namespace

IntentReplicator::IntentReplicator(const ports::IntentReader &Reader,
                                   StoreSubmitter Submit, ports::Random &Random)
    : m_Reader(Reader), m_Submit(std::move(Submit)), m_Random(Random),
      m_Watch(m_Submit, Random) {}

void IntentReplicator::start(model::TimePoint Now, ports::EffectList &Out) {
  m_StartedAt = Now;
  tick(Now, Out);
}

void IntentReplicator::setWatching(bool Watching) {
  m_WatchAssigned = Watching;
}

void IntentReplicator::tick(model::TimePoint Now, ports::EffectList &Out) {
  const bool Alone = m_Peers.empty() && Now - m_StartedAt >= PeerGrace;
  m_Watch.setWatching(m_WatchAssigned || Alone);
  m_Watch.tick(Now);
  if (m_Fetch)
    m_Fetch->tick(Now, Out);
  finishFetch(Now, Out);
}

bool IntentReplicator::onStoreAnswer(const ports::StoreAnswer &Answer,
                                     model::TimePoint Now,
                                     ports::EffectList &Out) {
  const IntentWatch::Outcome Seen = m_Watch.onStoreAnswer(Answer, Now);
  if (Seen.m_Head)
    considerHead(*Seen.m_Head, nullptr, Now, Out);
  if (Seen.m_IsOwnCall) {
    m_Watch.tick(Now);
    return true;
  }
  const bool IsOwnCall = m_Fetch && m_Fetch->onStoreAnswer(Answer, Now);
  finishFetch(Now, Out);
  return IsOwnCall;
}

void IntentReplicator::onPeerLinkChanged(const ports::PeerLinkChanged &Change,
                                         model::TimePoint,
                                         ports::EffectList &) {
  if (Change.m_Up) {
    m_Peers[Change.m_Peer] = {};
    return;
  }
  m_Peers.erase(Change.m_Peer);
  if (m_Fetch)
    m_Fetch->removePeer(Change.m_Peer);
}

void IntentReplicator::onPeerMessage(const ports::PeerMessageReceived &Received,
                                     model::TimePoint Now,
                                     ports::EffectList &Out) {
  const model::NodeId &From = Received.m_From;
  if (!m_Peers.contains(From))
    return;
  if (const auto *Greeting = std::get_if<ports::Hello>(&Received.m_Message))
    offerIfBehind(From, Greeting->m_Generation, Now, Out);
  else if (const auto *Beat =
               std::get_if<ports::Heartbeat>(&Received.m_Message)) {
    m_Peers[From].m_Heard = true;
    m_Peers[From].m_IsNeighbour = Beat->m_Neighbour;
    offerIfBehind(From, Beat->m_Generation, Now, Out);
  } else if (const auto *Offer =
                 std::get_if<ports::IntentOffer>(&Received.m_Message))
    considerHead(Offer->m_Head, &From, Now, Out);
  else if (const auto *Wanted =
               std::get_if<ports::IntentPartsRequest>(&Received.m_Message))
    sendParts(From, *Wanted, Out);
  else if (const auto *Sent =
               std::get_if<ports::IntentPartReply>(&Received.m_Message)) {
    if (m_Fetch)
      m_Fetch->onPartReceived(Sent->m_Part, Now, Out);
    finishFetch(Now, Out);
  }
}

void IntentReplicator::offerIfBehind(const model::NodeId &Peer,
                                     model::Generation Generation,
                                     model::TimePoint Now,
                                     ports::EffectList &Out) {
  PeerState &State = m_Peers[Peer];
  State.m_Generation = Generation;
  m_HighestSeen = std::max(m_HighestSeen, Generation);
  if (Generation >= m_Head.m_Generation)
    return;
  const bool JustOffered = State.m_Offered == m_Head.m_Generation &&
                           Now - State.m_OfferedAt < OfferRetryPeriod;
  if (!JustOffered)
    offer(Peer, Now, Out);
}

void IntentReplicator::offer(const model::NodeId &To, model::TimePoint Now,
                             ports::EffectList &Out) {
  PeerState &State = m_Peers[To];
  State.m_Offered = m_Head.m_Generation;
  State.m_OfferedAt = Now;
  Out.push_back(ports::PeerSend{To, ports::IntentOffer{m_Head}});
}

void IntentReplicator::sendParts(const model::NodeId &To,
                                 const ports::IntentPartsRequest &Wanted,
                                 ports::EffectList &Out) const {
  const size_t Count =
      std::min(Wanted.m_Hashes.size(), IntentFetch::PartsPerRequest);
  for (size_t I = 0; I < Count; ++I) {
    const auto Found = m_Parts.find(Wanted.m_Hashes[I]);
    if (Found != m_Parts.end())
      Out.push_back(ports::PeerSend{
          To, ports::IntentPartReply{{Found->first, Found->second}}});
  }
}

void IntentReplicator::considerHead(const model::IntentHead &Head,
                                    const model::NodeId *From,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  if (Head.m_Generation <= m_Head.m_Generation) {
    ++m_StaleHeads;
    return;
  }
  if (Head == m_RejectedHead || Head.m_PartHashes.size() > MaxParts)
    return;
  m_HighestSeen = std::max(m_HighestSeen, Head.m_Generation);
  const model::Generation Fetched =
      m_Fetch ? m_Fetch->head().m_Generation : model::Generation();
  if (Head.m_Generation < Fetched) {
    ++m_StaleHeads;
    return;
  }
  if (Head.m_Generation > Fetched)
    m_Fetch.emplace(Head, m_Parts, m_Submit, m_Random, Now);
  else if (Head != m_Fetch->head())
    return;
  if (From)
    m_Fetch->addPeer(*From);
  else
    m_Fetch->allowStore();
  m_Fetch->tick(Now, Out);
  finishFetch(Now, Out);
}

void IntentReplicator::finishFetch(model::TimePoint Now,
                                   ports::EffectList &Out) {
  if (!m_Fetch)
    return;
  if (m_Fetch->isComplete()) {
    putInForce(Now, Out);
    return;
  }
  if (!m_Fetch->isSuperseded())
    return;
  m_Fetch.reset();
  m_Watch.requestRead();
}

void IntentReplicator::putInForce(model::TimePoint Now,
                                  ports::EffectList &Out) {
  const IntentFetch Fetched = std::move(*m_Fetch);
  m_Fetch.reset();
  model::IntentDocument Document{Fetched.head(), {}};
  for (const auto &[Hash, Text] : Fetched.parts())
    Document.m_Parts.push_back({Hash, Text});
  const std::optional<std::string> Text = joinIntent(Document);
  if (!Text)
    return;
  ports::IntentReadResult Reading =
      m_Reader.read(*Text, subjectOf(Fetched.head()));
  if (!Reading.m_Intent || model::hasErrors(Reading.m_Findings))
    return rejectHead(Fetched.head(), Reading.m_Findings, Out);
  Reading.m_Intent->m_Generation = Fetched.head().m_Generation;
  m_Head = Fetched.head();
  m_Parts = Fetched.parts();
  m_InForce =
      std::make_shared<const model::Intent>(std::move(*Reading.m_Intent));
  Out.push_back(model::Decision{.m_Kind = model::DecisionKind::Intent,
                                .m_Subject = subjectOf(m_Head),
                                .m_Action = "adopt",
                                .m_Reason = m_Head.m_Author.empty()
                                                ? "newer than the one before"
                                                : "by " + m_Head.m_Author});
  for (const auto &[Peer, State] : m_Peers)
    if (State.m_IsNeighbour && State.m_Generation < m_Head.m_Generation)
      offer(Peer, Now, Out);
}

void IntentReplicator::rejectHead(const model::IntentHead &Head,
                                  const model::FindingList &Findings,
                                  ports::EffectList &Out) {
  m_RejectedHead = Head;
  std::string Reason;
  for (const model::Finding &Finding : Findings)
    Reason += (Reason.empty() ? "" : "; ") + model::toString(Finding);
  Out.push_back(model::Decision{.m_Kind = model::DecisionKind::Intent,
                                .m_Subject = subjectOf(Head),
                                .m_Action = "refuse",
                                .m_Reason = Reason});
}

bool IntentReplicator::isCaughtUp(model::TimePoint Now, bool HasOthers) const {
  const bool Behind =
      m_HighestSeen > m_Head.m_Generation &&
      !(m_RejectedHead && m_RejectedHead->m_Generation == m_HighestSeen);
  if (Behind)
    return false;
  const size_t Heard =
      std::count_if(m_Peers.begin(), m_Peers.end(),
                    [](const auto &Entry) { return Entry.second.m_Heard; });
  const bool GraceOver = Now - m_StartedAt >= PeerGrace;
  const bool PeersAsked = Heard >= MinPeersHeard || (Heard > 0 && GraceOver);
  if (m_Watch.hasRead())
    return PeersAsked || !HasOthers || GraceOver;
  return PeersAsked && m_InForce;
}

} // namespace bronzepass::core::membership
