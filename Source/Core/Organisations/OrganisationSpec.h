#ifndef BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONSPEC_H
#define BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONSPEC_H

#include "Core/Organisations/KeyDigest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::organisations {

/// What an organisation may send over all nodes together, as a token bucket.
struct QuotaSpec {
  enum class Unit {
    Requests,
    /// Prompt tokens and the most tokens that the answer may have.
    Tokens,
  };

  Unit m_Unit = Unit::Requests;
  double m_PerSecond = 0;
  double m_Burst = 0;
  /// With Unit::Tokens: what a request counts that names no tokens.
  uint32_t m_PlainTokens = 0;

  friend auto operator<=>(const QuotaSpec &, const QuotaSpec &) = default;
};

/// An organisation whose callers may send requests.
struct OrganisationSpec {
  std::string m_Name;
  std::vector<KeyDigest> m_Keys;
  /// Takes precedence over the route's; 0 is the most urgent.
  std::optional<uint32_t> m_Priority;
  /// nullopt: no limit.
  std::optional<QuotaSpec> m_Quota;

  friend auto operator<=>(const OrganisationSpec &,
                          const OrganisationSpec &) = default;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONSPEC_H
