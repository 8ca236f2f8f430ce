#include "Core/Adapters/Gateway/RelayDriver.h"

#include "Core/Adapters/Daemon/CrashReport.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;
using gateway::HeaderLines;
using gateway::SendResult;

namespace {

/// A larger success is forwarded as it arrives.
constexpr size_t MaxCollectedBytes = 128 << 10;
constexpr size_t MaxFailureBytes = 64 << 10;
/// An answer that is forwarded ends here, since an endpoint in trouble may send
/// bytes until its connection is closed.
constexpr uint64_t MaxForwardedBytes = 64 << 20;
constexpr model::Duration UnreadableLogPeriod = std::chrono::seconds(1);
/// Many times the largest event of any engine.
constexpr size_t MaxEventBytes = 64 << 10;

gateway::TransferEnd transferEndOf(const curl::TransferResult &Result) {
  if (Result.m_Complete)
    return gateway::TransferEnd::AsFramed;
  return Result.m_EndedByClose ? gateway::TransferEnd::ConnectionClosed
                               : gateway::TransferEnd::Broken;
}

} // namespace

void RelayDriver::logUnreadableStatement(const std::string &Line) {
  m_Metrics.countUnreadableStatement();
  const model::TimePoint Now = m_Clock.now();
  if (m_UnreadableLoggedAt && Now < *m_UnreadableLoggedAt + UnreadableLogPeriod)
    return;
  m_UnreadableLoggedAt = Now;
  m_Log.write("endpoint", "unreadable", {{"reason", Line}});
}

void RelayDriver::onHead(model::AttemptId Attempt,
                         const curl::TransferHead &Head) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return;
  Send &From = Found->second;
  const auto To = m_Exchanges.find(From.m_Request);
  if (To != m_Exchanges.end())
    daemon::CrashReport::setSubject(To->second.m_CallerRequestId);
  From.m_Status = Head.m_Status;
  From.m_Headers = Head.m_Lines;
  From.m_BodyFormat = Head.m_BodyFormat;
  From.m_Head =
      m_Dialect.readHead(Head.m_Status, Head.m_Lines, From.m_CallerRequestId);
  if (From.m_IsForwarded)
    readForwardedHead(Attempt, From);
  if (To != m_Exchanges.end() && To->second.m_IsForwarded) {
    removeForwardingHeaders(From.m_Headers);
    addAnsweringEndpoint(From.m_Endpoint, From.m_Headers);
  }
  if (From.m_Head->m_KeepAlive && !From.m_IsForwarded) {
    // One second of margin, so that the endpoint does not close the connection
    // just as a request is sent.
    const std::chrono::seconds Kept =
        std::max(std::chrono::seconds(1),
                 *From.m_Head->m_KeepAlive - std::chrono::seconds(1));
    const auto Known = m_KeepAlive.emplace(From.m_Service, Kept);
    Known.first->second = std::min(Known.first->second, Kept);
  }
  if (Head.m_OnNewConnection && !From.m_IsForwarded)
    m_Core.onNewConnectionAnswered(Attempt);
  if (!From.m_Head->m_UnreadableStatement.empty())
    logUnreadableStatement(From.m_Head->m_UnreadableStatement);
  const char *const Foreign =
      gateway::foreignFault(*From.m_Head, Head.m_OnNewConnection);
  if (!Foreign)
    decide([&, Told = *From.m_Head, IsForwarded = From.m_IsForwarded](
               gateway::RelayCore &Core, model::TimePoint Now,
               gateway::RelayEffectList &Out) {
      Core.onAnswerHead(Attempt, Told.m_Statement, Now, Out);
      // That of another node is for the caller.
      if (Told.m_PauseFor && !IsForwarded)
        Core.onEndpointPaused(Attempt, *Told.m_PauseFor, Now, Out);
    });
  const bool Success = gateway::isSuccess(Head.m_Status);
  if (Foreign) {
    rejectAnswer(Attempt, Foreign);
    return;
  }
  if (const char *const Fault =
          headFault(From, To == m_Exchanges.end() ? nullptr : &To->second)) {
    rejectAnswer(Attempt, Fault);
    return;
  }
  From.m_Forwarding = From.m_IsStream && Success;
}

const char *RelayDriver::headFault(const Send &From, const Exchange *To) {
  if (!gateway::isSuccess(From.m_Status))
    return nullptr;
  if (!From.m_Head->m_Sealed)
    return "a success without the endpoint's seal";
  const bool IsOfOtherKind =
      To && To->m_AnswerStarted &&
      (From.m_Status != To->m_StartedStatus ||
       From.m_Head->m_MediaType != To->m_StartedMediaType);
  return IsOfOtherKind ? "the stream is continued by an answer of another kind"
                       : nullptr;
}

void RelayDriver::readForwardedHead(model::AttemptId Attempt, Send &From) {
  if (const std::optional<AnsweringEndpoint> Endpoint =
          readAnsweringEndpoint(From.m_Headers))
    m_Core.onForwardedHead(Attempt, Endpoint->m_Endpoint,
                           Endpoint->m_SoftwareVersion);
  removeForwardingHeaders(From.m_Headers);
}

void RelayDriver::rejectAnswer(model::AttemptId Attempt,
                               const std::string &Reason) {
  const auto Found = m_Sends.find(Attempt);
  const uint64_t Transfer = Found->second.m_Transfer;
  const gateway::AnswerEnd End{Found->second.m_BodyFormat.m_Framing, 0, 0, 0};
  m_Sends.erase(Found);
  m_AnswerMemory.remove(Attempt);
  m_Curl.cancel(Transfer);
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onSendFinished(Attempt, {SendResult::Broken, 0, false, Reason, End},
                        Now, Out);
  });
}

bool RelayDriver::onChunk(model::AttemptId Attempt, std::string_view Chunk) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return false;
  Send &From = Found->second;
  From.m_ReceivedBytes += Chunk.size();
  m_Core.onAnswerChunk(Attempt, m_Clock.now());
  const auto To = m_Exchanges.find(From.m_Request);
  if (From.m_ReceivedBytes > MaxForwardedBytes)
    From.m_Fault = "the answer is too long";
  else if (To == m_Exchanges.end())
    return true; // The caller has disconnected; the endpoint may finish.
  else if (const char *const Fault = acceptChunk(From, To->second, Chunk))
    From.m_Fault = Fault;
  if (!From.m_Fault.empty())
    return false;
  countHeld(Attempt);
  return m_Sends.contains(Attempt);
}

const char *RelayDriver::acceptChunk(Send &From, Exchange &To,
                                     std::string_view Chunk) {
  if (From.m_Forwarding) {
    forwardChunk(From, To, Chunk);
    return To.m_Splicer.partialBytes() > MaxEventBytes
               ? "an event of the stream is too long"
               : nullptr;
  }
  From.m_Body.append(Chunk);
  if (!gateway::isSuccess(From.m_Status))
    return From.m_Body.size() > MaxFailureBytes
               ? "the body of a failure is too long"
               : nullptr;
  if (From.m_Body.size() <= MaxCollectedBytes)
    return nullptr;
  passOnCollected(From, To);
  return nullptr;
}

void RelayDriver::passOnCollected(Send &From, Exchange &To) {
  From.m_Forwarding = true;
  From.m_BypassesSplicer = true;
  m_Core.onAnswerForwarded(From.m_Request, m_Clock.now());
  beginAnswer(To, From.m_Status, From.m_Headers, From.m_BodyFormat.m_Length);
  To.m_Answer->write(From.m_Body);
  // An assignment would keep the memory.
  std::string().swap(From.m_Body);
  HeaderLines().swap(From.m_Headers);
}

void RelayDriver::forwardChunk(Send &From, Exchange &To,
                               std::string_view Chunk) {
  if (From.m_BypassesSplicer) {
    To.m_Answer->write(Chunk);
    return;
  }
  const std::string Events = To.m_Splicer.feed(Chunk);
  if (Events.empty())
    return;
  if (!To.m_AnswerStarted) {
    m_Core.onAnswerForwarded(From.m_Request, m_Clock.now());
    To.m_StartedStatus = From.m_Status;
    To.m_StartedMediaType = From.m_Head->m_MediaType;
    beginAnswer(To, From.m_Status, From.m_Headers, std::nullopt);
  }
  HeaderLines().swap(From.m_Headers);
  To.m_Answer->write(Events);
}

void RelayDriver::onDone(model::AttemptId Attempt,
                         const curl::TransferResult &Result) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return;
  Send Ended = std::move(Found->second);
  m_Sends.erase(Found);
  m_AnswerMemory.remove(Attempt);
  if (Ended.m_IsWithdrawn) {
    decide([&](gateway::RelayCore &Core, model::TimePoint Now,
               gateway::RelayEffectList &Out) {
      Core.onSendWithdrawn(Attempt, false, Now, Out);
    });
    eraseExchange(Ended.m_Request);
    return;
  }
  const auto To = m_Exchanges.find(Ended.m_Request);
  if (To != m_Exchanges.end())
    daemon::CrashReport::setSubject(To->second.m_CallerRequestId);
  gateway::ReceivedAnswer Answer;
  Answer.m_Head = Ended.m_Head;
  Answer.m_Status = Ended.m_Status;
  Answer.m_IsStream = Ended.isSplicedStream() && To != m_Exchanges.end();
  Answer.m_IsContinuation = Ended.m_IsContinuation;
  Answer.m_End.m_Framing = Ended.m_BodyFormat.m_Framing;
  Answer.m_End.m_BodyBytes = Ended.m_ReceivedBytes;
  if (Answer.m_IsStream) {
    gateway::StreamSplicer &Splicer = To->second.m_Splicer;
    Answer.m_End.m_Events = Splicer.eventCount() - Ended.m_EventsBefore;
    Answer.m_End.m_PartialEventBytes = Splicer.discardPartial();
  }
  Answer.m_TransferEnd = transferEndOf(Result);
  Answer.m_IsSent = Result.m_BytesSent > 0;
  Answer.m_TimedOut = Result.m_TimedOut;
  Answer.m_Error = Ended.m_Fault.empty() ? Result.m_Error : Ended.m_Fault;
  const gateway::SendOutcome Outcome = Ended.m_IsForwarded
                                           ? gateway::forwardedOutcomeOf(Answer)
                                           : gateway::outcomeOf(Answer);
  if (To != m_Exchanges.end()) {
    Exchange &Answered = To->second;
    if (Answer.m_IsStream && Outcome.m_Result == SendResult::Completed &&
        !Answered.m_AnswerStarted)
      beginAnswer(Answered, Ended.m_Status, Ended.m_Headers, std::nullopt);
    if (!Ended.m_Forwarding) {
      Answered.m_Status = Ended.m_Status;
      Answered.m_HeadLength = Ended.m_BodyFormat.m_Length;
      Answered.m_AnswerHeaders = std::move(Ended.m_Headers);
      Answered.m_Body = std::move(Ended.m_Body);
    }
  }
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onSendFinished(Attempt, Outcome, Now, Out);
  });
  if (!Ended.m_Forwarding)
    countKept(Ended.m_Request, Ended.m_Endpoint, Ended.m_HeadBytes);
}

} // namespace bronzepass::core::adapters::gateway
