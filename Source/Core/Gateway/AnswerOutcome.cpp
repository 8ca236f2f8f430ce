#include "Core/Gateway/AnswerOutcome.h"

namespace bronzepass::core::gateway {

namespace {

/// Why a stream is incomplete although its transfer ended without an error;
/// nullptr if it may be complete.
const char *streamFault(const ReceivedAnswer &Answer) {
  // The framing doesn't prove that a stream is complete: an endpoint that
  // crashes may still end its chunks, or close its connection, without an
  // error.
  if (Answer.m_End.m_PartialEventBytes > 0)
    return "the stream ended inside an event";
  // Only the run that broke off knows whether anything was left.
  if (Answer.m_IsContinuation && Answer.m_End.m_Events == 0)
    return "the stream was continued without an event";
  // Without a length or chunks, a stream that broke off before its first event
  // looks like an empty one, which no endpoint has a reason to send.
  if (Answer.m_TransferEnd == TransferEnd::ConnectionClosed &&
      Answer.m_End.m_BodyBytes == 0)
    return "the stream ended before its first event";
  return nullptr;
}

SendOutcome makeOutcome(SendResult Result, const ReceivedAnswer &Answer,
                        const std::string &Detail = "") {
  const std::optional<AnswerEnd> End =
      Answer.m_Head ? std::optional(Answer.m_End) : std::nullopt;
  return {Result, Answer.m_Status, Answer.m_TimedOut, Detail, End};
}

} // namespace

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

const char *foreignFault(const AnswerHead &Head, bool IsFirstOnConnection) {
  if (Head.m_Names == NamedRequest::Other)
    return "an answer to another request";
  if (Head.m_Names == NamedRequest::None && !IsFirstOnConnection)
    return "an answer that names no request, on a connection that carried "
           "earlier ones";
  return nullptr;
}

SendOutcome outcomeOf(const ReceivedAnswer &Answer) {
  const std::string StatusText = "status " + std::to_string(Answer.m_Status);
  if (!Answer.m_Head)
    return makeOutcome(Answer.m_IsSent ? SendResult::Broken
                                       : SendResult::NotSent,
                       Answer, Answer.m_Error);
  if (Answer.m_Head->m_Misdirected)
    return makeOutcome(SendResult::Misdirected, Answer);
  if (Answer.m_Head->m_NotRun)
    return makeOutcome(SendResult::NotRun, Answer, StatusText);
  if (Answer.m_TransferEnd == TransferEnd::Broken)
    return makeOutcome(SendResult::Broken, Answer, Answer.m_Error);
  if (const char *const Fault =
          Answer.m_IsStream ? streamFault(Answer) : nullptr)
    return makeOutcome(SendResult::Broken, Answer, Fault);
  if (isSuccess(Answer.m_Status))
    return makeOutcome(SendResult::Completed, Answer);
  if (Answer.m_Head->m_Sealed)
    return makeOutcome(SendResult::Failed, Answer, StatusText);
  return makeOutcome(SendResult::Broken, Answer, "a failure without a seal");
}

SendOutcome forwardedOutcomeOf(const ReceivedAnswer &Answer) {
  // 503 promises that the request has not run; a 4xx is decided before it is
  // sent anywhere.
  constexpr int ServiceUnavailable = 503;
  constexpr int FirstServerError = 500;
  const bool IsOwnRefusal = Answer.m_Head && !Answer.m_Head->m_Sealed &&
                            !isSuccess(Answer.m_Status) &&
                            (Answer.m_Status == ServiceUnavailable ||
                             Answer.m_Status < FirstServerError) &&
                            Answer.m_TransferEnd != TransferEnd::Broken;
  if (!IsOwnRefusal)
    return outcomeOf(Answer);
  SendOutcome Outcome =
      makeOutcome(SendResult::Declined, Answer,
                  "status " + std::to_string(Answer.m_Status));
  Outcome.m_RetryAfter = Answer.m_Head->m_PauseFor;
  return Outcome;
}

} // namespace bronzepass::core::gateway
