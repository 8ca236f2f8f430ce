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

/// What it costs all callers to have the prompt read there, in milliseconds.
/// Answers the pattern of single long prompts between many streams: a batch
/// stands still while a prompt is read, and one of some thousand tokens makes
/// every stream late that runs beside it.
inline double promptHoldUpMs(const PromptReading &Reading) {
  const double Whole = Reading.m_AheadMs + Reading.m_OwnMs;
  return Whole + HoldUpShare * Reading.m_OwnMs * Reading.m_Running +
         LongPrefillWeight * std::max(0.0, Whole - Reading.m_LongMs);
}

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PROMPTHOLDUP_H
