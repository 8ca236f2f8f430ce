#ifndef BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H
#define BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::gateway {

/// Identifies one start of an endpoint.
using EndpointKey = uint64_t;

/// An engine went silent while it ran a request with the trait. Ages are
/// those at which the report was sent.
struct CrashReport {
  uint64_t m_Trait = 0;
  EndpointKey m_Engine = 0;
  model::Duration m_CrashAge{0};
  /// Since the request was sent to the engine.
  model::Duration m_SendAge{0};
  /// The other parts of the request's prompt.
  std::vector<uint64_t> m_Company;

  friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// Requests with the trait are refused if they also have all parts of its
/// company.
struct QuarantinedTrait {
  uint64_t m_Trait = 0;
  model::Duration m_Remaining{0};
  std::vector<uint64_t> m_Company;

  friend auto operator<=>(const QuarantinedTrait &,
                          const QuarantinedTrait &) = default;
};

/// An engine survived an answer to a request with the trait.
struct SafeTrait {
  uint64_t m_Trait = 0;
  /// Since the answer.
  model::Duration m_Age{0};

  friend auto operator<=>(const SafeTrait &, const SafeTrait &) = default;
};

/// What a node tells its peers about traits of requests that crash engines.
struct QuarantineNotice {
  std::vector<CrashReport> m_CrashReports;
  std::vector<QuarantinedTrait> m_Quarantined;
  std::vector<SafeTrait> m_Safe;

  friend auto operator<=>(const QuarantineNotice &,
                          const QuarantineNotice &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_QUARANTINENOTICE_H
