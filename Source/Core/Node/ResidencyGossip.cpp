#include "Core/Node/ResidencyGossip.h"

#include <algorithm>

namespace bronzepass::core::node {

void ResidencyGossip::setNeighbours(
    const std::vector<model::NodeId> &Neighbours) {
  std::erase_if(m_Untold, [&Neighbours](const auto &Entry) {
    return std::find(Neighbours.begin(), Neighbours.end(), Entry.first) ==
           Neighbours.end();
  });
  for (const model::NodeId &Peer : Neighbours) {
    auto Added = m_Untold.try_emplace(Peer);
    if (Added.second)
      Added.first->second = m_Book.endpoints();
  }
}

void ResidencyGossip::forget(const model::NodeId &Peer) { m_Untold.erase(Peer); }

void ResidencyGossip::taken(const model::EndpointId &Endpoint, bool Changed,
                           const model::NodeId *From) {
  auto Fetched = m_Fetches.find(Endpoint);
  if (Fetched != m_Fetches.end() && isKnown(Endpoint, Fetched->second.m_MadeAt))
    m_Fetches.erase(Fetched);
  if (!Changed)
    return;
  for (auto &Entry : m_Untold)
    if (!From || Entry.first != *From)
      Entry.second.insert(Endpoint);
}

bool ResidencyGossip::isKnown(const model::EndpointId &Endpoint,
                             model::TimePoint MadeAt) const {
  const model::EngineReport *Known = m_Book.find(Endpoint);
  return Known != nullptr && Known->m_MadeAt >= MadeAt;
}

void ResidencyGossip::offerReceived(const model::NodeId &From,
                                   const ports::ResidencyOffer &Offer,
                                   model::TimePoint Now,
                                   ports::EffectList &Out) {
  ports::ResidencyRequest Wanted;
  auto Untold = m_Untold.find(From);
  for (const ports::OfferedReport &Each : Offer.m_OfferedReports) {
    const model::EngineReport *Known = m_Book.find(Each.m_Endpoint);
    // Who offers it need not be offered it.
    if (Untold != m_Untold.end() && Known != nullptr &&
        Known->m_MadeAt == Each.m_MadeAt)
      Untold->second.erase(Each.m_Endpoint);
    if (isKnown(Each.m_Endpoint, Each.m_MadeAt))
      continue;
    auto Found = m_Fetches.find(Each.m_Endpoint);
    if (Found != m_Fetches.end() && Each.m_MadeAt <= Found->second.m_MadeAt) {
      Found->second.m_Others.push_back(From);
      continue;
    }
    m_Fetches[Each.m_Endpoint] = {Each.m_MadeAt, Now, {}};
    Wanted.m_Endpoints.push_back(Each.m_Endpoint);
  }
  if (!Wanted.m_Endpoints.empty())
    Out.push_back(ports::PeerSend{From, std::move(Wanted)});
}

void ResidencyGossip::wantedReceived(const model::NodeId &From,
                                    const ports::ResidencyRequest &Wanted,
                                    ports::EffectList &Out) const {
  ports::ResidencyReply Share;
  for (const model::EndpointId &Endpoint : Wanted.m_Endpoints) {
    if (const model::EngineReport *Known = m_Book.find(Endpoint))
      Share.m_Reports.push_back(*Known);
    if (Share.m_Reports.size() < MaxReports)
      continue;
    Out.push_back(ports::PeerSend{From, std::move(Share)});
    Share = {};
  }
  if (!Share.m_Reports.empty())
    Out.push_back(ports::PeerSend{From, std::move(Share)});
}

void ResidencyGossip::offer(const model::NodeId &To,
                           std::set<model::EndpointId> &Untold,
                           ports::EffectList &Out) const {
  ports::ResidencyOffer Offer;
  while (!Untold.empty() && Offer.m_OfferedReports.size() < MaxOffered) {
    if (const model::EngineReport *Known = m_Book.find(*Untold.begin()))
      Offer.m_OfferedReports.push_back({Known->m_Endpoint, Known->m_MadeAt});
    Untold.erase(Untold.begin());
  }
  if (!Offer.m_OfferedReports.empty())
    Out.push_back(ports::PeerSend{To, std::move(Offer)});
}

void ResidencyGossip::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (m_NextOfferAt && Now < *m_NextOfferAt)
    return;
  m_NextOfferAt = Now + OfferSpacing;
  for (auto &Entry : m_Untold)
    offer(Entry.first, Entry.second, Out);
  for (auto It = m_Fetches.begin(); It != m_Fetches.end();) {
    Fetch &Each = It->second;
    if (Now < Each.m_AskedAt + AnswerTimeout) {
      ++It;
      continue;
    }
    if (Each.m_Others.empty()) {
      It = m_Fetches.erase(It);
      continue;
    }
    Each.m_AskedAt = Now;
    Out.push_back(ports::PeerSend{Each.m_Others.back(),
                                  ports::ResidencyRequest{{It->first}}});
    Each.m_Others.pop_back();
    ++It;
  }
}

} // namespace bronzepass::core::node
