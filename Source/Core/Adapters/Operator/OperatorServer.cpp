#include "Core/Adapters/Operator/OperatorServer.h"

#include "Core/Adapters/Pistache/ErrorReply.h"

#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::operators {

namespace {

constexpr int StatusUnavailable = 503;
/// The version of the text format that prometheus-cpp writes.
const char *const MetricsType = "text/plain; version=0.0.4; charset=utf-8";

pistache::HttpReply textReply(std::string Text, const char *Type) {
  pistache::HttpReply Reply;
  Reply.m_Body = std::move(Text);
  Reply.m_ContentType = Type;
  return Reply;
}

void reply(const std::shared_ptr<pistache::HttpResponseWriter> &Answer,
           pistache::HttpReply Reply) {
  Answer->loop().post(
      [Answer, Reply = std::move(Reply)] { Answer->send(Reply); });
}

} // namespace

OperatorServer::OperatorServer(const pistache::HttpServerOptions &Options,
                               MetricsText Metrics, PageMaker Pages)
    : m_Metrics(std::move(Metrics)), m_Pages(std::move(Pages)),
      m_Server(Options, m_Thread.loop(), *this) {}

OperatorServer::~OperatorServer() { stop(); }

std::optional<std::string> OperatorServer::start() {
  std::optional<std::string> Error = m_Server.start();
  if (!Error)
    m_Thread.start();
  return Error;
}

void OperatorServer::stop() {
  m_Server.stop();
  m_Thread.stop();
}

uint16_t OperatorServer::port() const { return m_Server.port(); }

void OperatorServer::setReady(bool Ready, const std::string &Reason) {
  const std::lock_guard<std::mutex> Lock(m_ReadyMutex);
  m_Ready = Ready;
  m_Reason = Reason;
}

pistache::HttpReply OperatorServer::readiness() {
  const std::lock_guard<std::mutex> Lock(m_ReadyMutex);
  pistache::HttpReply Reply;
  Reply.m_Status = m_Ready ? Reply.m_Status : StatusUnavailable;
  Reply.m_Body =
      nlohmann::ordered_json{{"ready", m_Ready}, {"reason", m_Reason}}.dump();
  return Reply;
}

void OperatorServer::onRequest(
    pistache::HttpRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  if (Request.m_Path == "/live") {
    reply(Answer, textReply("{\"live\":true}", "application/json"));
    return;
  }
  if (Request.m_Path == "/ready") {
    reply(Answer, readiness());
    return;
  }
  if (Request.m_Path == "/metrics" && m_Metrics) {
    reply(Answer, textReply(m_Metrics(), MetricsType));
    return;
  }
  if (!m_Pages) {
    reply(Answer, pistache::requestErrorReply(404, "unknown_path",
                                              "no page " + Request.m_Path));
    return;
  }
  m_Pages(std::move(Request), [Answer](pistache::HttpReply Reply) {
    reply(Answer, std::move(Reply));
  });
}

pistache::HttpReply
OperatorServer::onRequestError(pistache::HttpRequestError Error,
                               const std::string &Message) {
  int Status = 400;
  if (Error == pistache::HttpRequestError::BodyTooLarge)
    Status = 413;
  else if (Error == pistache::HttpRequestError::HeadersTooLarge)
    Status = 431;
  else if (Error == pistache::HttpRequestError::TimedOut)
    Status = 408;
  return pistache::requestErrorReply(Status, "malformed_request", Message);
}

} // namespace bronzepass::core::adapters::operators
