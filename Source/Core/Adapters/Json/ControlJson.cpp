#include "Core/Adapters/Json/ControlJson.h"

#include "Core/Adapters/Codec/EnumNames.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::json {

namespace {

constexpr int HexBase = 16;

nlohmann::ordered_json artifactToJson(const model::ArtifactId &Artifact) {
  nlohmann::ordered_json Json = {{"model", Artifact.m_Model.str()},
                                 {"version", Artifact.m_Version}};
  if (Artifact.isAdapter())
    Json["adapter"] = Artifact.m_Adapter.str();
  return Json;
}

/// Throws nlohmann::json::exception, which the callers below catch.
model::ArtifactId artifactFromJson(const nlohmann::json &Json) {
  return {model::ModelId(Json.at("model").get<std::string>()),
          Json.at("version").get<std::string>(),
          model::AdapterId(Json.value("adapter", std::string()))};
}

/// Hashes are written in hexadecimal: many JSON readers round large numbers.
std::vector<std::string> hashesToJson(const std::vector<uint64_t> &Hashes) {
  std::vector<std::string> Texts;
  for (const uint64_t Hash : Hashes) {
    std::array<char, HexBase> Digits{};
    const std::to_chars_result End = std::to_chars(
        Digits.data(), Digits.data() + Digits.size(), Hash, HexBase);
    Texts.emplace_back(Digits.data(), End.ptr);
  }
  return Texts;
}

std::vector<uint64_t> hashesFromJson(const nlohmann::json &Json) {
  std::vector<uint64_t> Hashes;
  for (const nlohmann::json &Item : Json) {
    const std::string Text = Item.get<std::string>();
    uint64_t Hash = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Hash, HexBase);
    Hashes.push_back(Hash);
  }
  return Hashes;
}

ReportReadResult readReport(const nlohmann::json &Json) {
  ReportReadResult Result;
  model::EngineReport &Report = Result.m_Report;
  Report.m_Endpoint = model::EndpointId(Json.at("endpoint").get<std::string>());
  Report.m_Sequence = Json.at("sequence").get<uint64_t>();
  Report.m_MemoryBytes = Json.at("memory_bytes").get<uint64_t>();
  Report.m_UsedBytes = Json.at("used_bytes").get<uint64_t>();
  Report.m_Running = Json.at("running").get<uint32_t>();
  Report.m_Waiting = Json.at("waiting").get<uint32_t>();
  Report.m_HighestToken.m_Value = Json.at("highest_token").get<uint64_t>();
  for (const nlohmann::json &Copy : Json.at("copies"))
    Report.m_Copies.push_back({artifactFromJson(Copy.at("artifact")),
                               codec::fromWireName<model::CopyState>(
                                   Copy.at("state").get<std::string>())
                                   .value_or(model::CopyState::Unloading),
                               Copy.at("memory_bytes").get<uint64_t>()});
  if (!Json.contains("cache"))
    return Result;
  const nlohmann::json &Cache = Json.at("cache");
  Result.m_Cache = {Report.m_Endpoint, Cache.at("sequence").get<uint64_t>(),
                    hashesFromJson(Cache.at("added")),
                    hashesFromJson(Cache.at("removed")),
                    Cache.at("cleared").get<bool>()};
  return Result;
}

} // namespace

const char *orderPath(model::OrderKind Kind) {
  switch (Kind) {
  case model::OrderKind::Load:
    return "/control/load";
  case model::OrderKind::Unload:
    return "/control/unload";
  case model::OrderKind::SetRole:
    return "/control/role";
  }
  return "/control/role";
}

std::string orderToJson(const model::EngineOrder &Order) {
  nlohmann::ordered_json Json = {{"order", Order.m_Id.m_Value},
                                 {"token", Order.m_Token.m_Value}};
  if (Order.m_Kind == model::OrderKind::SetRole) {
    Json["role"] = codec::toWireName(Order.m_Role);
    return Json.dump();
  }
  Json["artifact"] = artifactToJson(Order.m_Artifact);
  if (Order.m_Kind == model::OrderKind::Load)
    Json["memory_bytes"] = Order.m_MemoryBytes;
  return Json.dump();
}

std::optional<model::EngineOrder> orderFromJson(const std::string &Text,
                                                const std::string &Path) {
  model::EngineOrder Order;
  for (const model::OrderKind Kind :
       {model::OrderKind::Load, model::OrderKind::Unload,
        model::OrderKind::SetRole})
    if (Path == orderPath(Kind))
      Order.m_Kind = Kind;
  if (Path != orderPath(Order.m_Kind))
    return std::nullopt;
  try {
    const nlohmann::json Json = nlohmann::json::parse(Text);
    Order.m_Id.m_Value = Json.at("order").get<uint64_t>();
    Order.m_Token.m_Value = Json.at("token").get<uint64_t>();
    if (Order.m_Kind == model::OrderKind::SetRole) {
      const std::optional<model::EngineRole> Role =
          codec::fromWireName<model::EngineRole>(
              Json.at("role").get<std::string>());
      if (!Role)
        return std::nullopt;
      Order.m_Role = *Role;
      return Order;
    }
    Order.m_Artifact = artifactFromJson(Json.at("artifact"));
    if (Order.m_Kind == model::OrderKind::Load)
      Order.m_MemoryBytes = Json.at("memory_bytes").get<uint64_t>();
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
  return Order;
}

nlohmann::ordered_json reportToJson(const model::EngineReport &Report,
                                    const routing::CacheChanged &Cache) {
  nlohmann::ordered_json Copies = nlohmann::ordered_json::array();
  for (const model::CopyReport &Copy : Report.m_Copies)
    Copies.push_back({{"artifact", artifactToJson(Copy.m_Artifact)},
                      {"state", codec::toWireName(Copy.m_State)},
                      {"memory_bytes", Copy.m_MemoryBytes}});
  return {{"endpoint", Report.m_Endpoint.str()},
          {"sequence", Report.m_Sequence},
          {"memory_bytes", Report.m_MemoryBytes},
          {"used_bytes", Report.m_UsedBytes},
          {"running", Report.m_Running},
          {"waiting", Report.m_Waiting},
          {"highest_token", Report.m_HighestToken.m_Value},
          {"copies", Copies},
          {"cache",
           {{"sequence", Cache.m_Sequence},
            {"added", hashesToJson(Cache.m_Added)},
            {"removed", hashesToJson(Cache.m_Removed)},
            {"cleared", Cache.m_Cleared}}}};
}

std::optional<ReportReadResult> reportFromJson(const std::string &Text) {
  try {
    return readReport(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace bronzepass::core::adapters::json
