#ifndef BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H
#define BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H

#include <algorithm>

namespace bronzepass::core::gateway {

/// What the prefill of one more prompt at an engine is predicted to take.
struct PrefillEstimate {
  /// Prefill time of the prompt itself, and of the prompts queued before it.
  double m_OwnMs = 0;
  double m_AheadMs = 0;
  /// Requests running at the engine.
  double m_Running = 0;
  /// Prompts read in a row beyond this begin to make the streams beside them
  /// late.
  double m_LongMs = 0;
};

/// Cost in ms per ms of prefill for each running request that it stalls.
constexpr double StallWeight = 0.15;
/// Cost in ms per ms of prefill beyond PrefillEstimate::m_LongMs.
constexpr double LongPrefillWeight = 2;

/// Total cost of the prefill to all callers, in milliseconds. Accounts for
/// single long prompts among many streams: a batch
/// stands still while a prompt is read, and one of some thousand tokens makes
/// every stream late that runs beside it.
inline double prefillCostMs(const PrefillEstimate &Reading) {
  const double Whole = Reading.m_AheadMs + Reading.m_OwnMs;
  return Whole + StallWeight * Reading.m_OwnMs * Reading.m_Running +
         LongPrefillWeight * std::max(0.0, Whole - Reading.m_LongMs);
}

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H
