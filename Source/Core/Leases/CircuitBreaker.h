#ifndef BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H
#define BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H

#include "Core/Model/Time.h"
#include "Core/Ports/Ports.h"

#include <cstdint>

namespace bronzepass::core::leases {

/// Uniformly random in (0, \p Max], for back-off with full jitter.
model::Duration fullJitter(model::Duration Max, ports::Random &Source);

/// \p Base doubled \p Doublings times, at most \p Max.
model::Duration exponentialBackoff(model::Duration Base, uint32_t Doublings,
                                   model::Duration Max);

struct CircuitSettings {
  /// Consecutive failures that open the circuit.
  uint32_t m_FailureThreshold = 5;
  /// Maximum wait before the first probe; doubles with each failed probe.
  model::Duration m_ProbeBackoffBase = std::chrono::milliseconds(500);
  model::Duration m_ProbeBackoffMax = std::chrono::seconds(5);
};

/// Stops calls to an object API that does not answer: after several consecutive
/// failures, sends only one probe at a time until one succeeds.
class CircuitBreaker {
public:
  CircuitBreaker(const CircuitSettings &Settings, ports::Random &Source)
      : m_Settings(Settings), m_Random(Source) {}

  bool isOpen() const { return m_Open; }
  /// Whether a call may be sent now; while open, only a single probe may.
  bool allowsCall(model::TimePoint Now) const;
  /// Must be called when a call is sent.
  void onSent();
  void onSuccess();
  void onFailure(model::TimePoint Now);

private:
  CircuitSettings m_Settings;
  ports::Random &m_Random;
  bool m_Open = false;
  bool m_Probing = false;
  uint32_t m_ConsecutiveFailures = 0;
  uint32_t m_FailedProbes = 0;
  model::TimePoint m_ProbeAt;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_CIRCUITBREAKER_H
