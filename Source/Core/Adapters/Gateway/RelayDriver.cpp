#include "Core/Adapters/Gateway/RelayDriver.h"

#include "Core/Adapters/Daemon/CrashReport.h"
#include "Core/Model/HeaderName.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;
using gateway::HeaderLine;
using gateway::HeaderLines;

namespace {

/// For all endpoints together; each connection costs a descriptor.
constexpr long MaxIdleConnections = 600;
constexpr int BadRequest = 400;
HeaderLines linesOf(const std::vector<pistache::HttpHeader> &Headers) {
  HeaderLines Lines;
  for (const pistache::HttpHeader &Each : Headers)
    Lines.emplace_back(Each.m_Name, Each.m_Value);
  return Lines;
}

/// The request's body, which keeps its memory counted: a transfer may need it
/// longer than the caller's connection lives.
std::shared_ptr<const std::string> takeBody(front::FrontRequest &From) {
  struct CountedBody {
    std::string m_Text;
    std::shared_ptr<const resources::HeldRequest> m_Memory;
  };
  const std::shared_ptr<const CountedBody> Body =
      std::make_shared<const CountedBody>(
          CountedBody{std::exchange(From.m_Body, {}),
                      std::exchange(From.m_Memory, nullptr)});
  return {Body, &Body->m_Text};
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
  try {
    Decide(m_Core, m_Clock.now(), Effects);
  } catch (const std::exception &) {
    // The core has forgotten the requests that it ended before.
    carryOut(Effects);
    throw;
  }
  carryOut(Effects);
}

void RelayDriver::onRequest(
    front::FrontRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  HeaderLines Headers = linesOf(Request.m_Headers);
  accept(std::move(Request), Answer, std::move(Headers), std::nullopt);
}

void RelayDriver::onRequestDropped(const front::FrontRequest &Request,
                                   pistache::ConnectionEnd End) {
  gateway::RelayRequest Dropped;
  m_Dialect.readRequest(linesOf(Request.m_Headers), Dropped);
  m_Log.write("request", "dropped",
              {{"request", Dropped.m_CallerRequestId},
               {"path", std::string(Request.path())},
               {"reason", pistache::toString(End)}});
  m_Metrics.countDroppedRequest();
}

std::vector<pistache::HttpHeader>
RelayDriver::refusalHeaders(const std::vector<pistache::HttpHeader> &Received,
                            std::optional<model::Duration> RetryAfter) const {
  gateway::RelayRequest Refused;
  m_Dialect.readRequest(linesOf(Received), Refused);
  return headersOf(
      m_Dialect.refusalHeaders(Refused.m_CallerRequestId, RetryAfter));
}

void RelayDriver::ForwardedHandler::onRequest(
    front::FrontRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  HeaderLines Headers = linesOf(Request.m_Headers);
  std::string Reason;
  const std::optional<gateway::ForwardingTerms> Terms =
      readTerms(Headers, Reason);
  if (!Terms) {
    m_Driver.m_Log.write("request", "forwarding_unreadable",
                         {{"reason", Reason}});
    gateway::RelayRequest Unreadable;
    m_Driver.m_Dialect.readRequest(Headers, Unreadable);
    Answer->send({.m_Status = BadRequest,
                  .m_Body = Reason + "\n",
                  .m_ContentType = "text/plain",
                  .m_Headers = headersOf(m_Driver.m_Dialect.refusalHeaders(
                      Unreadable.m_CallerRequestId, std::nullopt))});
    return;
  }
  removeForwardingHeaders(Headers);
  m_Driver.accept(std::move(Request), Answer, std::move(Headers), Terms);
}

void RelayDriver::accept(
    front::FrontRequest Request,
    const std::shared_ptr<pistache::HttpResponseWriter> &Answer,
    HeaderLines Headers, std::optional<gateway::ForwardingTerms> Terms) {
  // The loop may have been busy since the request arrived.
  if (Answer->hasCallerLeft()) {
    onRequestDropped(Request, pistache::ConnectionEnd::ByCaller);
    return;
  }
  const model::RequestId Number{++m_LastRequestNumber};
  gateway::RelayRequest Relayed;
  Relayed.m_Number = Number;
  Relayed.m_Host = Request.header("Host").value_or("");
  Relayed.m_Path = std::string(Request.path());
  Relayed.m_Fingerprint = Request.fingerprint();
  const model::Duration Reading = std::chrono::duration_cast<model::Duration>(
      std::chrono::steady_clock::now() - Request.m_BeganAt);
  Relayed.m_BeganAt = m_Clock.now() - Reading;
  Relayed.m_Forwarded = std::move(Terms);
  Exchange &Added = m_Exchanges[Number];
  Added.m_Headers = std::move(Headers);
  Added.m_IsForwarded = Relayed.m_Forwarded.has_value();
  m_Dialect.readRequest(Added.m_Headers, Relayed);
  Added.m_CallerRequestId = Relayed.m_CallerRequestId;
  Added.m_IsResumption = Relayed.m_IsResumption;
  Added.m_Splicer.startAfter(Relayed.m_LastEventId);
  daemon::CrashReport::setSubject(Added.m_CallerRequestId);
  Added.m_Request = std::move(Request);
  Added.m_RequestBody = takeBody(Added.m_Request);
  Added.m_Answer = Answer;
  if (m_Closing)
    Answer->closeAfter();
  const std::weak_ptr<bool> Alive = m_Alive;
  Answer->onDisconnect([this, Alive, Number] {
    if (Alive.expired())
      return;
    // Posted because this may be called from inside a write to the caller.
    m_Loop.post([this, Alive, Number] {
      if (Alive.expired())
        return;
      const auto Left = m_Exchanges.find(Number);
      if (Left == m_Exchanges.end())
        return;
      const pistache::ConnectionEnd End =
          Left->second.m_Answer->connectionEnd();
      decide([&](gateway::RelayCore &Core, model::TimePoint Now,
                 gateway::RelayEffectList &Out) {
        if (End == pistache::ConnectionEnd::ByCaller)
          Core.onCallerDisconnected(Number, Now, Out);
        else
          Core.onConnectionClosed(Number, pistache::toString(End), Now, Out);
      });
      eraseExchange(Number);
    });
  });
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onRequestReceived(std::move(Relayed), Now, Out);
  });
  noteTableUse();
}

void RelayDriver::noteTableUse() {
  const gateway::RouteTable *const Table = m_Core.table();
  if (!Table || Table->config().m_Version == m_UsedVersion)
    return;
  m_UsedVersion = Table->config().m_Version;
  const model::Duration Age = m_Clock.now() - Table->receivedAt();
  m_Metrics.observeConfigStep("used", Age);
  m_Log.write(
      "config", "used",
      {{"config", static_cast<int64_t>(m_UsedVersion)},
       {"age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Age).count()}});
}

void RelayDriver::carryOut(const gateway::RelayEffectList &Effects) {
  // Those behind one that fails belong to other requests, too.
  for (const gateway::RelayEffect &Each : Effects) {
    try {
      std::visit([this](const auto &Effect) { on(Effect); }, Each);
    } catch (const std::exception &Error) {
      m_Log.write("process", "exception",
                  {{"thread", "traffic"}, {"reason", Error.what()}});
    }
  }
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
  eraseExchange(Effect.m_Request);
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

void RelayDriver::on(const gateway::PauseBegun &Effect) {
  m_Log.write(Effect);
  if (m_OnPauseBegun)
    m_OnPauseBegun(Effect);
}

void RelayDriver::on(const gateway::LinksChange &Effect) {
  m_Log.write(Effect);
  m_Metrics.count(Effect);
}

void RelayDriver::on(const gateway::ProofChange &Effect) {
  m_Log.write(Effect);
}
void RelayDriver::on(const gateway::PaceChange &Effect) { m_Log.write(Effect); }

void RelayDriver::on(const gateway::AskQuotas & /*Effect*/) {
  if (m_OnAskQuotas)
    m_OnAskQuotas();
}

void RelayDriver::on(const gateway::ConfirmEndpoints & /*Effect*/) {
  if (m_OnConfirmEndpoints)
    m_OnConfirmEndpoints();
}

void RelayDriver::endExchange(model::RequestId Request) {
  const auto Found = m_Exchanges.find(Request);
  const std::shared_ptr<pistache::HttpResponseWriter> Answer =
      Found->second.m_Answer;
  const std::string CallerRequestId = Found->second.m_CallerRequestId;
  eraseExchange(Request);
  ++m_UnsentAnswers;
  const std::weak_ptr<bool> Alive = m_Alive;
  Answer->whenSent([this, Alive, Answer, CallerRequestId] {
    if (Alive.expired())
      return;
    --m_UnsentAnswers;
    if (Answer->lostBytes() > 0)
      m_Log.write("request", "unread",
                  {{"request", CallerRequestId},
                   {"bytes", static_cast<int64_t>(Answer->lostBytes())},
                   {"reason", pistache::toString(Answer->connectionEnd())}});
  });
}

void RelayDriver::eraseExchange(model::RequestId Request) {
  m_AnswerMemory.remove(Request);
  m_Exchanges.erase(Request);
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

} // namespace bronzepass::core::adapters::gateway
