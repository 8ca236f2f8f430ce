#include "Core/Adapters/Gateway/GatewayTraffic.h"

namespace bronzepass::core::adapters::gateway {

namespace {

constexpr model::Duration ShortageLogPeriod = std::chrono::seconds(1);
/// A turn of the loop this long is logged, at most once a second: what arrives
/// meanwhile is decided late.
constexpr std::chrono::milliseconds LongTurn(250);
constexpr model::Duration LongTurnLogPeriod = std::chrono::seconds(1);

} // namespace

void GatewayTraffic::noteTurn(const net::EventLoop::Turn &Ended) {
  m_GatewayMetrics.observeTurn(Ended.m_Length);
  if (Ended.m_Length < LongTurn)
    return;
  const model::TimePoint Now = m_Clock.now();
  if (Now - m_LongTurnLoggedAt < LongTurnLogPeriod)
    return;
  m_LongTurnLoggedAt = Now;
  m_Log.write(
      "process", "busy",
      {{"thread", "traffic"},
       {"turn_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Ended.m_Length)
            .count()},
       {"events", static_cast<int64_t>(Ended.m_Events)}});
}

void GatewayTraffic::reportShortage() {
  const resources::MemoryCounters &Counters = m_CallerMemory.counters();
  const uint64_t Places = m_CallerServer.placesGivenUp();
  const uint64_t Pauses = m_CallerServer.acceptPauses();
  const model::TimePoint Now = m_Clock.now();
  const bool IsNews = Counters != m_LoggedCounters ||
                      Places != m_LoggedPlaces || Pauses != m_LoggedPauses;
  if (!IsNews || Now < m_ShortageLoggedAt + ShortageLogPeriod)
    return;
  const auto Since = [](uint64_t Newer, uint64_t Older) {
    return static_cast<int64_t>(Newer - Older);
  };
  const resources::MemoryCounters &Old = m_LoggedCounters;
  m_Log.write(
      "process", "callers_held_back",
      {{"waits", Since(Counters.m_Waits, Old.m_Waits)},
       {"lost_stalled", Since(Counters.m_LostStalled, Old.m_LostStalled)},
       {"lost_largest", Since(Counters.m_LostLargest, Old.m_LostLargest)},
       {"lost_crowded", Since(Counters.m_LostCrowded, Old.m_LostCrowded)},
       {"lost_answers", Since(Counters.m_LostAnswers, Old.m_LostAnswers)},
       {"places_given_up", Since(Places, m_LoggedPlaces)},
       {"accept_pauses", Since(Pauses, m_LoggedPauses)},
       {"small_bytes",
        static_cast<int64_t>(m_CallerMemory.smallRequests().inUse())},
       {"large_bytes",
        static_cast<int64_t>(m_CallerMemory.largeRequests().inUse())},
       {"answer_bytes",
        static_cast<int64_t>(m_CallerMemory.unsentAnswers().inUse())}});
  m_LoggedCounters = Counters;
  m_LoggedPlaces = Places;
  m_LoggedPauses = Pauses;
  m_ShortageLoggedAt = Now;
}

std::string GatewayTraffic::metricsText() {
  m_GatewayMetrics.setCallerMemory(m_CallerMemory);
  m_GatewayMetrics.setAnswerMemory(m_Driver.answerMemory());
  m_GatewayMetrics.setCallerPlaces(m_CallerServer.placesGivenUp(),
                                   m_CallerServer.acceptPauses());
  m_GatewayMetrics.setActive(m_Core.activeRequestCount(),
                             m_CallerServer.connectionCount());
  m_GatewayMetrics.setLinesDropped(m_Log.dropped());
  m_GatewayMetrics.setConfigAge(m_Core.configAge(m_Clock.now()));
  m_GatewayMetrics.setQuarantinedTraits(m_Core.quarantinedTraitCount());
  m_GatewayMetrics.setPacedEndpoints(m_Core.pacedEndpointCount());
  m_GatewayMetrics.setQuotas(m_Core.quotas().use(m_Clock.now()));
  m_GatewayMetrics.setConfigVersion(
      m_Core.table() ? m_Core.table()->config().m_Version : 0);
  return m_GatewayMetrics.text();
}

} // namespace bronzepass::core::adapters::gateway
