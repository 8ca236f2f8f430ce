#include "Core/Adapters/Pistache/ErrorReply.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::pistache {

namespace {

/// Error types of OpenAI-compatible APIs.
const char *errorType(int Status) {
  switch (Status) {
  case 403:
    return "permission_error";
  case 409:
    return "conflict_error";
  case 429:
    return "rate_limit_error";
  case 503:
    return "overloaded_error";
  default:
    return Status >= 500 ? "server_error" : "invalid_request_error";
  }
}

HttpReply makeReply(int Status, const std::string &Reason,
                    model::RunState RunState, const std::string &Message,
                    model::Duration RetryAfter) {
  const std::chrono::milliseconds Millis =
      std::chrono::ceil<std::chrono::milliseconds>(RetryAfter);
  const nlohmann::ordered_json Body = {
      {"error",
       {{"type", errorType(Status)},
        {"reason", Reason},
        {"run_state", model::toString(RunState)},
        {"message", Message},
        {"retry_after_ms", Millis.count()}}}};
  HttpReply Reply;
  Reply.m_Status = Status;
  // A message may quote invalid UTF-8 that a caller sent.
  Reply.m_Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Reply.m_Headers.push_back({RunStateHeader, model::toString(RunState)});
  if (Millis.count() > 0) {
    const std::chrono::seconds Seconds =
        std::chrono::ceil<std::chrono::seconds>(RetryAfter);
    Reply.m_Headers.push_back({"Retry-After", std::to_string(Seconds.count())});
  }
  return Reply;
}

} // namespace

int statusOf(model::RefusalReason Reason) {
  switch (Reason) {
  case model::RefusalReason::UnknownModel:
    return 404;
  case model::RefusalReason::NotAllowed:
    return 403;
  case model::RefusalReason::OverLimit:
    return 429;
  case model::RefusalReason::ClaimPending:
    return 409;
  case model::RefusalReason::KeyRequired:
    return 400;
  case model::RefusalReason::KeyMismatch:
    return 422;
  case model::RefusalReason::EndpointFailed:
  case model::RefusalReason::StreamBroken:
    return 502;
  case model::RefusalReason::DeadlinePassed:
    return 504;
  case model::RefusalReason::WindowTooShort:
  case model::RefusalReason::QueueFull:
  case model::RefusalReason::NoCopyAnswers:
  case model::RefusalReason::ClaimStoreDown:
  case model::RefusalReason::Stopping:
    return 503;
  }
  return 500;
}

HttpReply refusalReply(const model::Refusal &Refusal) {
  return makeReply(statusOf(Refusal.m_Reason),
                   model::toString(Refusal.m_Reason), Refusal.m_RunState,
                   Refusal.m_Message, Refusal.m_RetryAfter);
}

HttpReply replayedReply(uint16_t Status, const std::string &Answer) {
  // Callers would take an empty body for the complete answer.
  if (Answer.empty())
    return makeReply(409, "answer_not_kept", model::RunState::Ran,
                     "the first run's answer, of status " +
                         std::to_string(Status) + ", was not kept",
                     model::Duration(0));
  HttpReply Reply;
  Reply.m_Status = Status;
  Reply.m_Body = Answer;
  Reply.m_Headers.push_back({"Bronzepass-Replayed", "true"});
  return Reply;
}

HttpReply requestErrorReply(int Status, const std::string &Reason,
                            const std::string &Message) {
  return makeReply(Status, Reason, model::RunState::NotRun, Message,
                   model::Duration(0));
}

} // namespace bronzepass::core::adapters::pistache
