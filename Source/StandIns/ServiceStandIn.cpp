#include "StandIns/ServiceStandIn.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace bronzepass::stand_ins {

namespace {

constexpr size_t MaxLoggedCalls = 10000;

uint32_t numberOr(const nlohmann::json &Json, const char *Name) {
  const bool Known = Json.contains(Name) && Json[Name].is_number_unsigned();
  return Known ? Json[Name].get<uint32_t>() : 0;
}

} // namespace

ServiceStandIn::ServiceStandIn(core::model::Address Address)
    : StandIn(std::move(Address)) {}

ServiceStandIn::~ServiceStandIn() { stop(); }

void ServiceStandIn::handle(const HttpRequest &Request,
                            const std::shared_ptr<HttpResponseWriter> &Answer) {
  if (Request.m_Path == "/runs")
    Answer->send(runs());
  else if (Request.m_Path == "/faults")
    Answer->send(setFaults(Request));
  else
    run(Request, Answer);
}

void ServiceStandIn::run(const HttpRequest &Request,
                         const std::shared_ptr<HttpResponseWriter> &Answer) {
  HttpReply Reply;
  if (const std::string Attempt = Request.header("bronzepass-attempt");
      !Attempt.empty())
    Reply.m_Headers.push_back({"Bronzepass-Attempt", Attempt});
  if (m_DeclineNext > 0) {
    --m_DeclineNext;
    HttpReply Declined = errorReply(503, "declined");
    Declined.m_Headers = Reply.m_Headers;
    Declined.m_Headers.push_back({"Bronzepass-Run-State", "not_run"});
    Answer->send(Declined);
    return;
  }
  const uint64_t Run = ++m_Runs;
  m_Calls.push_back({Run, Request.m_Method, Request.m_Path,
                     Request.header("idempotency-key"), Request.m_Body});
  if (m_Calls.size() > MaxLoggedCalls)
    m_Calls.pop_front();
  const bool Lost = m_LoseNext > 0;
  if (Lost)
    --m_LoseNext;
  Reply.m_Body =
      nlohmann::ordered_json{{"run", Run},
                             {"path", Request.m_Path},
                             {"key", Request.header("idempotency-key")},
                             {"echo", Request.m_Body}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  loop().runAfter(std::chrono::milliseconds(m_DelayMillis),
                  [Answer, Reply, Lost] {
                    if (Lost)
                      Answer->abort();
                    else
                      Answer->send(Reply);
                  });
}

HttpReply ServiceStandIn::runs() const {
  nlohmann::ordered_json Calls = nlohmann::ordered_json::array();
  for (const Call &Each : m_Calls)
    Calls.push_back({{"run", Each.m_Run},
                     {"method", Each.m_Method},
                     {"path", Each.m_Path},
                     {"key", Each.m_Key},
                     {"body", Each.m_Body}});
  HttpReply Reply;
  Reply.m_Body =
      nlohmann::ordered_json{{"runs", m_Runs}, {"calls", Calls}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Reply;
}

HttpReply ServiceStandIn::setFaults(const HttpRequest &Request) {
  const nlohmann::json Json =
      nlohmann::json::parse(Request.m_Body, nullptr, false);
  if (!Json.is_object())
    return errorReply(400, "no JSON object");
  m_LoseNext = numberOr(Json, "lose_next");
  m_DeclineNext = numberOr(Json, "decline_next");
  m_DelayMillis = numberOr(Json, "delay_ms");
  return HttpReply{};
}

} // namespace bronzepass::stand_ins
