#ifndef BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H
#define BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H

#include "Core/Model/Time.h"

#include <optional>

namespace bronzepass::core::gateway {

/// Tracks over all calls whether the store answers this node, and when it last
/// recovered.
class StoreHealth {
public:
  void recordFailure(model::TimePoint Now) {
    m_Failing = true;
    m_FailedAt = Now;
  }

  /// True if this is the first answer after a failure.
  bool recordAnswer() {
    if (!m_Failing)
      return false;
    m_Failing = false;
    m_ReturnedAt = m_FailedAt;
    return true;
  }

  /// The store has been restored from a backup. Like after an outage, endpoints
  /// that are alive write the entries again that it has lost.
  void recordRestore(model::TimePoint Now) { m_ReturnedAt = Now; }

  bool isFailing() const { return m_Failing; }
  /// When it last recovered or was restored; nullopt if it never was. Of the
  /// times at which it may have recovered, the one of the last failure: the
  /// answer may be much later than the recovery.
  std::optional<model::TimePoint> recoveredAt() const { return m_ReturnedAt; }

private:
  bool m_Failing = false;
  model::TimePoint m_FailedAt;
  std::optional<model::TimePoint> m_ReturnedAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H
