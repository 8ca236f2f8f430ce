#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Gateway/UnreadEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

using http::RawConnection;
using namespace std::chrono_literals;

namespace {

/// Longer than a request may reach an endpoint after its caller has left.
constexpr std::chrono::milliseconds BusyTime = 700ms;

const std::string Whole = std::string(Sealed) + "Content-Length: 2\r\n\r\nok";
const std::string NotRun = "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\n"
                           "X-Server-Seal: s\r\nX-Not-Run: 1\r\n"
                           "Content-Length: 0\r\n\r\n";

bool waitUntil(const std::atomic<bool> &Flag) {
  return http::waitFor([&Flag] { return Flag.load(); });
}

uint16_t closedPort() {
  return ScriptedEndpoint([](ScriptConnection &, const std::string &, int) {})
      .port();
}

} // namespace

// Guards against requests that reach an endpoint long after their callers have
// left, because the node was busy when both arrived.
TEST_CASE("a request whose caller left while the loop was busy is not sent") {
  for (const std::string Path : {"/once/x", "/again/x", "/stream/x"})
    for (const bool IsAccepted : {false, true}) {
      CAPTURE(Path);
      CAPTURE(IsAccepted);
      ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &,
                                   int) { To.write(Whole); });
      RelayNode Node({Endpoint.port()});
      // A connection to the endpoint is open already.
      REQUIRE(answerTo(Node, onceRequest()).find("ok") != std::string::npos);
      std::optional<RawConnection> Caller;
      if (IsAccepted) {
        Caller.emplace(Node.port());
        Node.settle();
      }
      Node.whileBusy(BusyTime, [&] {
        if (!Caller)
          Caller.emplace(Node.port());
        Caller->send(requestText(Path));
        Caller->close();
      });
      Node.settle();
      CHECK(Endpoint.requests().size() == 1);
    }
}

// The same of a request that a freed place, a retry or a new connection would
// send on in the turn in which the close is found.
TEST_CASE("a request whose caller left while the loop was busy is not tried "
          "again") {
  for (const std::string Path : {"/once/x", "/again/x", "/stream/x"}) {
    CAPTURE(Path);
    std::atomic<bool> IsReady = false;
    std::atomic<bool> Asked = false;
    std::atomic<bool> MayAnswer = false;
    ScriptedEndpoint Endpoint(
        [&](ScriptConnection &To, const std::string &, int) {
          if (!IsReady) {
            To.write(Whole);
            return;
          }
          Asked = true;
          waitUntil(MayAnswer);
          To.write(NotRun);
        });
    ScriptedEndpoint Other([](ScriptConnection &To, const std::string &, int) {
      To.write(Whole);
    });
    RelayNode Node({Endpoint.port(), Other.port()});
    // Until both have a connection that is kept.
    REQUIRE(http::waitFor([&] {
      answerTo(Node, onceRequest());
      return !Endpoint.requests().empty() && !Other.requests().empty();
    }));
    IsReady = true;
    // Until the first endpoint has a request.
    std::vector<RawConnection> Callers;
    while (!Asked) {
      Callers.emplace_back(Node.port());
      Callers.back().send(requestText(Path));
      std::this_thread::sleep_for(30ms);
    }
    const size_t Before = Other.requests().size();
    Node.whileBusy(BusyTime, [&] {
      MayAnswer = true;
      std::this_thread::sleep_for(100ms);
      Callers.back().close();
    });
    Node.settle();
    CHECK(Other.requests().size() == Before);
  }
}

// Guards against a node that sends what another one forwarded to it, after the
// caller has left that other one.
TEST_CASE("a forwarded request is taken back from the other node when its "
          "caller leaves") {
  for (const std::string Path : {"/once/x", "/again/x", "/stream/x"}) {
    CAPTURE(Path);
    ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &,
                                 int) { To.write(Whole); });
    RelayNode Lender({Endpoint.port()});
    RelayNode Node({closedPort(), closedPort(), closedPort()});
    Node.setPeer(Lender.forwardingPort());
    std::this_thread::sleep_for(100ms);
    REQUIRE(answerTo(Node, onceRequest()).find("ok") != std::string::npos);
    const size_t Before = Endpoint.requests().size();
    RawConnection Caller(Node.port());
    Lender.whileBusy(BusyTime, [&] {
      Caller.send(requestText(Path));
      std::this_thread::sleep_for(100ms);
      Caller.close();
    });
    Lender.settle();
    CHECK(Endpoint.requests().size() == Before);
  }
}

// Guards against closing a connection so that the kernel goes on delivering
// what nobody waits for any more.
TEST_CASE("what an endpoint has not received of a request is taken back when "
          "the caller leaves") {
  for (const std::string Path : {"/once/x", "/again/x", "/stream/x"}) {
    CAPTURE(Path);
    UnreadEndpoint Endpoint;
    RelayNode Node({Endpoint.port()});
    const std::string Body(1 << 20, 'x');
    RawConnection Caller(Node.port());
    Caller.send(requestText(Path, "Content-Length: " +
                                      std::to_string(Body.size()) + "\r\n") +
                Body);
    REQUIRE(Endpoint.waitForRequest());
    Caller.close();
    Node.settle();
    CHECK(Endpoint.readToEnd() < Body.size());
    CHECK(Endpoint.wasReset());
  }
}

// Guards against breaking off what an endpoint works on, so that nobody knows
// whether it was done.
TEST_CASE(
    "a request that may run once is left to finish at an endpoint that has "
    "all of it") {
  for (const size_t BodyBytes : {0, 600, 200000}) {
    CAPTURE(BodyBytes);
    std::atomic<bool> Asked = false;
    std::atomic<bool> HasLeft = false;
    std::atomic<bool> WasClosed = true;
    ScriptedEndpoint Endpoint(
        [&](ScriptConnection &To, const std::string &, int) {
          constexpr int WorkMillis = 300;
          Asked = true;
          waitUntil(HasLeft);
          WasClosed = To.waitForClose(WorkMillis);
          To.write(Whole);
        });
    RelayNode Node({Endpoint.port()});
    RawConnection Caller(Node.port());
    Caller.send(requestText("/once/x", "Content-Length: " +
                                           std::to_string(BodyBytes) + "\r\n") +
                std::string(BodyBytes, 'x'));
    REQUIRE(waitUntil(Asked));
    std::this_thread::sleep_for(100ms);
    Caller.close();
    HasLeft = true;
    Node.settle();
    Node.settle();
    CHECK_FALSE(WasClosed);
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
