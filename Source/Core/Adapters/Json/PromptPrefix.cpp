#include "Core/Adapters/Json/PromptPrefix.h"

#include "Core/Model/Hash.h"

#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::json {

namespace {

std::string textOf(const nlohmann::json &Value) {
  return Value.is_string()
             ? Value.get<std::string>()
             : Value.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string promptText(const nlohmann::json &Body) {
  if (!Body.is_object())
    return {};
  if (Body.contains("prompt"))
    return textOf(Body["prompt"]);
  if (!Body.contains("messages") || !Body["messages"].is_array())
    return {};
  std::string Text;
  for (const nlohmann::json &Message : Body["messages"]) {
    if (!Message.is_object())
      continue;
    if (Message.contains("role"))
      Text += textOf(Message["role"]) + "\n";
    if (Message.contains("content"))
      Text += textOf(Message["content"]) + "\n";
  }
  return Text;
}

std::vector<uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<uint64_t> Hashes;
  uint64_t PrefixHash = 0;
  while (Prompt.size() >= PrefixBlockBytes && Hashes.size() < MaxPrefixBlocks) {
    PrefixHash =
        model::stableHash(Prompt.substr(0, PrefixBlockBytes), PrefixHash);
    Hashes.push_back(PrefixHash);
    Prompt.remove_prefix(PrefixBlockBytes);
  }
  return Hashes;
}

std::vector<uint64_t> cachedPrefixesOfBody(const std::string &Body,
                                           std::string_view Artifact) {
  std::vector<uint64_t> Hashes =
      prefixHashes(promptText(nlohmann::json::parse(Body, nullptr, false)));
  for (uint64_t &Hash : Hashes)
    Hash = model::cachedPrefixHash(Hash, Artifact);
  return Hashes;
}

} // namespace bronzepass::core::adapters::json
