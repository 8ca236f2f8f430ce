#ifndef BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H
#define BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H

#include "Core/Model/Time.h"

#include <optional>

namespace bronzepass::core::gateway {

/// Whether the store answers this node, over all calls, and since when again.
class StoreHealth {
public:
  void failed() { m_Failing = true; }

  /// True where it answers again after a failure.
  bool answered(model::TimePoint Now) {
    if (!m_Failing)
      return false;
    m_Failing = false;
    m_ReturnedAt = Now;
    return true;
  }

  bool isFailing() const { return m_Failing; }
  /// When it last came back; nullopt where it never failed.
  std::optional<model::TimePoint> returnedAt() const { return m_ReturnedAt; }

private:
  bool m_Failing = false;
  std::optional<model::TimePoint> m_ReturnedAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STOREHEALTH_H
