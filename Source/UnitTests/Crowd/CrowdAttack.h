#ifndef BRONZEPASS_UNITTESTS_CROWD_CROWDATTACK_H
#define BRONZEPASS_UNITTESTS_CROWD_CROWDATTACK_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::crowd {

/// Limits of the configuration that the attacks go up to, or beyond.
constexpr uint32_t MaxHeaderBytes = 8 << 10;
constexpr uint64_t MaxBodyBytes = 512 << 10;

/// A piece of a request that is sent so many times in a row.
struct RepeatedPiece {
  std::string m_Bytes;
  size_t m_Times = 1;

  friend auto operator<=>(const RepeatedPiece &,
                          const RepeatedPiece &) = default;
};

/// What each client of a crowd sends. All clients finish a stage before any
/// begins the next one; none ends its request.
struct CrowdAttack {
  size_t m_Clients = 0;
  std::vector<std::vector<RepeatedPiece>> m_Stages;
  /// How often a client that was refused or cut comes again.
  size_t m_Returns = 0;

  friend auto operator<=>(const CrowdAttack &, const CrowdAttack &) = default;
};

/// The attack with that name; nullopt if there is none.
std::optional<CrowdAttack> attackNamed(const std::string &Name);

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_CROWDATTACK_H
