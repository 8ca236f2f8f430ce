#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/LoopThread.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::adapters::http {

namespace curl = core::adapters::curl;
namespace net = core::adapters::net;

namespace {

class ResultListener : public curl::TransferListener {
public:
  void onHead(const curl::TransferHead & /*Head*/) override {}
  bool onChunk(std::string_view /*Chunk*/) override { return true; }
  void onDone(const curl::TransferResult &Result) override {
    m_Result.set_value(Result);
  }
  std::promise<curl::TransferResult> m_Result;
};

curl::TransferResult transfer(net::EventLoop &Loop, curl::CurlMulti &Curl,
                              const curl::TransferRequest &Request) {
  const std::shared_ptr<ResultListener> Listener =
      std::make_shared<ResultListener>();
  Loop.post([&Curl, Request, Listener] { Curl.start(Request, Listener); });
  return Listener->m_Result.get_future().get();
}

curl::TransferRequest serviceCall(uint16_t Port) {
  curl::TransferRequest Request;
  Request.m_Method = "POST";
  Request.m_Address = {"127.0.0.1", Port};
  Request.m_Path = "/certificates";
  Request.m_Body = "{}";
  Request.m_Timeout = TestTimeout;
  return Request;
}

} // namespace

TEST_CASE("a non-repeatable call runs once even if its answer is lost") {
  TestNode Node({});
  // Leaves a reusable connection to the service.
  CHECK(fetch(Node.port(), "POST", "/booking/slots", "{}").m_Status == 200);
  TestNode::setFaults(Node.service(), R"({"lose_next": 1})");
  const HttpResult Lost = fetch(Node.port(), "POST", "/booking/certificates",
                                "{}", {"Idempotency-Key: cert-1"});
  CHECK(Lost.m_Status == 502);
  CHECK(nlohmann::json::parse(Lost.m_Body)["error"]["run_state"] == "unknown");
  CHECK(Node.serviceRuns() == 2);
}

TEST_CASE("a call that its endpoint declines is reported as not run") {
  TestNode Node({});
  TestNode::setFaults(Node.service(), R"({"decline_next": 100})");
  const HttpResult Declined =
      fetch(Node.port(), "POST", "/booking/certificates", "{}",
            {"Idempotency-Key: cert-2"});
  CHECK(Declined.m_Status == 503);
  CHECK(Declined.m_Headers.at("bronzepass-run-state") == "not_run");
  CHECK(Node.serviceRuns() == 0);
}

TEST_CASE("ClaimEnded contains the first answer, to replay for repeats") {
  TestNode Node({});
  const HttpResult First = fetch(Node.port(), "POST", "/booking/certificates",
                                 "{\"unit\":7}", {"Idempotency-Key: cert-3"});
  CHECK(First.m_Status == 200);
  REQUIRE(waitFor([&Node] {
    return Node.control().count<core::ports::ClaimEnded>() == 1;
  }));
  const core::ports::ClaimEnded Ended =
      Node.control().last<core::ports::ClaimEnded>();
  CHECK(Ended.m_Answer == First.m_Body);
  CHECK(Ended.m_Status == 200);
}

TEST_CASE("control characters from callers don't reach or disable endpoints") {
  TestNode Node({});
  RawConnection Odd(Node.port());
  Odd.send(makePost("/booking/a\x01"
                    "b",
                    "{}"));
  CHECK(Odd.readUntil("malformed_request"));
  RawConnection Injecting(Node.port());
  Injecting.send(makePost("/booking/slots", "{}",
                          "Idempotency-Key: k\nX-Injected: 1\r\n"));
  Injecting.readUntil("\r\n\r\n");
  CHECK(fetch(Node.port(), "POST", "/booking/slots", "{}").m_Status == 200);
  const std::string Runs = fetch(Node.service().port(), "GET", "/runs").m_Body;
  CHECK(Runs.find("\\n") == std::string::npos);
}

TEST_CASE("a repeat gets the complete first answer or an error that it ran") {
  TestNode Node({});
  const std::vector<std::string> ShortKey = {"Idempotency-Key: short"};
  const char *const Path = "/booking/certificates";
  const HttpResult First = fetch(Node.port(), "POST", Path, "{}", ShortKey);
  const HttpResult Repeat = fetch(Node.port(), "POST", Path, "{}", ShortKey);
  CHECK(Repeat.m_Body == First.m_Body);
  CHECK(Repeat.m_Headers.at("bronzepass-replayed") == "true");
  // The service echoes the body, which is larger than the replay limit.
  const std::vector<std::string> LongKey = {"Idempotency-Key: long"};
  const std::string Body(16 << 10, 'x');
  CHECK(fetch(Node.port(), "POST", Path, Body, LongKey).m_Status == 200);
  const HttpResult NotKept = fetch(Node.port(), "POST", Path, Body, LongKey);
  CHECK(NotKept.m_Status == 409);
  const nlohmann::json Error = nlohmann::json::parse(NotKept.m_Body)["error"];
  CHECK(Error["run_state"] == "ran");
  CHECK(Error["reason"] == "answer_not_kept");
  CHECK(Node.serviceRuns() == 2);
}

TEST_CASE("a dead reused connection does not prove that the request did not "
          "run, and the request is not resent") {
  stand_ins::ServiceStandIn Service({"127.0.0.1", 0});
  REQUIRE_FALSE(Service.start());
  net::LoopThread Thread;
  curl::CurlMulti Curl(Thread.loop(), 8);
  Thread.start();
  REQUIRE(
      transfer(Thread.loop(), Curl, serviceCall(Service.port())).m_Complete);
  // The next call runs and its connection breaks without an answer. By default
  // libcurl resends it on a new connection, so that it runs twice.
  TestNode::setFaults(Service, R"({"lose_next": 1})");
  const curl::TransferResult Reused =
      transfer(Thread.loop(), Curl, serviceCall(Service.port()));
  CHECK_FALSE(Reused.m_Complete);
  CHECK(Reused.m_BytesSent > 0);
  const HttpResult Once = fetch(Service.port(), "GET", "/runs");
  CHECK(nlohmann::json::parse(Once.m_Body)["runs"] == 2);
  // The same on a fresh connection.
  TestNode::setFaults(Service, R"({"lose_next": 1})");
  curl::TransferRequest Fresh = serviceCall(Service.port());
  Fresh.m_FreshConnection = true;
  const curl::TransferResult Lost = transfer(Thread.loop(), Curl, Fresh);
  CHECK_FALSE(Lost.m_Complete);
  CHECK(Lost.m_BytesSent > 0);
  const HttpResult Runs = fetch(Service.port(), "GET", "/runs");
  CHECK(nlohmann::json::parse(Runs.m_Body)["runs"] == 3);
  Thread.stop();
}

TEST_CASE("bytes sent on a dead connection count even if the next is refused") {
  net::LoopThread Thread;
  curl::CurlMulti Curl(Thread.loop(), 8);
  Thread.start();
  std::unique_ptr<stand_ins::ServiceStandIn> Service =
      std::make_unique<stand_ins::ServiceStandIn>(
          core::model::Address{"127.0.0.1", 0});
  REQUIRE_FALSE(Service->start());
  const uint16_t Port = Service->port();
  REQUIRE(transfer(Thread.loop(), Curl, serviceCall(Port)).m_Complete);
  TestNode::setFaults(*Service, R"({"delay_ms": 600000})");
  // The call runs, then the service stops and nothing listens on the port.
  const std::shared_ptr<ResultListener> Listener =
      std::make_shared<ResultListener>();
  Thread.loop().post(
      [&Curl, Port, Listener] { Curl.start(serviceCall(Port), Listener); });
  REQUIRE(waitFor([Port] {
    const HttpResult Runs = fetch(Port, "GET", "/runs");
    return nlohmann::json::parse(Runs.m_Body)["runs"] == 2;
  }));
  Service.reset();
  const curl::TransferResult Result = Listener->m_Result.get_future().get();
  CHECK_FALSE(Result.m_Complete);
  CHECK(Result.m_BytesSent > 0);
  // Here nothing was sent, which proves that the request did not run.
  const curl::TransferResult Refused =
      transfer(Thread.loop(), Curl, serviceCall(Port));
  CHECK(Refused.m_Refused);
  CHECK(Refused.m_BytesSent == 0);
  Thread.stop();
}

} // namespace bronzepass::unit_tests::adapters::http
