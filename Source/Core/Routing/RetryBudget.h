#ifndef BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H
#define BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H

#include "Core/Model/Time.h"
#include "Core/Routing/Seconds.h"

#include <algorithm>

namespace bronzepass::core::routing {

/// Limits retries to a share of the arriving requests, so that they can't turn
/// a fault into an overload. A minimum rate per second lets a node with little
/// traffic retry.
class RetryBudget {
public:
  RetryBudget(double Ratio, double MinPerSecond)
      : m_Ratio(Ratio), m_MinPerSecond(MinPerSecond),
        m_Available(MinPerSecond) {}

  void onRequestArrived() { add(m_Ratio); }

  /// Takes one retry from the budget; false if none is left.
  bool tryTake(model::TimePoint Now) {
    add(m_MinPerSecond * std::min(1.0, toSeconds(Now - m_RefilledAt)));
    m_RefilledAt = Now;
    if (m_Available < 1)
      return false;
    m_Available -= 1;
    return true;
  }

private:
  // Capacity of the budget, in seconds of the minimum rate.
  static constexpr double CapacitySeconds = 10;

  void add(double Amount) {
    m_Available =
        std::min(m_Available + Amount, m_MinPerSecond * CapacitySeconds);
  }

  double m_Ratio;
  double m_MinPerSecond;
  double m_Available;
  model::TimePoint m_RefilledAt;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H
