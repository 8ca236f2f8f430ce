#include "StandIns/StandIn.h"

#include <nlohmann/json.hpp>

namespace bronzepass::stand_ins {

using core::adapters::pistache::HttpRequestError;
using core::adapters::pistache::HttpServer;
using core::adapters::pistache::HttpServerOptions;

StandIn::StandIn(core::model::Address Address)
    : m_Address(std::move(Address)) {}

StandIn::~StandIn() { stop(); }

std::optional<std::string> StandIn::start() {
  HttpServerOptions Options;
  Options.m_Address = m_Address;
  m_Server = std::make_unique<HttpServer>(
      Options, m_Thread.loop(),
      static_cast<core::adapters::pistache::HttpHandler &>(*this));
  std::optional<std::string> Error = m_Server->start();
  if (!Error)
    m_Thread.start();
  return Error;
}

void StandIn::stop() {
  if (m_Server)
    m_Server->stop();
  m_Thread.stop();
}

uint16_t StandIn::port() const { return m_Server ? m_Server->port() : 0; }

core::model::Address StandIn::address() const {
  return {m_Address.m_Ip, port()};
}

void StandIn::onRequest(HttpRequest Request,
                        std::shared_ptr<HttpResponseWriter> Answer) {
  loop().post([this, Request = std::move(Request), Answer = std::move(Answer)] {
    try {
      handle(Request, Answer);
    } catch (const nlohmann::json::exception &Error) {
      Answer->send(errorReply(400, Error.what()));
    }
  });
}

HttpReply StandIn::onRequestError(HttpRequestError Error,
                                  const std::string &Message) {
  switch (Error) {
  case HttpRequestError::BodyTooLarge:
    return errorReply(413, Message);
  case HttpRequestError::HeadersTooLarge:
    return errorReply(431, Message);
  case HttpRequestError::TimedOut:
    return errorReply(408, Message);
  case HttpRequestError::Malformed:
    break;
  }
  return errorReply(400, Message);
}

HttpReply errorReply(int Status, const std::string &Message) {
  HttpReply Reply;
  Reply.m_Status = Status;
  Reply.m_Body = nlohmann::json{{"error", Message}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Reply;
}

} // namespace bronzepass::stand_ins
