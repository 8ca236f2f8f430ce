#include "Core/Node/ResidencyGossip.h"

#include <algorithm>

namespace bronzepass::core::node {

void ResidencyGossip::setNeighbours(
    const std::vector<model::NodeId> &Neighbours) {
  std::erase_if(m_PendingOffers, [&Neighbours](const auto &Entry) {
    return std::find(Neighbours.begin(), Neighbours.end(), Entry.first) ==
           Neighbours.end();
  });
  for (const model::NodeId &Peer : Neighbours) {
    auto Added = m_PendingOffers.try_emplace(Peer);
    if (Added.second)
      Added.first->second = m_Table.endpoints();
  }
}

void ResidencyGossip::forget(const model::NodeId &Peer) {
  m_PendingOffers.erase(Peer);
}

void ResidencyGossip::onReportStored(const model::EndpointId &Endpoint,
                                     bool Changed, const model::NodeId *From) {
  auto Fetched = m_Fetches.find(Endpoint);
  if (Fetched != m_Fetches.end() && isKnown(Endpoint, Fetched->second.m_MadeAt))
    m_Fetches.erase(Fetched);
  if (!Changed)
    return;
  for (auto &Entry : m_PendingOffers)
    if (!From || Entry.first != *From)
      Entry.second.insert(Endpoint);
}

bool ResidencyGossip::isKnown(const model::EndpointId &Endpoint,
                              model::TimePoint MadeAt) const {
  const model::EngineReport *Known = m_Table.find(Endpoint);
  return Known != nullptr && Known->m_MadeAt >= MadeAt;
}

void ResidencyGossip::onOffer(const model::NodeId &From,
                              const ports::ResidencyOffer &Offer,
                              model::TimePoint Now, ports::EffectList &Out) {
  ports::ResidencyRequest Request;
  auto Pending = m_PendingOffers.find(From);
  for (const ports::OfferedReport &Each : Offer.m_OfferedReports) {
    const model::EngineReport *Known = m_Table.find(Each.m_Endpoint);
    // The peer already has this report, so it needs no offer of it.
    if (Pending != m_PendingOffers.end() && Known != nullptr &&
        Known->m_MadeAt == Each.m_MadeAt)
      Pending->second.erase(Each.m_Endpoint);
    if (isKnown(Each.m_Endpoint, Each.m_MadeAt))
      continue;
    auto Found = m_Fetches.find(Each.m_Endpoint);
    if (Found != m_Fetches.end() && Each.m_MadeAt <= Found->second.m_MadeAt) {
      Found->second.m_OtherSources.push_back(From);
      continue;
    }
    m_Fetches[Each.m_Endpoint] = {Each.m_MadeAt, Now, {}};
    Request.m_Endpoints.push_back(Each.m_Endpoint);
  }
  if (!Request.m_Endpoints.empty())
    Out.push_back(ports::PeerSend{From, std::move(Request)});
}

void ResidencyGossip::onReportRequest(const model::NodeId &From,
                                      const ports::ResidencyRequest &Request,
                                      ports::EffectList &Out) const {
  ports::ResidencyReply Reply;
  for (const model::EndpointId &Endpoint : Request.m_Endpoints) {
    if (const model::EngineReport *Known = m_Table.find(Endpoint))
      Reply.m_Reports.push_back(*Known);
    if (Reply.m_Reports.size() < MaxReportsPerReply)
      continue;
    Out.push_back(ports::PeerSend{From, std::move(Reply)});
    Reply = {};
  }
  if (!Reply.m_Reports.empty())
    Out.push_back(ports::PeerSend{From, std::move(Reply)});
}

void ResidencyGossip::sendOffer(const model::NodeId &To,
                                std::set<model::EndpointId> &Pending,
                                ports::EffectList &Out) const {
  ports::ResidencyOffer Offer;
  while (!Pending.empty() &&
         Offer.m_OfferedReports.size() < MaxOfferedReports) {
    if (const model::EngineReport *Known = m_Table.find(*Pending.begin()))
      Offer.m_OfferedReports.push_back({Known->m_Endpoint, Known->m_MadeAt});
    Pending.erase(Pending.begin());
  }
  if (!Offer.m_OfferedReports.empty())
    Out.push_back(ports::PeerSend{To, std::move(Offer)});
}

void ResidencyGossip::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (m_NextOfferAt && Now < *m_NextOfferAt)
    return;
  m_NextOfferAt = Now + OfferInterval;
  for (auto &Entry : m_PendingOffers)
    sendOffer(Entry.first, Entry.second, Out);
  for (auto It = m_Fetches.begin(); It != m_Fetches.end();) {
    Fetch &Each = It->second;
    if (Now < Each.m_RequestedAt + AnswerTimeout) {
      ++It;
      continue;
    }
    if (Each.m_OtherSources.empty()) {
      It = m_Fetches.erase(It);
      continue;
    }
    Each.m_RequestedAt = Now;
    Out.push_back(ports::PeerSend{Each.m_OtherSources.back(),
                                  ports::ResidencyRequest{{It->first}}});
    Each.m_OtherSources.pop_back();
    ++It;
  }
}

} // namespace bronzepass::core::node
