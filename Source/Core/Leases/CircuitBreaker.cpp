#include "Core/Leases/CircuitBreaker.h"

#include <algorithm>

namespace bronzepass::core::leases {

model::Duration fullJitter(model::Duration Max, ports::Random &Source) {
  if (Max.count() <= 0)
    return model::Duration(0);
  const uint64_t Span = static_cast<uint64_t>(Max.count());
  return model::Duration(1 + static_cast<int64_t>(Source.next() % Span));
}

model::Duration exponentialBackoff(model::Duration Base, uint32_t Doublings,
                                   model::Duration Max) {
  model::Duration Value = Base;
  for (uint32_t I = 0; I < Doublings && Value < Max; ++I)
    Value *= 2;
  return std::min(Value, Max);
}

bool CircuitBreaker::allowsCall(model::TimePoint Now) const {
  if (!m_Open)
    return true;
  return !m_Probing && Now >= m_ProbeAt;
}

void CircuitBreaker::onSent() {
  if (m_Open)
    m_Probing = true;
}

void CircuitBreaker::onSuccess() {
  m_Open = false;
  m_Probing = false;
  m_ConsecutiveFailures = 0;
  m_FailedProbes = 0;
}

void CircuitBreaker::onFailure(model::TimePoint Now) {
  ++m_ConsecutiveFailures;
  if (!m_Open && m_ConsecutiveFailures < m_Settings.m_FailureThreshold)
    return;
  // Failures of calls sent before the circuit opened do not lengthen the wait.
  if (m_Open && !m_Probing)
    return;
  m_FailedProbes = m_Open ? m_FailedProbes + 1 : 0;
  m_Open = true;
  m_Probing = false;
  m_ProbeAt = Now + fullJitter(exponentialBackoff(m_Settings.m_ProbeBackoffBase,
                                                  m_FailedProbes,
                                                  m_Settings.m_ProbeBackoffMax),
                               m_Random);
}

} // namespace bronzepass::core::leases
