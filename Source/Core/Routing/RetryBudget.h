#ifndef BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H
#define BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H

#include "Core/Model/Time.h"
#include "Core/Routing/Seconds.h"

#include <algorithm>

namespace bronzepass::core::routing {

/// Keeps retries to a share of the requests that come in, so that they can't
/// turn a fault into an overload. A floor per second keeps a quiet node able
/// to retry.
class RetryBudget {
public:
  RetryBudget(double Ratio, double FloorPerSecond)
      : m_Ratio(Ratio), m_Floor(FloorPerSecond), m_Available(FloorPerSecond) {}

  void arrived() { add(m_Ratio); }

  /// Whether one more retry may be made; counts it.
  bool take(model::TimePoint Now) {
    add(m_Floor * std::min(1.0, toSeconds(Now - m_FilledAt)));
    m_FilledAt = Now;
    if (m_Available < 1)
      return false;
    m_Available -= 1;
    return true;
  }

private:
  // What may be saved up, in seconds of the floor.
  static constexpr double SavedSeconds = 10;

  void add(double Amount) {
    m_Available = std::min(m_Available + Amount, m_Floor * SavedSeconds);
  }

  double m_Ratio;
  double m_Floor;
  double m_Available;
  model::TimePoint m_FilledAt;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_RETRYBUDGET_H
