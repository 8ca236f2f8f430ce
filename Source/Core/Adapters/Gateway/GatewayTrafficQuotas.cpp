#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;
namespace organisations = core::organisations;

namespace {

/// For requests that came just after the holder was asked.
constexpr std::chrono::milliseconds NextAskDelay(5);

} // namespace

void GatewayTraffic::setHeldLease(std::optional<model::HeldLease> Held) {
  m_Thread.loop().post([this, Held = std::move(Held)] {
    const bool IsGained = Held && !m_HoldsLease;
    m_HoldsLease = Held.has_value();
    if (!Held) {
      m_QuotaKeeper.release();
      return;
    }
    m_Holding = Held->m_Token.m_Value;
    m_QuotaKeeper.hold(m_Holding, Held->m_ValidUntil, m_Clock.now());
    m_Core.quotas().onHolder(m_Holding);
    if (IsGained)
      announce();
  });
}

void GatewayTraffic::updateQuotaNodes() {
  std::set<uint64_t> Nodes = {model::stableHash(m_Self.str())};
  for (const auto &Each : m_Peers.peers())
    Nodes.insert(model::stableHash(Each.first.str()));
  m_QuotaKeeper.setNodes(Nodes, m_Clock.now());
}

void GatewayTraffic::askQuotas() {
  m_IsQuotaAskPosted = false;
  const model::TimePoint Now = m_Clock.now();
  std::optional<organisations::QuotaNotice> Asked =
      m_Core.quotas().takeAsk(Now);
  if (!Asked) {
    if (m_Core.quotas().isUrgent()) {
      m_IsQuotaAskPosted = true;
      m_Thread.loop().runAfter(NextAskDelay, [this] { askQuotas(); });
    }
    return;
  }
  if (m_QuotaKeeper.holds(Now)) {
    if (const std::optional<organisations::QuotaNotice> Answer =
            m_QuotaKeeper.onAsk(
                {model::stableHash(m_Self.str()), Asked->m_AskerStart}, *Asked,
                Now))
      onQuotaAnswer(*Answer);
    return;
  }
  const gateway::Peer *Holder = nullptr;
  for (const auto &Each : m_Peers.peers())
    if (Each.second.m_HoldsLease &&
        (!Holder || Each.second.m_LastHeardAt > Holder->m_LastHeardAt))
      Holder = &Each.second;
  if (!Holder)
    return;
  gateway::PeerNotice Notice;
  Notice.m_Quotas = std::move(*Asked);
  sendNotice(std::move(Notice), {Holder->m_Address});
}

void GatewayTraffic::tickQuotas() {
  if (!m_Core.quotas().isNeeded())
    return;
  askQuotas();
  const model::TimePoint Now = m_Clock.now();
  if (m_Core.quotas().isInTouch(Now) == m_HasQuotaHolder)
    return;
  m_HasQuotaHolder = !m_HasQuotaHolder;
  m_Log.write("quota", m_HasQuotaHolder ? "holder_regained" : "holder_lost",
              {{"reason", m_HasQuotaHolder
                              ? ""
                              : "the holder of quotas does not answer; this "
                                "node spends its shares until they expire"}});
}

void GatewayTraffic::onQuotaNotice(const gateway::PeerNotice &Notice,
                                   const model::Address &From) {
  if (Notice.m_Quotas.m_IsAnnouncement)
    m_Core.quotas().onHolder(Notice.m_Quotas.m_Holding);
  if (!Notice.m_Quotas.m_Answers.empty())
    onQuotaAnswer(Notice.m_Quotas);
  if (Notice.m_Quotas.m_Asks.empty())
    return;
  const std::optional<organisations::QuotaNotice> Answer = m_QuotaKeeper.onAsk(
      {model::stableHash(Notice.m_From.str()), Notice.m_Quotas.m_AskerStart},
      Notice.m_Quotas, m_Clock.now());
  if (!Answer || Answer->m_Answers.empty())
    return;
  gateway::PeerNotice Reply;
  Reply.m_Quotas = *Answer;
  sendNotice(std::move(Reply), {From});
}

void GatewayTraffic::onQuotaAnswer(const organisations::QuotaNotice &Answer) {
  m_Driver.decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                      gateway::RelayEffectList &Out) {
    Core.onQuotaAnswer(Answer, Now, Out);
  });
}

} // namespace bronzepass::core::adapters::gateway
