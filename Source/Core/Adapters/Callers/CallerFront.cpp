#include "Core/Adapters/Callers/CallerFront.h"

#include "Core/Adapters/Callers/RequestReader.h"
#include "Core/Adapters/Pistache/ErrorReply.h"

#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::callers {

namespace {

pistache::HttpReply refusedForNow() {
  return pistache::refusalReply(
      {model::RefusalReason::NoCopyAnswers, model::RunState::NotRun,
       "this node has no configuration yet", std::chrono::seconds(1)});
}

} // namespace

CallerFront::CallerFront(const CallerFrontOptions &Options,
                         traffic::TrafficDriver &Driver,
                         const ports::Clock &Clock)
    : m_Windows(Options.m_Windows), m_Driver(Driver), m_Clock(Clock),
      m_Server(Options.m_Server, Driver.loop(), *this) {}

CallerFront::~CallerFront() { stop(); }

std::optional<std::string> CallerFront::start() { return m_Server.start(); }

void CallerFront::stop() { m_Server.stop(); }

uint16_t CallerFront::port() const { return m_Server.port(); }

void CallerFront::setTable(std::shared_ptr<const routing::RoutingTable> Table) {
  m_Table = std::move(Table);
}

void CallerFront::onRequest(pistache::HttpRequest Request,
                            std::shared_ptr<pistache::HttpAnswer> Answer) {
  const std::shared_ptr<const routing::RoutingTable> Table = m_Table.load();
  if (!Table) {
    reply(Answer, refusedForNow());
    return;
  }
  if (Request.m_Path == "/v1/models") {
    reply(Answer, listModels(Request, *Table));
    return;
  }
  RequestReading Reading =
      readRequest(Request, *Table, m_Windows, m_Clock.now());
  if (!Reading.m_Request) {
    reply(Answer, std::move(Reading.m_Refusal));
    return;
  }
  Reading.m_Request->m_Answer = std::move(Answer);
  m_Driver.accept(std::move(*Reading.m_Request));
}

pistache::HttpReply
CallerFront::listModels(const pistache::HttpRequest &Request,
                        const routing::RoutingTable &Table) const {
  if (Request.m_Method != "GET" && Request.m_Method != "HEAD")
    return pistache::faultReply(405, "method_not_allowed",
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

void CallerFront::reply(const std::shared_ptr<pistache::HttpAnswer> &Answer,
                        pistache::HttpReply Reply) {
  Answer->loop().post(
      [Answer, Reply = std::move(Reply)] { Answer->send(Reply); });
}

pistache::HttpReply CallerFront::onFault(pistache::HttpFault Fault,
                                         const std::string &Message) {
  switch (Fault) {
  case pistache::HttpFault::BodyTooLarge:
    return pistache::faultReply(413, "body_too_large", Message);
  case pistache::HttpFault::HeadersTooLarge:
    return pistache::faultReply(431, "headers_too_large", Message);
  case pistache::HttpFault::TimedOut:
    return pistache::faultReply(408, "request_timeout", Message);
  case pistache::HttpFault::Malformed:
    break;
  }
  return pistache::faultReply(400, "malformed_request", Message);
}

} // namespace bronzepass::core::adapters::callers
