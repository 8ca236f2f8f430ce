#include "Core/Adapters/Traffic/AttemptRequest.h"

#include "Core/Adapters/Traffic/Attempt.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::traffic {

namespace {

/// libcurl treats zero as "no timeout".
constexpr std::chrono::milliseconds ShortestTimeout(1);

std::chrono::milliseconds timeUntil(model::TimePoint Deadline,
                                    model::TimePoint Now) {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now),
                  ShortestTimeout);
}

const char *priorityName(model::Priority Value) {
  return Value == model::Priority::Batch ? "batch" : "interactive";
}

/// Drops control characters: a line feed in a caller's value would inject
/// another header.
std::string headerLine(const char *Name, std::string Value) {
  std::erase_if(Value, [](unsigned char C) { return std::iscntrl(C) != 0; });
  return std::string(Name) + ": " + Value;
}

void addHopHeaders(const CallerRequest &Request, const std::string &RequestName,
                   std::vector<std::string> &Headers) {
  Headers.push_back("Bronzepass-Hop: " + RequestName);
  Headers.push_back(
      headerLine("Bronzepass-Caller", Request.m_Request.m_Caller.str()));
}

std::vector<std::string> makeHeaders(const routing::StartAttempt &Start,
                                     const CallerRequest &Request,
                                     const model::NodeId &Self,
                                     std::chrono::milliseconds TimeLeft) {
  const std::string Name =
      Self.str() + "/" + std::to_string(Request.m_Request.m_Id.m_Value);
  std::vector<std::string> Headers = {
      "X-Request-Id: " + Name,
      "Bronzepass-Attempt: " + std::to_string(Start.m_Attempt.m_Value),
      "Bronzepass-Window: " + std::to_string(TimeLeft.count()) + "ms",
      std::string("Bronzepass-Priority: ") +
          priorityName(Request.m_Request.m_Priority),
  };
  // An empty value removes the header that libcurl adds by default.
  Headers.push_back(headerLine("Content-Type", Request.m_ContentType));
  if (Request.m_Request.m_IdempotencyKey)
    Headers.push_back(
        headerLine("Idempotency-Key", *Request.m_Request.m_IdempotencyKey));
  if (Start.m_ResumeOffset != 0)
    Headers.push_back(std::string(ResumeHeader) + ": " +
                      std::to_string(Start.m_ResumeOffset));
  if (Start.m_ToNode)
    addHopHeaders(Request, Name, Headers);
  return Headers;
}

} // namespace

std::string bodyForModel(const std::string &Model,
                         const std::string &BodyWithoutModel) {
  // dump() quotes the name; BodyWithoutModel is the text of a JSON object.
  const std::string Member = "{\"model\":" + nlohmann::json(Model).dump();
  const bool IsEmpty = BodyWithoutModel == "{}";
  return Member + (IsEmpty ? "" : ",") + BodyWithoutModel.substr(1);
}

curl::TransferRequest makeAttemptRequest(const routing::StartAttempt &Start,
                                         const CallerRequest &Request,
                                         const model::NodeId &Self,
                                         model::TimePoint Now) {
  const std::chrono::milliseconds TimeLeft = timeUntil(Start.m_Deadline, Now);
  const bool ForModel = Request.m_Request.m_ServicePool.empty();
  curl::TransferRequest Result;
  Result.m_Method = Request.m_Method;
  Result.m_Address = Start.m_Address;
  Result.m_Path = Start.m_ToNode ? Request.m_Path : Request.m_EndpointPath;
  Result.m_Headers = makeHeaders(Start, Request, Self, TimeLeft);
  Result.m_Body =
      ForModel ? bodyForModel(model::toString(Start.m_Artifact), Request.m_Body)
               : Request.m_Body;
  Result.m_ConnectTimeout = std::max(
      std::chrono::ceil<std::chrono::milliseconds>(Start.m_ConnectTimeout),
      ShortestTimeout);
  Result.m_Timeout = TimeLeft;
  Result.m_FreshConnection = Start.m_FreshConnection;
  return Result;
}

} // namespace bronzepass::core::adapters::traffic
