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

/// Rough estimate, used for admission only; engines count exactly.
constexpr size_t BytesPerToken = 4;
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionPath = "/v1/completions";

RequestReadResult refusal(int Status, const char *Reason,
                          const std::string &Message) {
  return {std::nullopt, pistache::requestErrorReply(Status, Reason, Message)};
}

RequestReadResult refusalWithErrors(int Status, const char *Reason,
                                    const std::vector<std::string> &Errors) {
  std::string Message;
  for (const std::string &Error : Errors)
    Message += (Message.empty() ? "" : "; ") + Error;
  return refusal(Status, Reason, Message);
}

RequestReadResult unknownModelRefusal(const std::string &Name) {
  model::Refusal Refusal;
  Refusal.m_Reason = model::RefusalReason::UnknownModel;
  Refusal.m_RunState = model::RunState::NotRun;
  Refusal.m_Message = "no model is called '" + Name + "'";
  return {std::nullopt, pistache::refusalReply(Refusal)};
}

/// The parsed body, or the parser's error message with line and column.
struct ParsedBody {
  nlohmann::json m_Json;
  std::string m_Error;
};

ParsedBody parseBody(const std::string &Text) {
  ParsedBody Result;
  try {
    Result.m_Json = nlohmann::json::parse(Text);
  } catch (const nlohmann::json::exception &Error) {
    Result.m_Error = Error.what();
    return Result;
  }
  if (!Result.m_Json.is_object())
    Result.m_Error = "the body is no JSON object";
  return Result;
}

uint32_t readTokenLimit(const nlohmann::json &Body, const char *Name,
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

bool readStreamFlag(const nlohmann::json &Body,
                    std::vector<std::string> &Errors) {
  if (!Body.contains("stream") || Body["stream"].is_null())
    return false;
  if (!Body["stream"].is_boolean()) {
    Errors.emplace_back("stream: must be true or false");
    return false;
  }
  return Body["stream"].get<bool>();
}

std::string readModelName(const nlohmann::json &Body,
                          std::vector<std::string> &Errors) {
  if (Body.contains("model") && Body["model"].is_string())
    return Body["model"].get<std::string>();
  Errors.emplace_back("model: must be a string");
  return {};
}

std::string pathWithQuery(const pistache::HttpRequest &Request) {
  return Request.m_Path + Request.m_QueryText;
}

/// Whether libcurl accepts \p Path. If libcurl refused it, the failure would be
/// attributed to the endpoint.
bool isSendable(const std::string &Path) {
  return std::none_of(Path.begin(), Path.end(), [](unsigned char C) {
    return C <= ' ' || C == '#' || std::iscntrl(C) != 0;
  });
}

/// Sets the fields that model requests and service calls have in common.
traffic::CallerRequest makeCallerRequest(const pistache::HttpRequest &Request,
                                         model::Request Parsed) {
  traffic::CallerRequest Result;
  Result.m_Request = std::move(Parsed);
  Result.m_Request.m_BodyBytes = Request.m_Body.size();
  Result.m_Method = Request.m_Method;
  Result.m_Path = pathWithQuery(Request);
  Result.m_ContentType = Request.header("content-type");
  Result.m_BodyHash = model::stableHash(
      Request.m_Body,
      model::stableHash(Result.m_Path, model::stableHash(Result.m_Method)));
  return Result;
}

uint64_t hashIdempotencyKey(const model::Request &Request,
                            const std::string &Target) {
  if (!Request.m_IdempotencyKey)
    return 0;
  return model::stableHash(
      *Request.m_IdempotencyKey,
      model::stableHash(Target, model::stableHash(Request.m_Caller.str())));
}

RequestReadResult readCompletion(const pistache::HttpRequest &Request,
                                 const routing::RoutingTable &Table,
                                 model::Request Parsed) {
  if (Request.m_Method != "POST")
    return refusal(405, "method_not_allowed", "use POST for " + Request.m_Path);
  ParsedBody Body = parseBody(Request.m_Body);
  if (!Body.m_Error.empty())
    return refusal(400, "malformed_body", Body.m_Error);
  std::vector<std::string> Errors;
  const std::string Name = readModelName(Body.m_Json, Errors);
  checkPrompt(Body.m_Json, Request.m_Path == ChatPath, Errors);
  Parsed.m_Stream = readStreamFlag(Body.m_Json, Errors);
  Parsed.m_MaxTokens =
      std::max(readTokenLimit(Body.m_Json, "max_tokens", Errors),
               readTokenLimit(Body.m_Json, "max_completion_tokens", Errors));
  if (!Errors.empty())
    return refusalWithErrors(400, "malformed_body", Errors);
  const std::optional<model::ArtifactId> Artifact = Table.findByName(Name);
  if (!Artifact)
    return unknownModelRefusal(Name);
  Parsed.m_Model = Artifact->m_Model;
  Parsed.m_Version = Artifact->m_Version;
  Parsed.m_Adapter = Artifact->m_Adapter;
  const std::string Prompt = json::promptText(Body.m_Json);
  Parsed.m_PromptTokens = static_cast<uint32_t>(Prompt.size() / BytesPerToken);
  Parsed.m_PrefixHashes = json::prefixHashes(Prompt);
  traffic::CallerRequest Result = makeCallerRequest(Request, std::move(Parsed));
  Result.m_EndpointPath = Result.m_Path;
  Result.m_ContentType = "application/json";
  Result.m_KeyHash =
      hashIdempotencyKey(Result.m_Request, Artifact->m_Model.str());
  // Removed because the name sent to the engine has the version that routing
  // chooses.
  Body.m_Json.erase("model");
  Result.m_Body = Body.m_Json.dump();
  return {std::move(Result), {}};
}

RequestReadResult readServiceCall(const pistache::HttpRequest &Request,
                                  const routing::RoutingTable &Table,
                                  const routing::ServiceMatch &Match,
                                  model::Request Parsed) {
  Parsed.m_ServicePool = Match.m_Pool;
  Parsed.m_Repeatable = Match.m_Repeatable;
  traffic::CallerRequest Result = makeCallerRequest(Request, std::move(Parsed));
  const routing::TableService *const Service = Table.findService(Match.m_Pool);
  const size_t PrefixBytes = Service->m_Pool->m_PathPrefix.size();
  const std::string PathInPool = Request.m_Path.substr(PrefixBytes);
  Result.m_EndpointPath = (PathInPool.starts_with("/") ? "" : "/") +
                          PathInPool + Request.m_QueryText;
  Result.m_Body = Request.m_Body;
  Result.m_KeyHash = hashIdempotencyKey(Result.m_Request, Match.m_Pool.str());
  return {std::move(Result), {}};
}

} // namespace

RequestReadResult readRequest(const pistache::HttpRequest &Request,
                              const routing::RoutingTable &Table,
                              const WindowLimits &Windows,
                              model::TimePoint Now) {
  model::Request Parsed;
  std::vector<std::string> Errors;
  readHeaders(Request, Table, Windows, Now, Parsed, Errors);
  if (!isSendable(pathWithQuery(Request)))
    return refusal(400, "malformed_request",
                   "the path has bytes that must be percent-encoded");
  if (!Errors.empty())
    return refusalWithErrors(400, "malformed_header", Errors);
  if (Request.m_Path == ChatPath || Request.m_Path == CompletionPath)
    return readCompletion(Request, Table, std::move(Parsed));
  const std::optional<routing::ServiceMatch> Match =
      Table.findServiceByPath(Request.m_Path);
  if (!Match)
    return refusal(404, "unknown_path",
                   "nothing is served under " + Request.m_Path);
  return readServiceCall(Request, Table, *Match, std::move(Parsed));
}

} // namespace bronzepass::core::adapters::callers
