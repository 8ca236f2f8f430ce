#include "Core/Adapters/Gateway/GatewayTraffic.h"

#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Between two announcements.
constexpr model::Duration AnnouncePeriod = std::chrono::seconds(1);
constexpr model::Duration GreetingCheckPeriod = std::chrono::milliseconds(100);
/// The control thread is told no more often of one source.
constexpr model::Duration SourceTellPeriod = std::chrono::milliseconds(500);

} // namespace

void GatewayTraffic::setStoreReach(const gateway::StoreReach &Reach) {
  m_Thread.loop().post([this, Reach] {
    const bool IsNews = Reach.m_Announces && !m_Reach.m_Announces;
    m_Reach = Reach;
    if (IsNews)
      announce();
  });
}

void GatewayTraffic::tickAnnouncement() {
  if ((m_HoldsLease || m_Reach.m_Announces) &&
      m_Clock.now() >= m_AnnouncedAt + AnnouncePeriod)
    announce();
}

void GatewayTraffic::announce() {
  const model::TimePoint Now = m_Clock.now();
  m_AnnouncedAt = Now;
  std::vector<model::Address> Told = m_Peers.takeOthers(false, Now);
  // Other notices don't tell which holding it is.
  if (m_HoldsLease)
    for (const model::Address &Each : m_Peers.takeLoadTargets(Now))
      Told.push_back(Each);
  sendAnnouncement(Told);
}

void GatewayTraffic::greetPeers() {
  const model::TimePoint Now = m_Clock.now();
  if (Now < m_GreetedAt + GreetingCheckPeriod)
    return;
  m_GreetedAt = Now;
  const std::vector<model::Address> Greeted = m_Peers.takeGreetings(Now);
  if (!Greeted.empty())
    sendAnnouncement(Greeted);
}

void GatewayTraffic::sendAnnouncement(const std::vector<model::Address> &To) {
  gateway::PeerNotice Notice;
  Notice.m_Quotas.m_IsAnnouncement = true;
  if (m_HoldsLease)
    Notice.m_Quotas.m_Holding = m_Holding;
  sendNotice(std::move(Notice), To);
}

void GatewayTraffic::noteSender(const gateway::PeerNotice &Notice,
                                gateway::Peer &Sender) {
  Sender.m_HoldsLease = Notice.m_HoldsLease;
  Sender.m_IsStoreRefused = Notice.m_IsStoreRefused;
  const model::TimePoint Now = m_Clock.now();
  if (!Notice.m_IsSource) {
    if (std::exchange(Sender.m_SourceToldAt, std::nullopt))
      m_Events.onSourceLost(Notice.m_From);
    return;
  }
  if (Sender.m_SourceToldAt && Now < *Sender.m_SourceToldAt + SourceTellPeriod)
    return;
  Sender.m_SourceToldAt = Now;
  m_Events.onSourceHeard({Notice.m_From, Sender.m_Address, {}, 0});
}

} // namespace bronzepass::core::adapters::gateway
