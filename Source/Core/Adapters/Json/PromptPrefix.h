#ifndef BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H
#define BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::json {

/// Prompt bytes per hashed block, about 64 tokens.
constexpr size_t PrefixBlockBytes = 256;
/// Limit of the blocks hashed per prompt.
constexpr size_t MaxPrefixBlocks = 32;

/// The text of a completion request's prompt: the "prompt" member, or the role
/// and content of each message.
std::string promptText(const nlohmann::json &Body);

/// The hash of each prefix of whole blocks, shortest prefix first.
std::vector<uint64_t> prefixHashes(std::string_view Prompt);

/// Hashes of the prompt prefixes that \p Artifact caches after the request
/// with \p Body; empty if \p Body is not a JSON object.
std::vector<uint64_t> cachedPrefixesOfBody(const std::string &Body,
                                           std::string_view Artifact);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_PROMPTPREFIX_H
