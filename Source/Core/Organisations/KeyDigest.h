#ifndef BRONZEPASS_CORE_ORGANISATIONS_KEYDIGEST_H
#define BRONZEPASS_CORE_ORGANISATIONS_KEYDIGEST_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::organisations {

/// SHA-256 of a caller's key. The key itself is not kept, so that it can't
/// reach a log, another node or an endpoint.
struct KeyDigest {
  static constexpr size_t Size = 32;

  std::array<uint8_t, Size> m_Bytes{};

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
};

KeyDigest digestOf(std::string_view Key);

std::string toHexadecimal(const KeyDigest &Digest);
/// nullopt if \p Text is not what toHexadecimal() writes.
std::optional<KeyDigest> fromHexadecimal(std::string_view Text);

/// Compares in a time that does not depend on where the digests differ.
bool isSameDigest(const KeyDigest &Left, const KeyDigest &Right);

/// The key that a request brought.
struct Credential {
  enum class State {
    Absent,
    Present,
    /// Given more than once, or no text that can be a key.
    Unreadable,
  };

  State m_State = State::Absent;
  /// Meaningful if present.
  KeyDigest m_Digest;

  friend auto operator<=>(const Credential &, const Credential &) = default;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_KEYDIGEST_H
