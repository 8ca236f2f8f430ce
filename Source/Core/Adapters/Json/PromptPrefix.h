#ifndef BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H
#define BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::json {

/// Bytes of prompt that one hash stands for, about 64 tokens.
constexpr size_t PrefixBlockBytes = 256;
/// Blocks that are hashed at most.
constexpr size_t MaxPrefixBlocks = 32;

/// The text of a completion request's prompt: the "prompt" member, or the role
/// and content of each message.
std::string promptText(const nlohmann::json &Body);

/// Hash of each whole leading block together with all before it, shortest
/// prefix first.
std::vector<uint64_t> prefixHashes(std::string_view Prompt);

/// The cached prefixes that \p Artifact holds after the request with \p Body;
/// none where it is no JSON object.
std::vector<uint64_t> cachedPrefixesOfBody(const std::string &Body,
                                           std::string_view Artifact);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H
