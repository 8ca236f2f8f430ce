#include "Core/Adapters/Gateway/GatewayTraffic.h"

namespace bronzepass::core::adapters::gateway {

namespace {

constexpr model::Duration ShortageLogPeriod = std::chrono::seconds(1);

} // namespace

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

} // namespace bronzepass::core::adapters::gateway
