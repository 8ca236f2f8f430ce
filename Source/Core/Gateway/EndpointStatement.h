#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTSTATEMENT_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTSTATEMENT_H

#include <compare>
#include <optional>

namespace bronzepass::core::gateway {

/// What an endpoint says of itself in the head of an answer.
struct EndpointStatement {
  /// It is shutting down: no new request may be sent to it.
  bool m_IsLeaving = false;
  /// Requests a second that it takes from all nodes together; nullopt: it sets
  /// no limit.
  std::optional<double> m_RequestsPerSecond;
  /// It is brittle: it fails if it has to turn more requests than this away in
  /// a second for want of room. nullopt: it is not.
  std::optional<double> m_RejectsPerSecond;

  friend auto operator<=>(const EndpointStatement &,
                          const EndpointStatement &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTSTATEMENT_H
