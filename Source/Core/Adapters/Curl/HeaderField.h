#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_HEADERFIELD_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_HEADERFIELD_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bronzepass::core::adapters::curl {

/// Name and value of one line of an answer's head; nullopt if the line is no
/// header field. Blanks between name and colon are removed, but not from the
/// fields that tell the length of the body: libcurl does not know such a line.
std::optional<std::pair<std::string, std::string>>
readHeaderField(std::string_view Line);

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_HEADERFIELD_H
