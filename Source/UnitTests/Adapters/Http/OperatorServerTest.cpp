#include "Core/Adapters/Operator/OperatorServer.h"
#include "Core/Adapters/Pistache/ErrorReply.h"
#include "Core/Adapters/Prometheus/PrometheusMetrics.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <doctest/doctest.h>
#include <thread>

namespace bronzepass::unit_tests::adapters::http {

namespace model = core::model;
namespace ports = core::ports;
namespace pistache = core::adapters::pistache;

TEST_CASE("operators see readiness, metrics and pages") {
  core::adapters::prometheus::PrometheusMetrics Metrics;
  Metrics.add(ports::Metric::RequestsRefused, "queue_full", 2);
  Metrics.add(ports::Metric::RequestsRefused, "queue_full", 1);
  Metrics.set(ports::Metric::GenerationInForce, "", 7);
  pistache::HttpServerOptions Options;
  Options.m_Address = {"127.0.0.1", 0};
  core::adapters::operators::OperatorServer Server(
      Options, [&Metrics] { return Metrics.text(); },
      [](const pistache::HttpRequest &Request,
         const core::adapters::operators::OperatorServer::PageDone &Done) {
        // Answers from another thread, like the control thread.
        std::thread([Request, Done] {
          pistache::HttpReply Reply;
          Reply.m_Body = Request.m_Path + Request.query("q");
          Done(Reply);
        }).detach();
      });
  REQUIRE_FALSE(Server.start());
  CHECK(fetch(Server.port(), "GET", "/live").m_Status == 200);
  CHECK(fetch(Server.port(), "GET", "/ready").m_Status == 503);
  Server.setReady(true, "serving");
  CHECK(fetch(Server.port(), "GET", "/ready").m_Status == 200);
  const std::string Text = fetch(Server.port(), "GET", "/metrics").m_Body;
  CHECK(
      Text.find("bronzepass_requests_refused_total{reason=\"queue_full\"} 3") !=
      std::string::npos);
  CHECK(Text.find("bronzepass_generation_in_force 7") != std::string::npos);
  CHECK(fetch(Server.port(), "GET", "/status?q=x").m_Body == "/statusx");
}

TEST_CASE("each refusal reason has its HTTP status and JSON error") {
  using model::RefusalReason;
  const std::vector<std::pair<RefusalReason, int>> Expected = {
      {RefusalReason::UnknownModel, 404},
      {RefusalReason::NotAllowed, 403},
      {RefusalReason::OverLimit, 429},
      {RefusalReason::WindowTooShort, 503},
      {RefusalReason::QueueFull, 503},
      {RefusalReason::NoCopyAnswers, 503},
      {RefusalReason::ClaimPending, 409},
      {RefusalReason::ClaimStoreDown, 503},
      {RefusalReason::KeyRequired, 400},
      {RefusalReason::KeyMismatch, 422},
      {RefusalReason::EndpointFailed, 502},
      {RefusalReason::StreamBroken, 502},
      {RefusalReason::DeadlinePassed, 504},
      {RefusalReason::Stopping, 503}};
  for (const auto &Each : Expected)
    CHECK(pistache::statusOf(Each.first) == Each.second);
  const pistache::HttpReply Reply = pistache::refusalReply(
      {RefusalReason::OverLimit, model::RunState::Unknown, "too \xff many",
       std::chrono::milliseconds(1200)});
  CHECK(Reply.m_Body.find(
            "\"reason\":\"over_limit\",\"run_state\":\"unknown\"") !=
        std::string::npos);
  CHECK(Reply.m_Body.find("\"retry_after_ms\":1200") != std::string::npos);
  bool HasRetryAfter = false;
  for (const pistache::HttpHeader &Header : Reply.m_Headers)
    HasRetryAfter |= Header == pistache::HttpHeader{"Retry-After", "2"};
  CHECK(HasRetryAfter);
}

} // namespace bronzepass::unit_tests::adapters::http
