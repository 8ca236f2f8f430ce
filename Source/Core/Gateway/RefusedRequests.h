#ifndef BRONZEPASS_CORE_GATEWAY_REFUSEDREQUESTS_H
#define BRONZEPASS_CORE_GATEWAY_REFUSEDREQUESTS_H

#include "Core/Model/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bronzepass::core::gateway {

/// The turns of requests that were refused at this node, so that a caller that
/// comes back isn't put behind those that came since.
class RefusedRequests {
public:
  void add(uint64_t Fingerprint, double Turn, model::TimePoint Until) {
    m_Refused[m_Next] = {Fingerprint, Turn, Until};
    m_Next = (m_Next + 1) % MaxRefused;
  }

  /// The turn of a request that has come back; it is forgotten.
  std::optional<double> take(uint64_t Fingerprint, model::TimePoint Now) {
    for (Refused &Each : m_Refused)
      if (Each.m_Fingerprint == Fingerprint && Now < Each.m_Until) {
        Each.m_Until = {};
        return Each.m_Turn;
      }
    return std::nullopt;
  }

private:
  struct Refused {
    uint64_t m_Fingerprint = 0;
    double m_Turn = 0;
    /// The caller's deadline.
    model::TimePoint m_Until;
  };
  /// Callers that a node refuses within their time; the oldest are forgotten.
  static constexpr size_t MaxRefused = 256;
  std::array<Refused, MaxRefused> m_Refused{};
  size_t m_Next = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_REFUSEDREQUESTS_H
