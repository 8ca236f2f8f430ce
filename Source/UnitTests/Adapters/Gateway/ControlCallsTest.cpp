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

TEST_CASE("a control call's answer that breaks off is none") {
  for (const char *const Response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Len", ""}) {
    const relay::HttpResult Result = callResult(Response, ConnectionEnd::Close);
    CHECK(Result.m_Status == 0);
    CHECK_FALSE(Result.m_NotSent);
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
