#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::adapters::http {

namespace {

const char *const ChatPath = "/v1/chat/completions";

TestNode::Settings smallLimits() {
  TestNode::Settings Settings;
  Settings.m_CallerServer.m_Server.m_MaxBodyBytes = 64 << 10;
  Settings.m_CallerServer.m_Server.m_MaxHeaderBytes = 8 << 10;
  return Settings;
}

/// Checks that \p Result is an error response whose request did not run.
void checkErrorReply(const HttpResult &Result, int Status,
                     const std::string &Reason) {
  CHECK(Result.m_Status == Status);
  CHECK(Result.m_Complete);
  const nlohmann::json Body =
      nlohmann::json::parse(Result.m_Body, nullptr, false);
  REQUIRE(Body.is_object());
  CHECK(Body["error"]["reason"] == Reason);
  CHECK(Body["error"]["run_state"] == "not_run");
  CHECK(Body["error"]["message"].get<std::string>().size() > 5);
  CHECK(Body["error"]["retry_after_ms"].is_number());
  CHECK(Result.m_Headers.at("bronzepass-run-state") == "not_run");
}

} // namespace

TEST_CASE("errors of malformed requests name the line, member or path") {
  TestNode Node(smallLimits());
  const HttpResult Malformed =
      fetch(Node.port(), "POST", ChatPath, "{\"model\": \"gas\",\n oops}");
  checkErrorReply(Malformed, 400, "malformed_body");
  CHECK(Malformed.m_Body.find("line 2") != std::string::npos);

  const HttpResult Invalid =
      fetch(Node.port(), "POST", ChatPath, R"({"stream": 1, "messages": []})");
  checkErrorReply(Invalid, 400, "malformed_body");
  for (const char *Place : {"model:", "messages:", "stream:"})
    CHECK(Invalid.m_Body.find(Place) != std::string::npos);

  checkErrorReply(fetch(Node.port(), "POST", ChatPath,
                        R"({"model":"oil","messages":[{"content":"x"}]})"),
                  404, "unknown_model");
  checkErrorReply(fetch(Node.port(), "GET", "/nowhere"), 404, "unknown_path");
  checkErrorReply(fetch(Node.port(), "GET", ChatPath), 405,
                  "method_not_allowed");
  checkErrorReply(
      fetch(Node.port(), "POST", ChatPath, chatBody("a", 1, false),
            {"Bronzepass-Window: soon", "Bronzepass-Priority: high"}),
      400, "malformed_header");
  CHECK(Node.engineCount("started") == 0);
}

TEST_CASE("bodies and headers above their limits are refused") {
  TestNode Node(smallLimits());
  checkErrorReply(fetch(Node.port(), "POST", ChatPath,
                        chatBody(std::string(100 << 10, 'x'), 1, false)),
                  413, "body_too_large");
  checkErrorReply(fetch(Node.port(), "POST", ChatPath, chatBody("a", 1, false),
                        {"X-Long: " + std::string(20 << 10, 'x')}),
                  431, "headers_too_large");
  // Refused because of its Content-Length, before the body is sent.
  RawConnection Oversized(Node.port());
  Oversized.send("POST " + std::string(ChatPath) +
                 " HTTP/1.1\r\nHost: t\r\nContent-Length: 9999999\r\n\r\n{");
  CHECK(Oversized.readUntil("body_too_large"));
  CHECK(Oversized.text().starts_with("HTTP/1.1 413 "));
  RawConnection Garbage(Node.port());
  Garbage.send("no http at all\r\n\r\n");
  CHECK(Garbage.readToEnd());
  CHECK(Garbage.text().starts_with("HTTP/1.1 400 "));
  CHECK(Garbage.text().find("malformed_request") != std::string::npos);
  const HttpResult After =
      fetch(Node.port(), "POST", ChatPath, chatBody("a", 1, false));
  CHECK(After.m_Status == 200);
}

TEST_CASE("a request that is sent too slowly times out, others are served") {
  TestNode::Settings Settings;
  Settings.m_CallerServer.m_Server.m_HeaderTimeout = std::chrono::seconds(1);
  Settings.m_CallerServer.m_Server.m_BodyTimeout = std::chrono::seconds(1);
  TestNode Node(Settings);
  RawConnection Slow(Node.port());
  Slow.send("POST /v1/chat/comp");
  CHECK(Slow.readToEnd());
  CHECK(Slow.text().starts_with("HTTP/1.1 408 "));
  // The same on a connection that was used before.
  RawConnection Kept(Node.port());
  Kept.send(makePost(ChatPath, chatBody("a", 1, false)));
  REQUIRE(Kept.readUntil("a:0 "));
  Kept.send("POST /v1/chat/comp");
  CHECK(Kept.readToEnd());
  CHECK(Kept.text().find("HTTP/1.1 408 ") != std::string::npos);
  CHECK(
      fetch(Node.port(), "POST", ChatPath, chatBody("a", 1, false)).m_Status ==
      200);
}

TEST_CASE("two thousand idle connections don't delay a request") {
  constexpr size_t IdleConnections = 2000;
  TestNode Node({});
  std::vector<std::unique_ptr<RawConnection>> Idle;
  for (size_t I = 0; I < IdleConnections; ++I) {
    Idle.push_back(std::make_unique<RawConnection>(Node.port()));
    REQUIRE(Idle.back()->connected());
  }
  // Some of them are idle after a response.
  for (size_t I = 0; I < IdleConnections; I += 100) {
    Idle[I]->send(makePost(ChatPath, chatBody("idle", 1, false)));
    CHECK(Idle[I]->readUntil("idle:0 "));
  }
  const HttpResult Served =
      fetch(Node.port(), "POST", ChatPath, chatBody("busy", 3, true));
  CHECK(Served.m_Status == 200);
  CHECK(Served.m_Complete);
}

} // namespace bronzepass::unit_tests::adapters::http
