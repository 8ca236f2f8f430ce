#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_JSONPARSER_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_JSONPARSER_H

#include "Core/Adapters/Codec/WireFormat.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// Parses untrusted bytes with limits on size and nesting. Never throws: on
/// failure returns nullopt and sets \p Reason.
std::optional<nlohmann::json> parseJson(std::string_view Bytes,
                                        WireFormat Format, size_t MaxBytes,
                                        std::string &Reason);

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_JSONPARSER_H
