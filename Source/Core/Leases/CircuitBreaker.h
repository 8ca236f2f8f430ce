#ifndef BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H
#define BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H

#include "Core/Model/Time.h"
#include "Core/Ports/Ports.h"

#include <cstdint>

namespace bronzepass::core::leases {

/// Uniform in (0, \p Most]: back-off with full jitter.
model::Duration fullJitter(model::Duration Most, ports::Random &Source);

/// \p Base doubled \p Doublings times, at most \p Most.
model::Duration exponential(model::Duration Base, uint32_t Doublings,
                            model::Duration Most);

struct CircuitSettings {
  /// Failures in a row that open the circuit.
  uint32_t m_Failures = 5;
  /// Longest wait before the first probe; doubles with each failed probe.
  model::Duration m_OpenBase = std::chrono::milliseconds(500);
  model::Duration m_OpenMax = std::chrono::seconds(5);
};

/// Keeps calls from an object API that does not answer: after some failures in
/// a row only one probe at a time goes out, until one succeeds.
class CircuitBreaker {
public:
  CircuitBreaker(const CircuitSettings &Settings, ports::Random &Source)
      : m_Settings(Settings), m_Random(Source) {}

  bool isOpen() const { return m_Open; }
  /// Whether a call may leave now; while open, only as the one probe.
  bool admits(model::TimePoint Now) const;
  /// A call has left.
  void onSent();
  void onSuccess();
  void onFailure(model::TimePoint Now);

private:
  CircuitSettings m_Settings;
  ports::Random &m_Random;
  bool m_Open = false;
  bool m_Probing = false;
  uint32_t m_FailuresInRow = 0;
  uint32_t m_FailedProbes = 0;
  model::TimePoint m_ProbeAt;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H
