#ifndef BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H
#define BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H

#include <algorithm>

namespace bronzepass::core::gateway {

/// Predicted prefill time of one more prompt at an engine.
struct PrefillEstimate {
  /// Prefill time of the prompt itself, and of the prompts queued before it.
  double m_PrefillMs = 0;
  double m_QueuedPrefillMs = 0;
  /// Requests running at the engine.
  double m_RunningRequests = 0;
  /// Uninterrupted prefill longer than this delays the tokens of the streams
  /// that run at the same engine.
  double m_LongPrefillMs = 0;
};

/// Cost in ms per ms of prefill for each running request that it stalls.
constexpr double StallWeight = 0.15;
/// Cost in ms per ms of prefill beyond PrefillEstimate::m_LongPrefillMs.
constexpr double LongPrefillWeight = 2;

/// Total cost of the prefill to all callers, in milliseconds. Accounts for a
/// single long prompt among many streams: an engine generates no tokens during
/// a prefill, so a prompt of some thousand tokens delays every stream there.
inline double prefillCostMs(const PrefillEstimate &Estimate) {
  const double TotalPrefillMs =
      Estimate.m_QueuedPrefillMs + Estimate.m_PrefillMs;
  return TotalPrefillMs +
         StallWeight * Estimate.m_PrefillMs * Estimate.m_RunningRequests +
         LongPrefillWeight *
             std::max(0.0, TotalPrefillMs - Estimate.m_LongPrefillMs);
}

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PREFILLCOST_H
