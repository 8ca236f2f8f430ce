#include "Core/Adapters/Gateway/GatewayTraffic.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Between two announcements.
constexpr model::Duration AnnouncePeriod = std::chrono::seconds(1);
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
  m_AnnouncedAt = m_Clock.now();
  // Other notices don't tell which holding it is.
  const std::vector<model::Address> Told =
      m_HoldsLease ? std::vector<model::Address>() : noticeTargets();
  std::vector<model::Address> Others;
  for (const auto &Each : m_Peers)
    if (std::find(Told.begin(), Told.end(), Each.second.m_Address) ==
        Told.end())
      Others.push_back(Each.second.m_Address);
  gateway::PeerNotice Notice;
  Notice.m_Quotas.m_IsAnnouncement = true;
  if (m_HoldsLease)
    Notice.m_Quotas.m_Holding = m_Holding;
  sendNotice(std::move(Notice), Others);
}

void GatewayTraffic::noteSender(const gateway::PeerNotice &Notice,
                                Peer &Sender) {
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
