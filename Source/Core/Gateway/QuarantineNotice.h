#ifndef BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H
#define BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::gateway {

/// Identifies one start of an endpoint.
using EndpointKey = uint64_t;

/// An engine went silent while it ran a request with the prompt part. Ages are
/// those at which the report was sent.
struct CrashReport {
  uint64_t m_Part = 0;
  EndpointKey m_Engine = 0;
  model::Duration m_CrashAge{0};
  /// Since the request was sent to the engine.
  model::Duration m_SendAge{0};

  friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// Requests with the prompt part are refused.
struct QuarantinedPart {
  uint64_t m_Part = 0;
  model::Duration m_Remaining{0};

  friend auto operator<=>(const QuarantinedPart &,
                          const QuarantinedPart &) = default;
};

/// An engine survived an answer to a request with the prompt part.
struct SafePart {
  uint64_t m_Part = 0;
  /// Since the answer.
  model::Duration m_Age{0};

  friend auto operator<=>(const SafePart &, const SafePart &) = default;
};

/// What a node tells its peers about prompt parts that crash engines.
struct QuarantineNotice {
  std::vector<CrashReport> m_CrashReports;
  std::vector<QuarantinedPart> m_Quarantined;
  std::vector<SafePart> m_Safe;

  friend auto operator<=>(const QuarantineNotice &,
                          const QuarantineNotice &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H
