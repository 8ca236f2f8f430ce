#include "Core/Adapters/Gateway/RelayDriver.h"

#include "Core/Model/HeaderName.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;
using gateway::HeaderLine;
using gateway::HeaderLines;
using gateway::SendResult;

namespace {

/// For all endpoints together; each connection costs a descriptor.
constexpr long MaxIdleConnections = 600;
/// Two round trips between failure domains, the endpoint's processing time and
/// one retransmitted packet.
constexpr std::chrono::milliseconds ConnectTimeout(450);
/// A packet that is lost twice in a row is acknowledged within this time; an
/// endpoint that lost power never acknowledges.
constexpr std::chrono::milliseconds PeerLostAfter(2000);
/// The core enforces request deadlines; this only bounds transfers that it
/// failed to cancel.
constexpr std::chrono::milliseconds TimeoutSlack(2000);
/// Used until an endpoint announces how long it keeps idle connections.
constexpr std::chrono::seconds UnknownKeepAlive(2);
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

HeaderLines linesOf(const std::vector<pistache::HttpHeader> &Headers) {
  HeaderLines Lines;
  for (const pistache::HttpHeader &Each : Headers)
    Lines.emplace_back(Each.m_Name, Each.m_Value);
  return Lines;
}

std::vector<pistache::HttpHeader> headersOf(const HeaderLines &Lines) {
  std::vector<pistache::HttpHeader> Headers;
  for (const HeaderLine &Each : Lines)
    Headers.push_back({Each.first, Each.second});
  return Headers;
}

} // namespace

RelayDriver::RelayDriver(net::EventLoop &Loop, const gateway::Dialect &Dialect,
                         gateway::RelayCore &Core, const ports::Clock &Clock,
                         GatewayLog &Log, GatewayMetrics &Metrics,
                         CopyRequestHandler OnCopyRequest)
    : m_Loop(Loop), m_Dialect(Dialect), m_Core(Core), m_Clock(Clock),
      m_Log(Log), m_Metrics(Metrics), m_OnCopyRequest(std::move(OnCopyRequest)),
      m_Curl(Loop, MaxIdleConnections) {}

RelayDriver::~RelayDriver() { *m_Alive = false; }

void RelayDriver::decide(
    const std::function<void(gateway::RelayCore &, model::TimePoint,
                             gateway::RelayEffectList &)> &Decide) {
  gateway::RelayEffectList Effects;
  Decide(m_Core, m_Clock.now(), Effects);
  carryOut(Effects);
}

void RelayDriver::onRequest(
    front::FrontRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  const model::RequestId Number{++m_LastRequestNumber};
  gateway::RelayRequest Relayed;
  Relayed.m_Number = Number;
  Relayed.m_Host = Request.header("Host").value_or("");
  Relayed.m_Path = std::string(Request.path());
  const model::Duration Reading = std::chrono::duration_cast<model::Duration>(
      std::chrono::steady_clock::now() - Request.m_BeganAt);
  Relayed.m_BeganAt = m_Clock.now() - Reading;
  Exchange &Added = m_Exchanges[Number];
  Added.m_Headers = linesOf(Request.m_Headers);
  m_Dialect.readRequest(Added.m_Headers, Relayed);
  Added.m_CallerRequestId = Relayed.m_CallerRequestId;
  Added.m_Request = std::move(Request);
  Added.m_Answer = Answer;
  if (m_Closing)
    Answer->closeAfter();
  const std::weak_ptr<bool> Alive = m_Alive;
  Answer->onDisconnect([this, Alive, Number] {
    if (Alive.expired())
      return;
    // Posted because this may be called from inside a write to the caller.
    m_Loop.post([this, Alive, Number] {
      if (Alive.expired() || !m_Exchanges.contains(Number))
        return;
      decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                 gateway::RelayEffectList &Out) {
        Core.onCallerDisconnected(Number, Now, Out);
      });
      m_Exchanges.erase(Number);
    });
  });
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onRequestReceived(std::move(Relayed), Now, Out);
  });
}

void RelayDriver::carryOut(const gateway::RelayEffectList &Effects) {
  for (const gateway::RelayEffect &Each : Effects)
    std::visit([this](const auto &Effect) { on(Effect); }, Each);
}

void RelayDriver::on(const gateway::SendRequest &Effect) {
  const auto Found = m_Exchanges.find(Effect.m_Request);
  if (Found == m_Exchanges.end())
    return;
  Exchange &From = Found->second;
  std::optional<std::string> LastEvent;
  if (Effect.m_Resume)
    LastEvent = From.m_Splicer.lastId();
  const HeaderLines Lines =
      m_Dialect.headersToSend(From.m_Headers, Effect, LastEvent);
  curl::TransferRequest Request;
  Request.m_Method = From.m_Request.m_Method;
  Request.m_Address = Effect.m_Address;
  Request.m_Path = From.m_Request.m_Target;
  Request.m_Body = From.m_Request.m_Body;
  // libcurl adds these by itself unless they are emptied.
  bool HasAccept = false;
  bool HasType = false;
  for (const HeaderLine &Each : Lines) {
    HasAccept |= model::isSameHeader(Each.first, "Accept");
    HasType |= model::isSameHeader(Each.first, "Content-Type");
    // An empty value is written with a semicolon.
    Request.m_Headers.push_back(Each.second.empty()
                                    ? Each.first + ";"
                                    : Each.first + ": " + Each.second);
  }
  if (!HasAccept)
    Request.m_Headers.emplace_back("Accept:");
  if (!HasType)
    Request.m_Headers.emplace_back("Content-Type:");
  const auto KeepAlive = m_KeepAlive.find(Effect.m_Service);
  Request.m_MaxIdleAge =
      KeepAlive == m_KeepAlive.end() ? UnknownKeepAlive : KeepAlive->second;
  Request.m_TcpUserTimeout = PeerLostAfter;
  Request.m_ConnectTimeout = ConnectTimeout;
  Request.m_Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Effect.m_Remaining) +
                      TimeoutSlack;
  Send &Added = m_Sends[Effect.m_Attempt];
  Added.m_Request = Effect.m_Request;
  Added.m_Service = Effect.m_Service;
  Added.m_IsStream = Effect.m_Stream;
  const uint64_t Transfer = m_Curl.start(
      std::move(Request),
      std::make_shared<curl::AttemptListener>(
          static_cast<curl::AttemptEventHandler &>(*this), Effect.m_Attempt));
  // The transfer may have ended by now.
  const auto Started = m_Sends.find(Effect.m_Attempt);
  if (Started != m_Sends.end())
    Started->second.m_Transfer = Transfer;
}

void RelayDriver::on(const gateway::CancelSend &Effect) {
  const auto Found = m_Sends.find(Effect.m_Attempt);
  if (Found == m_Sends.end())
    return;
  const uint64_t Transfer = Found->second.m_Transfer;
  m_Sends.erase(Found);
  m_Curl.cancel(Transfer);
}

void RelayDriver::on(const gateway::ForwardAnswer &Effect) {
  const auto Found = m_Exchanges.find(Effect.m_Request);
  if (Found == m_Exchanges.end())
    return;
  Exchange &To = Found->second;
  if (!To.m_AnswerStarted) {
    const bool IsHead = To.m_Request.m_Method == "HEAD";
    beginAnswer(To, To.m_Status, To.m_AnswerHeaders,
                IsHead ? To.m_HeadLength : To.m_Body.size());
    To.m_Answer->write(To.m_Body);
  }
  To.m_Answer->end();
  endExchange(Effect.m_Request);
}

void RelayDriver::on(const gateway::RejectRequest &Effect) {
  const auto Found = m_Exchanges.find(Effect.m_Request);
  if (Found == m_Exchanges.end())
    return;
  Exchange &To = Found->second;
  pistache::HttpReply Reply;
  Reply.m_Status = Effect.m_Status;
  Reply.m_ContentType = "text/plain";
  Reply.m_Body = Effect.m_Reason + "\n";
  Reply.m_Headers = headersOf(
      m_Dialect.refusalHeaders(To.m_CallerRequestId, Effect.m_RetryAfter));
  if (m_Closing)
    To.m_Answer->closeAfter();
  To.m_Answer->send(Reply);
  endExchange(Effect.m_Request);
}

void RelayDriver::on(const gateway::AbortAnswer &Effect) {
  const auto Found = m_Exchanges.find(Effect.m_Request);
  if (Found == m_Exchanges.end())
    return;
  Found->second.m_Answer->abort();
  m_Exchanges.erase(Found);
}

void RelayDriver::on(const gateway::CopyRequest &Effect) {
  m_OnCopyRequest(Effect);
}

void RelayDriver::on(const gateway::RelayLogEntry &Effect) {
  m_Log.write(Effect);
  m_Metrics.count(Effect);
}

void RelayDriver::on(const gateway::QuarantineChange &Effect) {
  m_Log.write(Effect);
}

void RelayDriver::on(const gateway::StatementChange &Effect) {
  m_Log.write(Effect);
  if (m_OnStatementChange)
    m_OnStatementChange(Effect);
}

void RelayDriver::on(const gateway::PauseBegun &Effect) { m_Log.write(Effect); }

void RelayDriver::logUnreadableStatement(const std::string &Line) {
  m_Metrics.countUnreadableStatement();
  const model::TimePoint Now = m_Clock.now();
  if (m_UnreadableLoggedAt && Now < *m_UnreadableLoggedAt + UnreadableLogPeriod)
    return;
  m_UnreadableLoggedAt = Now;
  m_Log.write("endpoint", "unreadable", {{"reason", Line}});
}

void RelayDriver::endExchange(model::RequestId Request) {
  const auto Found = m_Exchanges.find(Request);
  const std::shared_ptr<pistache::HttpResponseWriter> Answer =
      Found->second.m_Answer;
  m_Exchanges.erase(Found);
  ++m_UnsentAnswers;
  const std::weak_ptr<bool> Alive = m_Alive;
  Answer->whenSent([this, Alive] {
    if (!Alive.expired())
      --m_UnsentAnswers;
  });
}

void RelayDriver::beginAnswer(Exchange &To, int Status,
                              const HeaderLines &Headers,
                              std::optional<uint64_t> Length) {
  if (m_Closing)
    To.m_Answer->closeAfter();
  To.m_AnswerStarted = true;
  To.m_Answer->begin(Status, headersOf(m_Dialect.headersToPass(Headers)),
                     Length);
}

void RelayDriver::onHead(model::AttemptId Attempt,
                         const curl::TransferHead &Head) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return;
  Send &From = Found->second;
  const auto To = m_Exchanges.find(From.m_Request);
  From.m_Status = Head.m_Status;
  From.m_Headers = Head.m_Lines;
  From.m_BodyFormat = Head.m_BodyFormat;
  From.m_Head = m_Dialect.readHead(
      Head.m_Status, Head.m_Lines,
      To == m_Exchanges.end() ? "" : To->second.m_CallerRequestId);
  if (From.m_Head->m_KeepAlive) {
    // One second of margin, so that the endpoint does not close the connection
    // just as a request is sent.
    const std::chrono::seconds Kept =
        std::max(std::chrono::seconds(1),
                 *From.m_Head->m_KeepAlive - std::chrono::seconds(1));
    const auto Known = m_KeepAlive.emplace(From.m_Service, Kept);
    Known.first->second = std::min(Known.first->second, Kept);
  }
  if (!From.m_Head->m_UnreadableStatement.empty())
    logUnreadableStatement(From.m_Head->m_UnreadableStatement);
  if (!From.m_Head->m_Foreign)
    decide([&, Told = *From.m_Head](gateway::RelayCore &Core,
                                    model::TimePoint Now,
                                    gateway::RelayEffectList &Out) {
      Core.onAnswerHead(Attempt, Told.m_Statement, Now, Out);
      if (Told.m_PauseFor)
        Core.onEndpointPaused(Attempt, *Told.m_PauseFor, Now, Out);
    });
  const bool Success = gateway::isSuccess(Head.m_Status);
  if (To != m_Exchanges.end() && From.m_Head->m_Foreign) {
    rejectAnswer(Attempt, "an answer to another request");
    return;
  }
  if (Success && !From.m_Head->m_Sealed) {
    rejectAnswer(Attempt, "a success without the endpoint's seal");
    return;
  }
  From.m_Forwarding = From.m_IsStream && Success;
}

void RelayDriver::rejectAnswer(model::AttemptId Attempt,
                               const std::string &Reason) {
  const auto Found = m_Sends.find(Attempt);
  const uint64_t Transfer = Found->second.m_Transfer;
  m_Sends.erase(Found);
  m_Curl.cancel(Transfer);
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onSendFinished(Attempt, {SendResult::Broken, 0, false, Reason}, Now,
                        Out);
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
  return From.m_Fault.empty();
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
  From.m_Forwarding = true;
  From.m_BypassesSplicer = true;
  m_Core.onAnswerForwarded(From.m_Request);
  beginAnswer(To, From.m_Status, From.m_Headers, From.m_BodyFormat.m_Length);
  To.m_Answer->write(From.m_Body);
  From.m_Body = {};
  return nullptr;
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
    m_Core.onAnswerForwarded(From.m_Request);
    beginAnswer(To, From.m_Status, From.m_Headers, std::nullopt);
  }
  To.m_Answer->write(Events);
}

void RelayDriver::onDone(model::AttemptId Attempt,
                         const curl::TransferResult &Result) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return;
  Send Ended = std::move(Found->second);
  m_Sends.erase(Found);
  const auto To = m_Exchanges.find(Ended.m_Request);
  gateway::ReceivedAnswer Answer;
  Answer.m_Head = Ended.m_Head;
  Answer.m_Status = Ended.m_Status;
  Answer.m_IsStream = Ended.isSplicedStream() && To != m_Exchanges.end();
  Answer.m_End = {Ended.m_BodyFormat.m_Framing, Ended.m_ReceivedBytes, 0};
  if (Answer.m_IsStream)
    Answer.m_End.m_PartialEventBytes = To->second.m_Splicer.discardPartial();
  Answer.m_TransferEnd = transferEndOf(Result);
  Answer.m_IsSent = Result.m_BytesSent > 0;
  Answer.m_TimedOut = Result.m_TimedOut;
  Answer.m_Error = Ended.m_Fault.empty() ? Result.m_Error : Ended.m_Fault;
  const gateway::SendOutcome Outcome = gateway::outcomeOf(Answer);
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
}

} // namespace bronzepass::core::adapters::gateway
