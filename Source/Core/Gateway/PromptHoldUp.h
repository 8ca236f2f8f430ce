#ifndef BRONZEPASS_CORE_GATEWAY_PROMPTHOLDUP_H
#define BRONZEPASS_CORE_GATEWAY_PROMPTHOLDUP_H

#include <algorithm>

namespace bronzepass::core::gateway {

/// A prompt that an engine would read beside what it runs.
struct PromptReading {
  /// To read it, and to read those that wait there already.
  double m_OwnMs = 0;
  double m_AheadMs = 0;
  /// Requests that run there.
  double m_Running = 0;
  /// Prompts read in a row beyond this begin to make the streams beside them
  /// late.
  double m_LongMs = 0;
};

// Weights in milliseconds of the caller's time, set by trials.

/// What each millisecond of reading costs each request that stands still.
constexpr double HoldUpShare = 0.15;
/// What each millisecond beyond PromptReading::m_LongMs costs the request.
constexpr double LongPrefillWeight = 2;
/// What it costs to make one running stream late.
constexpr double LateStreamMs = 200;
/// Parts of PromptReading::m_LongMs at which no stream is late yet, and at
/// which each is: readings are estimates, and long prompts take more for each
/// token.
constexpr double RiskFrom = 0.8;
constexpr double RiskFull = 1.6;

/// Share of the running streams that become late while prompts are read for
/// \p ReadingMs in a row.
inline double lateShare(double ReadingMs, double LongMs) {
  if (LongMs <= 0)
    return 0;
  return std::clamp((ReadingMs / LongMs - RiskFrom) / (RiskFull - RiskFrom),
                    0.0, 1.0);
}

/// What it costs all callers to have the prompt read there, in milliseconds.
/// Answers the pattern of single long prompts between many streams: a batch
/// stands still while a prompt is read, and one of some thousand tokens makes
/// every stream late that runs beside it.
inline double promptHoldUpMs(const PromptReading &Reading) {
  const double Whole = Reading.m_AheadMs + Reading.m_OwnMs;
  const double Late = lateShare(Whole, Reading.m_LongMs) -
                      lateShare(Reading.m_AheadMs, Reading.m_LongMs);
  return Whole + HoldUpShare * Reading.m_OwnMs * Reading.m_Running +
         LongPrefillWeight * std::max(0.0, Whole - Reading.m_LongMs) +
         LateStreamMs * Reading.m_Running * Late;
}

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PROMPTHOLDUP_H
