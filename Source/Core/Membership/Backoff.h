#ifndef BRONZEPASS_CORE_MEMBERSHIP_BACKOFF_H
#define BRONZEPASS_CORE_MEMBERSHIP_BACKOFF_H

#include "Core/Model/Time.h"
#include "Core/Ports/Ports.h"

#include <algorithm>
#include <cstdint>

namespace bronzepass::core::membership {

/// Exponential back-off with full jitter: the n-th delay is drawn uniformly
/// from 0 to min(cap, base * 2^n) and raised to the floor.
class Backoff {
public:
  Backoff(model::Duration Base, model::Duration Cap)
      : m_Base(Base), m_Cap(Cap) {}

  /// The delay before the next try, after one more failure.
  model::Duration next(ports::Random &Random) {
    constexpr uint32_t MaxDoublings = 20;
    const model::Duration Window = std::min(m_Cap, m_Base * (1 << m_Failures));
    m_Failures = std::min(m_Failures + 1, MaxDoublings);
    const uint64_t Span = static_cast<uint64_t>(Window.count()) + 1;
    return std::max(Floor, model::Duration(Random.next() % Span));
  }

  void reset() { m_Failures = 0; }
  void setCap(model::Duration Cap) { m_Cap = Cap; }

private:
  static constexpr model::Duration Floor = std::chrono::milliseconds(20);

  model::Duration m_Base;
  model::Duration m_Cap;
  uint32_t m_Failures = 0;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_BACKOFF_H
