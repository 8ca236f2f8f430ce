#include "Core/Adapters/Callers/RequestReader.h"

#include "Core/Adapters/Json/PromptPrefix.h"
#include "Core/Adapters/Pistache/ErrorReply.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::callers {

namespace {

/// Rough, for admission alone; engines count exactly.
constexpr size_t BytesPerToken = 4;
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionPath = "/v1/completions";

RequestReadResult refused(int Status, const char *Reason,
                          const std::string &Message) {
  return {std::nullopt, pistache::requestErrorReply(Status, Reason, Message)};
}

RequestReadResult refusedFor(int Status, const char *Reason,
                             const std::vector<std::string> &Errors) {
  std::string Message;
  for (const std::string &Error : Errors)
    Message += (Message.empty() ? "" : "; ") + Error;
  return refused(Status, Reason, Message);
}

RequestReadResult refusedUnknownModel(const std::string &Name) {
  model::Refusal Refusal;
  Refusal.m_Reason = model::RefusalReason::UnknownModel;
  Refusal.m_RunState = model::RunState::NotRun;
  Refusal.m_Message = "no model is called '" + Name + "'";
  return {std::nullopt, pistache::refusalReply(Refusal)};
}

/// The parsed body, or what the codec has to say of it with line and column.
struct BodyReading {
  nlohmann::json m_Json;
  std::string m_Error;
};

BodyReading parseBody(const std::string &Text) {
  BodyReading Reading;
  try {
    Reading.m_Json = nlohmann::json::parse(Text);
  } catch (const nlohmann::json::exception &Error) {
    Reading.m_Error = Error.what();
    return Reading;
  }
  if (!Reading.m_Json.is_object())
    Reading.m_Error = "the body is no JSON object";
  return Reading;
}

uint32_t tokenLimit(const nlohmann::json &Body, const char *Name,
                    std::vector<std::string> &Errors) {
  if (!Body.contains(Name) || Body[Name].is_null())
    return 0;
  const bool Fits =
      Body[Name].is_number_unsigned() &&
      Body[Name].get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
  if (Fits)
    return Body[Name].get<uint32_t>();
  Errors.push_back(std::string(Name) + ": must be a whole number of tokens");
  return 0;
}

void checkPrompt(const nlohmann::json &Body, bool IsChat,
                 std::vector<std::string> &Errors) {
  if (IsChat && (!Body.contains("messages") || !Body["messages"].is_array() ||
                 Body["messages"].empty()))
    Errors.emplace_back("messages: must be an array of at least one message");
  if (!IsChat && !Body.contains("prompt"))
    Errors.emplace_back("prompt: is missing");
}

bool streamWanted(const nlohmann::json &Body,
                  std::vector<std::string> &Errors) {
  if (!Body.contains("stream") || Body["stream"].is_null())
    return false;
  if (!Body["stream"].is_boolean()) {
    Errors.emplace_back("stream: must be true or false");
    return false;
  }
  return Body["stream"].get<bool>();
}

std::string modelName(const nlohmann::json &Body,
                      std::vector<std::string> &Errors) {
  if (Body.contains("model") && Body["model"].is_string())
    return Body["model"].get<std::string>();
  Errors.emplace_back("model: must be a string");
  return {};
}

std::string pathWithQuery(const pistache::HttpRequest &Request) {
  return Request.m_Path + Request.m_QueryText;
}

/// libcurl refuses such a path, and it would look as if the endpoint did.
bool isSendable(const std::string &Path) {
  return std::none_of(Path.begin(), Path.end(), [](unsigned char C) {
    return C <= ' ' || C == '#' || std::iscntrl(C) != 0;
  });
}

/// The parts that both kinds of request have.
traffic::CallerRequest commonParts(const pistache::HttpRequest &Request,
                                   model::Request Read) {
  traffic::CallerRequest Made;
  Made.m_Request = std::move(Read);
  Made.m_Request.m_BodyBytes = Request.m_Body.size();
  Made.m_Method = Request.m_Method;
  Made.m_Path = pathWithQuery(Request);
  Made.m_ContentType = Request.header("content-type");
  Made.m_BodyHash = model::stableHash(
      Request.m_Body,
      model::stableHash(Made.m_Path, model::stableHash(Made.m_Method)));
  return Made;
}

uint64_t keyHash(const model::Request &Request, const std::string &Target) {
  if (!Request.m_IdempotencyKey)
    return 0;
  return model::stableHash(
      *Request.m_IdempotencyKey,
      model::stableHash(Target, model::stableHash(Request.m_Caller.str())));
}

RequestReadResult readCompletion(const pistache::HttpRequest &Request,
                                 const routing::RoutingTable &Table,
                                 model::Request Read) {
  if (Request.m_Method != "POST")
    return refused(405, "method_not_allowed", "use POST for " + Request.m_Path);
  BodyReading Body = parseBody(Request.m_Body);
  if (!Body.m_Error.empty())
    return refused(400, "malformed_body", Body.m_Error);
  std::vector<std::string> Errors;
  const std::string Name = modelName(Body.m_Json, Errors);
  checkPrompt(Body.m_Json, Request.m_Path == ChatPath, Errors);
  Read.m_Stream = streamWanted(Body.m_Json, Errors);
  Read.m_MaxTokens =
      std::max(tokenLimit(Body.m_Json, "max_tokens", Errors),
               tokenLimit(Body.m_Json, "max_completion_tokens", Errors));
  if (!Errors.empty())
    return refusedFor(400, "malformed_body", Errors);
  const std::optional<model::ArtifactId> Artifact = Table.findByName(Name);
  if (!Artifact)
    return refusedUnknownModel(Name);
  Read.m_Model = Artifact->m_Model;
  Read.m_Version = Artifact->m_Version;
  Read.m_Adapter = Artifact->m_Adapter;
  const std::string Prompt = json::promptText(Body.m_Json);
  Read.m_PromptTokens = static_cast<uint32_t>(Prompt.size() / BytesPerToken);
  Read.m_PrefixHashes = json::prefixHashes(Prompt);
  traffic::CallerRequest Made = commonParts(Request, std::move(Read));
  Made.m_EndpointPath = Made.m_Path;
  Made.m_ContentType = "application/json";
  Made.m_KeyHash = keyHash(Made.m_Request, Artifact->m_Model.str());
  // The engine gets the version that routing chooses.
  Body.m_Json.erase("model");
  Made.m_Body = Body.m_Json.dump();
  return {std::move(Made), {}};
}

RequestReadResult readServiceCall(const pistache::HttpRequest &Request,
                                  const routing::RoutingTable &Table,
                                  const routing::ServiceMatch &Match,
                                  model::Request Read) {
  Read.m_ServicePool = Match.m_Pool;
  Read.m_Repeatable = Match.m_Repeatable;
  traffic::CallerRequest Made = commonParts(Request, std::move(Read));
  const routing::TableService *const Service = Table.findService(Match.m_Pool);
  const size_t PrefixBytes = Service->m_Pool->m_PathPrefix.size();
  const std::string Rest = Request.m_Path.substr(PrefixBytes);
  Made.m_EndpointPath =
      (Rest.starts_with("/") ? "" : "/") + Rest + Request.m_QueryText;
  Made.m_Body = Request.m_Body;
  Made.m_KeyHash = keyHash(Made.m_Request, Match.m_Pool.str());
  return {std::move(Made), {}};
}

} // namespace

RequestReadResult readRequest(const pistache::HttpRequest &Request,
                              const routing::RoutingTable &Table,
                              const WindowLimits &Windows,
                              model::TimePoint Now) {
  model::Request Read;
  std::vector<std::string> Errors;
  readHeaders(Request, Table, Windows, Now, Read, Errors);
  if (!isSendable(pathWithQuery(Request)))
    return refused(400, "malformed_request",
                   "the path has bytes that must be percent-encoded");
  if (!Errors.empty())
    return refusedFor(400, "malformed_header", Errors);
  if (Request.m_Path == ChatPath || Request.m_Path == CompletionPath)
    return readCompletion(Request, Table, std::move(Read));
  const std::optional<routing::ServiceMatch> Match =
      Table.findServiceByPath(Request.m_Path);
  if (!Match)
    return refused(404, "unknown_path",
                   "nothing is served under " + Request.m_Path);
  return readServiceCall(Request, Table, *Match, std::move(Read));
}

} // namespace bronzepass::core::adapters::callers
