#include "StandIns/Completion.h"

#include "Core/Model/Hash.h"

#include <nlohmann/json.hpp>

namespace bronzepass::stand_ins {

namespace {

constexpr size_t TagBytes = 48;
constexpr uint32_t MaxTokens = 100000;

std::string textOf(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string tagOf(const nlohmann::json &Body) {
  if (Body.contains("user"))
    return textOf(Body["user"]);
  std::string Prompt;
  if (Body.contains("prompt"))
    Prompt = textOf(Body["prompt"]);
  else if (Body.contains("messages") && !Body["messages"].empty() &&
           Body["messages"].back().contains("content"))
    Prompt = textOf(Body["messages"].back()["content"]);
  return Prompt.substr(Prompt.size() > TagBytes ? Prompt.size() - TagBytes : 0);
}

} // namespace

std::optional<CompletionSpec> parseCompletion(const std::string &Body,
                                              bool Chat) {
  const nlohmann::json Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("model") ||
      !Json["model"].is_string())
    return std::nullopt;
  CompletionSpec Spec;
  Spec.m_ModelName = Json["model"].get<std::string>();
  Spec.m_Chat = Chat;
  Spec.m_Stream = Json.contains("stream") && Json["stream"] == true;
  if (Json.contains("max_tokens") && Json["max_tokens"].is_number_unsigned())
    Spec.m_Tokens = static_cast<uint32_t>(
        std::min<uint64_t>(Json["max_tokens"].get<uint64_t>(), MaxTokens));
  Spec.m_Tag = tagOf(Json);
  Spec.m_Id = "cmpl-" + std::to_string(core::model::stableHash(Body));
  return Spec;
}

std::string tokenText(const CompletionSpec &Spec, uint32_t Index) {
  return Spec.m_Tag + ":" + std::to_string(Index) + " ";
}

std::string streamEvent(const CompletionSpec &Spec, uint32_t Index) {
  nlohmann::ordered_json Choice = {{"index", 0}};
  if (Spec.m_Chat)
    Choice["delta"] = {{"content", tokenText(Spec, Index)}};
  else
    Choice["text"] = tokenText(Spec, Index);
  Choice["finish_reason"] = nullptr;
  if (Index + 1 == Spec.m_Tokens)
    Choice["finish_reason"] = "length";
  const nlohmann::ordered_json Event = {
      {"id", Spec.m_Id},
      {"object", Spec.m_Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Spec.m_ModelName},
      {"choices", nlohmann::ordered_json::array({Choice})}};
  return "data: " +
         Event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

std::string nonStreamingBody(const CompletionSpec &Spec) {
  std::string Text;
  for (uint32_t I = 0; I < Spec.m_Tokens; ++I)
    Text += tokenText(Spec, I);
  nlohmann::ordered_json Choice = {{"index", 0}};
  if (Spec.m_Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = "length";
  const nlohmann::ordered_json Body = {
      {"id", Spec.m_Id},
      {"object", Spec.m_Chat ? "chat.completion" : "text_completion"},
      {"model", Spec.m_ModelName},
      {"choices", nlohmann::ordered_json::array({Choice})},
      {"usage", {{"completion_tokens", Spec.m_Tokens}}}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bronzepass::stand_ins
