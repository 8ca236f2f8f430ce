#include "Core/Adapters/Traffic/AttemptRequest.h"

#include "Core/Adapters/Traffic/Attempt.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::traffic {

namespace {

/// libcurl takes zero for "no time-out".
constexpr std::chrono::milliseconds ShortestTimeout(1);

std::chrono::milliseconds untilDeadline(model::TimePoint Deadline,
                                        model::TimePoint Now) {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now),
                  ShortestTimeout);
}

const char *priorityName(model::Priority Value) {
  return Value == model::Priority::Batch ? "batch" : "interactive";
}

/// A bare line feed in a caller's value would begin a header of its own.
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

std::vector<std::string> headersOf(const routing::StartAttempt &Start,
                                   const CallerRequest &Request,
                                   const model::NodeId &Self,
                                   std::chrono::milliseconds Left) {
  const std::string Name =
      Self.str() + "/" + std::to_string(Request.m_Request.m_Id.m_Value);
  std::vector<std::string> Headers = {
      "X-Request-Id: " + Name,
      "Bronzepass-Attempt: " + std::to_string(Start.m_Attempt.m_Value),
      "Bronzepass-Window: " + std::to_string(Left.count()) + "ms",
      std::string("Bronzepass-Priority: ") +
          priorityName(Request.m_Request.m_Priority),
  };
  // An empty value takes out the header that libcurl adds by itself.
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
  // Quoted by the codec; the rest is the text of a JSON object.
  const std::string Member = "{\"model\":" + nlohmann::json(Model).dump();
  const bool IsEmpty = BodyWithoutModel == "{}";
  return Member + (IsEmpty ? "" : ",") + BodyWithoutModel.substr(1);
}

curl::TransferRequest attemptRequest(const routing::StartAttempt &Start,
                                     const CallerRequest &Request,
                                     const model::NodeId &Self,
                                     model::TimePoint Now) {
  const std::chrono::milliseconds Left = untilDeadline(Start.m_Deadline, Now);
  const bool ForModel = Request.m_Request.m_ServicePool.empty();
  curl::TransferRequest Sent;
  Sent.m_Method = Request.m_Method;
  Sent.m_Address = Start.m_Address;
  Sent.m_Path = Start.m_ToNode ? Request.m_Path : Request.m_EndpointPath;
  Sent.m_Headers = headersOf(Start, Request, Self, Left);
  Sent.m_Body =
      ForModel ? bodyForModel(model::toString(Start.m_Artifact), Request.m_Body)
               : Request.m_Body;
  Sent.m_ConnectTimeout = std::max(
      std::chrono::ceil<std::chrono::milliseconds>(Start.m_ConnectTimeout),
      ShortestTimeout);
  Sent.m_Timeout = Left;
  Sent.m_FreshConnection = Start.m_FreshConnection;
  return Sent;
}

} // namespace bronzepass::core::adapters::traffic
