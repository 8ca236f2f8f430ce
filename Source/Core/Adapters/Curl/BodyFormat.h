#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_BODYFORMAT_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_BODYFORMAT_H

#include "Core/Model/BodyFraming.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bronzepass::core::adapters::curl {

/// How the head of an answer delimits its body.
struct BodyFormat {
  model::BodyFraming m_Framing = model::BodyFraming::Connection;
  /// The Content-Length, unless the body is chunked. For an answer without a
  /// body, such as that to a HEAD request, the length that it would have.
  std::optional<uint64_t> m_Length;

  friend auto operator<=>(const BodyFormat &, const BodyFormat &) = default;
};

/// Name and value of each header line.
using HeaderLineList = std::vector<std::pair<std::string, std::string>>;

/// \p HasBody is false if the status or the method allows no body. Returns
/// nullopt if the headers contradict each other or can't be read: the end of
/// such a body is not known.
std::optional<BodyFormat> readBodyFormat(const HeaderLineList &Lines,
                                         bool HasBody);

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_BODYFORMAT_H
