#ifndef BRONZEPASS_CORE_RESIDENCY_LOADRATELIMITER_H
#define BRONZEPASS_CORE_RESIDENCY_LOADRATELIMITER_H

#include "Core/Model/Time.h"

#include <algorithm>
#include <chrono>

namespace bronzepass::core::residency {

/// A token bucket that keeps loads from the weight store within its rate. It
/// starts empty: the previous lease holder may have used up the burst.
class LoadRateLimiter {
public:
  /// Most loads that may start at the same time.
  static constexpr double Burst = 2;

  void setRate(double PerSecond) { m_PerSecond = PerSecond; }

  void startEmpty(model::TimePoint Now) {
    m_Tokens = 0;
    m_RefilledAt = Now;
  }

  /// Refills the bucket up to \p Now first.
  bool hasToken(model::TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(Now - m_RefilledAt).count();
    m_RefilledAt = Now;
    m_Tokens = std::min(Burst, m_Tokens + m_PerSecond * std::max(0.0, Seconds));
    return m_Tokens >= 1;
  }

  void takeToken() { m_Tokens -= 1; }

private:
  double m_PerSecond = 0;
  double m_Tokens = 0;
  model::TimePoint m_RefilledAt;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_LOADRATELIMITER_H
