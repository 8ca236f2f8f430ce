#include "Core/Adapters/Callers/CallerServer.h"

#include "Core/Adapters/Callers/RequestReader.h"
#include "Core/Adapters/Pistache/ErrorReply.h"

#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::callers {

namespace {

pistache::HttpReply noConfigurationReply() {
  return pistache::refusalReply(
      {model::RefusalReason::NoCopyAnswers, model::RunState::NotRun,
       "this node has no configuration yet", std::chrono::seconds(1)});
}

} // namespace

CallerServer::CallerServer(const CallerServerOptions &Options,
                           traffic::TrafficDriver &Driver,
                           const ports::Clock &Clock)
    : m_Windows(Options.m_Windows), m_Driver(Driver), m_Clock(Clock),
      m_Server(Options.m_Server, Driver.loop(), *this) {}

CallerServer::~CallerServer() { stop(); }

std::optional<std::string> CallerServer::start() { return m_Server.start(); }

void CallerServer::stop() { m_Server.stop(); }

uint16_t CallerServer::port() const { return m_Server.port(); }

void CallerServer::setTable(
    std::shared_ptr<const routing::RoutingTable> Table) {
  m_Table = std::move(Table);
}

void CallerServer::onRequest(
    pistache::HttpRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  const std::shared_ptr<const routing::RoutingTable> Table = m_Table.load();
  if (!Table) {
    reply(Answer, noConfigurationReply());
    return;
  }
  if (Request.m_Path == "/v1/models") {
    reply(Answer, listModels(Request, *Table));
    return;
  }
  RequestReadResult Result =
      readRequest(Request, *Table, m_Windows, m_Clock.now());
  if (!Result.m_Request) {
    reply(Answer, std::move(Result.m_Refusal));
    return;
  }
  Result.m_Request->m_Answer = std::move(Answer);
  m_Driver.accept(std::move(*Result.m_Request));
}

pistache::HttpReply
CallerServer::listModels(const pistache::HttpRequest &Request,
                         const routing::RoutingTable &Table) const {
  if (Request.m_Method != "GET" && Request.m_Method != "HEAD")
    return pistache::requestErrorReply(405, "method_not_allowed",
                                       "use GET for /v1/models");
  nlohmann::ordered_json Data = nlohmann::ordered_json::array();
  for (const routing::ModelListing &Listing :
       Table.listModels(callerOf(Request))) {
    const bool IsAdapter = !Listing.m_Adapter.empty();
    std::string Name = Listing.m_Model.str();
    if (IsAdapter)
      Name += "+" + Listing.m_Adapter.str();
    Data.push_back({{"id", Name},
                    {"object", "model"},
                    {"owned_by", "bronzepass"},
                    {"ready", Listing.m_Ready}});
  }
  pistache::HttpReply Reply;
  Reply.m_Body =
      nlohmann::ordered_json{{"object", "list"}, {"data", Data}}.dump();
  return Reply;
}

void CallerServer::reply(
    const std::shared_ptr<pistache::HttpResponseWriter> &Answer,
    pistache::HttpReply Reply) {
  Answer->loop().post(
      [Answer, Reply = std::move(Reply)] { Answer->send(Reply); });
}

pistache::HttpReply
CallerServer::onRequestError(pistache::HttpRequestError Error,
                             const std::string &Message) {
  switch (Error) {
  case pistache::HttpRequestError::BodyTooLarge:
    return pistache::requestErrorReply(413, "body_too_large", Message);
  case pistache::HttpRequestError::HeadersTooLarge:
    return pistache::requestErrorReply(431, "headers_too_large", Message);
  case pistache::HttpRequestError::TimedOut:
    return pistache::requestErrorReply(408, "request_timeout", Message);
  case pistache::HttpRequestError::Malformed:
    break;
  }
  return pistache::requestErrorReply(400, "malformed_request", Message);
}

} // namespace bronzepass::core::adapters::callers
