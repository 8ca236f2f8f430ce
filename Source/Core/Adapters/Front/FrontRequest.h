#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUEST_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUEST_H

#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Resources/HeldRequest.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::front {

/// One HTTP request exactly as received: nothing is decoded, joined or
/// reordered.
struct FrontRequest {
  std::string m_Method;
  /// Path and query, byte for byte.
  std::string m_Target;
  /// In the order and spelling in which they were received.
  std::vector<pistache::HttpHeader> m_Headers;
  /// Without chunk framing.
  std::string m_Body;
  /// False for HTTP/1.0 callers, which do not understand chunked answers.
  bool m_Http11 = true;
  bool m_KeepAlive = true;
  /// Counts its memory for as long as a copy is kept; null if nothing counts
  /// it.
  std::shared_ptr<const resources::HeldRequest> m_Memory;
  /// When its first byte was read.
  std::chrono::steady_clock::time_point m_BeganAt;

  /// Returns the first header named \p Name, ignoring case; nullopt if there is
  /// none.
  std::optional<std::string> header(std::string_view Name) const;
  /// Returns the target without the query.
  std::string_view path() const;
  /// Hash of what stays the same when a caller sends the request again: method,
  /// Host, target and body.
  uint64_t fingerprint() const;

  friend bool operator==(const FrontRequest &, const FrontRequest &) = default;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUEST_H
