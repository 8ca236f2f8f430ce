#include "Core/Adapters/Gateway/ControlCalls.h"

#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

namespace relay = core::gateway;
using namespace std::chrono_literals;

enum class ConnectionEnd { Close, Reset };

/// The result of a call whose answer is \p Response and the connection's end.
relay::HttpResult callResult(const std::string &Response, ConnectionEnd End) {
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(Response);
        // Lets the bytes be read before a reset discards them.
        std::this_thread::sleep_for(50ms);
        if (End == ConnectionEnd::Reset)
          To.reset();
        else
          To.close();
      });
  core::adapters::net::LoopThread Thread;
  core::adapters::gateway::ControlCalls Calls(Thread.loop());
  std::promise<relay::HttpResult> Done;
  Calls.call({"127.0.0.1", Endpoint.port()}, {.m_Target = "/report"}, 5s,
             core::adapters::gateway::ControlCalls::ConnectionUse::Kept,
             [&](const relay::HttpResult &Result) { Done.set_value(Result); });
  Thread.start();
  const relay::HttpResult Result = Done.get_future().get();
  Thread.stop();
  return Result;
}

} // namespace

TEST_CASE("a control call's answer without a length ends with its connection") {
  const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";
  const relay::HttpResult Closed =
      callResult(Head + "{}", ConnectionEnd::Close);
  CHECK(Closed.m_Status == 200);
  CHECK(Closed.m_Body == "{}");
  const relay::HttpResult Reset = callResult(Head + "{}", ConnectionEnd::Reset);
  CHECK(Reset.m_Status == 0);
  CHECK_FALSE(Reset.m_NotSent);
}

// Guards against an order, a report or an answer of the store that is taken
// from a server in trouble.
TEST_CASE("a control call's answer without a valid status is none") {
  for (const std::string Status : {"000", "099", "20", "2000", "", "abc"})
    for (const std::string Interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
      for (const std::string Rest :
           {"Content-Length: 2\r\n\r\n{}", "\r\n{}",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"}) {
        CAPTURE(Status);
        CAPTURE(Rest);
        const relay::HttpResult Result =
            callResult(Interim + "HTTP/1.1 " + Status + " X\r\n" + Rest,
                       ConnectionEnd::Close);
        CHECK(Result.m_Status == 0);
        CHECK_FALSE(Result.m_NotSent);
      }
}

TEST_CASE("a control call's answer that breaks off is none") {
  for (const char *const Response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Len", ""}) {
    const relay::HttpResult Result = callResult(Response, ConnectionEnd::Close);
    CHECK(Result.m_Status == 0);
    CHECK_FALSE(Result.m_NotSent);
  }
}

namespace {

/// The result of a call whose answer begins with \p Start and goes on with
/// \p Piece until the caller closes the connection.
relay::HttpResult endlessCallResult(const std::string &Start,
                                    const std::string &Piece) {
  std::promise<void> Closed;
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(Start);
        while (To.write(Piece)) {
        }
        Closed.set_value();
      });
  core::adapters::net::LoopThread Thread;
  core::adapters::gateway::ControlCalls Calls(Thread.loop());
  std::promise<relay::HttpResult> Done;
  Calls.call({"127.0.0.1", Endpoint.port()}, {.m_Target = "/report"}, 20s,
             core::adapters::gateway::ControlCalls::ConnectionUse::Kept,
             [&](const relay::HttpResult &Result) { Done.set_value(Result); });
  Thread.start();
  const relay::HttpResult Result = Done.get_future().get();
  CHECK(Closed.get_future().wait_for(5s) == std::future_status::ready);
  Thread.stop();
  return Result;
}

} // namespace

// Guards against reading an answer without end until the call's timeout.
TEST_CASE("a control call whose answer has no end is given up") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Lines = "X-Padding: " + std::string(1000, 'a') + "\r\n";
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  CHECK(endlessCallResult(Head + "\r\n", std::string(65536, 'a')).m_Status ==
        0);
  CHECK(endlessCallResult(Head, Lines).m_Status == 0);
  CHECK(endlessCallResult(Head + "X-Long: ", std::string(1000, 'a')).m_Status ==
        0);
  CHECK(endlessCallResult("", "HTTP/1.1 103 Early Hints\r\n\r\n").m_Status ==
        0);
  CHECK(
      endlessCallResult(Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Lines)
          .m_Status == 0);
  CHECK(std::chrono::steady_clock::now() - Start < 15s);
}

// Guards against the second copy of an answer being taken for the answer to the
// next call on the same connection.
TEST_CASE("a call on a single-use connection never gets the second copy of an "
          "earlier answer") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &Request,
                               int) {
    const std::string Target = Request.substr(4, Request.find(" HTTP") - 4);
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Target.size()) +
        "\r\n\r\n" + Target;
    To.write(Answer);
    // By now the next call would have been sent on this connection.
    std::this_thread::sleep_for(50ms);
    To.write(Answer);
  });
  core::adapters::net::LoopThread Thread;
  core::adapters::gateway::ControlCalls Calls(Thread.loop());
  Thread.start();
  for (const std::string Target : {"/first", "/second", "/third"}) {
    std::promise<std::string> Body;
    Thread.loop().post([&] {
      Calls.call({"127.0.0.1", Endpoint.port()}, {.m_Target = Target}, 5s,
                 core::adapters::gateway::ControlCalls::ConnectionUse::Single,
                 [&](const relay::HttpResult &Result) {
                   Body.set_value(Result.m_Body);
                 });
    });
    CHECK(Body.get_future().get() == Target);
  }
  Thread.stop();
}

} // namespace bronzepass::unit_tests::adapters::gateway
