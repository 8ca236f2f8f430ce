#include "Core/Gateway/RequestRateShare.h"

#include <algorithm>

namespace bronzepass::core::gateway {

namespace {

constexpr double SecondsPerMicro = 1e-6;
constexpr double MicrosPerSecond = 1e6;
/// An endpoint that takes nothing is still tried now and then, since only its
/// answers tell that it takes requests again.
constexpr double MinRequestsPerSecond = 0.2;
/// What nodes that send little may save up in any case, over all nodes.
constexpr double SavedRequests = 2;
constexpr model::Duration MaxTimeToNext = std::chrono::seconds(10);

double seconds(model::Duration Value) {
  return static_cast<double>(Value.count()) * SecondsPerMicro;
}

/// In [0, 1).
double uniform(uint64_t Random) {
  constexpr uint32_t Bits = 53;
  return static_cast<double>(Random >> (64U - Bits)) /
         static_cast<double>(1ULL << Bits);
}

} // namespace

RequestRateShare::RequestRateShare(double LimitPerSecond, uint32_t NodeCount,
                                   model::TimePoint Now)
    : m_RefilledAt(Now) {
  setLimit(LimitPerSecond, NodeCount, Now);
}

void RequestRateShare::setLimit(double LimitPerSecond, uint32_t NodeCount,
                                model::TimePoint Now) {
  refill(Now);
  m_LimitPerSecond = LimitPerSecond;
  const double Total = std::max(LimitPerSecond, MinRequestsPerSecond);
  const double Nodes = std::max(1U, NodeCount);
  m_TokensPerSecond = Total / Nodes;
  m_MaxTokens = (m_SavedSeconds * Total + SavedRequests) / Nodes;
  m_Tokens = std::min(m_Tokens, m_MaxTokens);
}

void RequestRateShare::refill(model::TimePoint Now) {
  m_Tokens = std::min(m_MaxTokens, m_Tokens + seconds(Now - m_RefilledAt) *
                                                  m_TokensPerSecond);
  m_RefilledAt = Now;
}

bool RequestRateShare::allows(model::TimePoint Now, uint64_t Random) {
  refill(Now);
  if (holdsWholeTokens())
    return m_Tokens >= 1;
  if (uniform(Random) < m_Tokens)
    return true;
  m_Tokens = 0;
  return false;
}

void RequestRateShare::take(model::TimePoint Now) {
  refill(Now);
  m_Tokens = holdsWholeTokens() ? m_Tokens - 1 : 0;
}

model::Duration RequestRateShare::timeToNext(model::TimePoint Now) const {
  const double Seconds =
      holdsWholeTokens()
          ? (1 - m_Tokens) / m_TokensPerSecond - seconds(Now - m_RefilledAt)
          : 1 / m_TokensPerSecond;
  return std::clamp(
      model::Duration(static_cast<int64_t>(Seconds * MicrosPerSecond)),
      model::Duration::zero(), MaxTimeToNext);
}

} // namespace bronzepass::core::gateway
