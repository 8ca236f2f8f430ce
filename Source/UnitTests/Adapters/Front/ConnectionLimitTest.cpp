#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::adapters::front {

namespace {

namespace front = core::adapters::front;
namespace http = unit_tests::adapters::http;
using namespace std::chrono_literals;

const std::string Request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// Answers each request at once.
class EchoHandler : public front::FrontHandler {
public:
  void onRequest(front::FrontRequest Received,
                 std::shared_ptr<core::adapters::pistache::HttpResponseWriter>
                     Answer) override {
    core::adapters::pistache::HttpReply Reply;
    Reply.m_Status = 200;
    Reply.m_Body = std::string(Received.path());
    Answer->send(Reply);
  }
};

/// Answers with more than the kernel's buffers hold.
class LongAnswerHandler : public front::FrontHandler {
public:
  static constexpr size_t Bytes = 8 << 20;
  static constexpr const char *End = "the end";

  void onRequest(front::FrontRequest /*Received*/,
                 std::shared_ptr<core::adapters::pistache::HttpResponseWriter>
                     Answer) override {
    core::adapters::pistache::HttpReply Reply;
    Reply.m_Status = 200;
    Reply.m_Body = std::string(Bytes, 'x') + End;
    Reply.m_Close = m_Closing;
    Answer->send(Reply);
  }

  bool m_Closing = false;
};

/// A server whose loop can be kept busy while a caller goes on sending.
class BusyServer {
public:
  explicit BusyServer(const front::FrontLimits &Limits)
      : m_Server(m_Thread.loop(), m_Handler) {
    m_Server.setLimits(Limits);
    REQUIRE_FALSE(m_Server.listen({"127.0.0.1", 0}));
    m_Thread.start();
  }
  ~BusyServer() { m_Thread.stop(); }

  uint16_t port() const { return m_Server.port(); }
  void setLimits(const front::FrontLimits &Limits) {
    m_Thread.loop().post([this, Limits] { m_Server.setLimits(Limits); });
  }
  /// Runs \p Work while the loop does nothing for \p Span.
  void whileBusy(std::chrono::milliseconds Span,
                 const std::function<void()> &Work) {
    std::promise<void> LoopIsBusy;
    m_Thread.loop().post([&LoopIsBusy, Span] {
      LoopIsBusy.set_value();
      std::this_thread::sleep_for(Span);
    });
    LoopIsBusy.get_future().wait();
    Work();
  }

private:
  core::adapters::net::LoopThread m_Thread;
  EchoHandler m_Handler;
  front::FrontServer m_Server;
};

} // namespace

// Guards against dropping a request that arrived before the idle limit ended.
TEST_CASE("a request that waits in the kernel when the idle limit ends is "
          "answered") {
  front::FrontLimits Limits;
  Limits.m_IdleTimeout = 300ms;
  for (const bool IsFirst : {false, true}) {
    CAPTURE(IsFirst);
    BusyServer Server(Limits);
    http::RawConnection Caller(Server.port());
    if (!IsFirst) {
      Caller.send(Request);
      REQUIRE(Caller.readUntil("/x"));
      Caller.clearText();
    } else {
      // Accepted before the loop is busy.
      std::this_thread::sleep_for(50ms);
    }
    Server.whileBusy(600ms, [&] { Caller.send(Request); });
    CHECK(Caller.readUntil("/x"));
    CHECK(Caller.text().rfind("HTTP/1.1 200", 0) == 0);
  }
}

// Guards against closing kept connections whose callers go by a newer limit.
TEST_CASE("a connection rests for the new idle limit when that is raised") {
  front::FrontLimits Limits;
  Limits.m_IdleTimeout = 300ms;
  BusyServer Server(Limits);
  http::RawConnection Caller(Server.port());
  Caller.send(Request);
  REQUIRE(Caller.readUntil("/x"));
  Limits.m_IdleTimeout = 1500ms;
  Server.setLimits(Limits);
  for (int Rest = 0; Rest < 2; ++Rest) {
    std::this_thread::sleep_for(800ms);
    Caller.clearText();
    Caller.send(Request);
    CHECK(Caller.readUntil("/x"));
  }
  // Closed by the new limit.
  CHECK(Caller.readToEnd());
}

// Guards against refusing a request that the limits in force allow.
TEST_CASE("a request on a connection that rested has the limits in force") {
  const std::string Body(100, 'x');
  const std::string Larger =
      "POST /larger HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + Body;
  for (const bool IsFirst : {false, true}) {
    CAPTURE(IsFirst);
    front::FrontLimits Limits;
    Limits.m_Parser.m_MaxBodyBytes = 10;
    BusyServer Server(Limits);
    http::RawConnection Caller(Server.port());
    if (IsFirst) {
      // Accepted before the limits change.
      std::this_thread::sleep_for(50ms);
    } else {
      Caller.send(Request);
      REQUIRE(Caller.readUntil("/x"));
      Caller.clearText();
    }
    Limits.m_Parser.m_MaxBodyBytes = 1000;
    Server.setLimits(Limits);
    std::this_thread::sleep_for(50ms);
    Caller.send(Larger);
    CHECK(Caller.readUntil("/larger"));
    CHECK(Caller.text().rfind("HTTP/1.1 200", 0) == 0);
  }
}

// Guards against refusing a request whose rest arrived before its limit ended.
TEST_CASE("a head that is complete in the kernel when the header limit ends is "
          "answered") {
  front::FrontLimits Limits;
  Limits.m_HeaderTimeout = 300ms;
  BusyServer Server(Limits);
  http::RawConnection Caller(Server.port());
  Caller.send(Request.substr(0, 10));
  std::this_thread::sleep_for(50ms);
  Server.whileBusy(600ms, [&] { Caller.send(Request.substr(10)); });
  CHECK(Caller.readUntil("/x"));
  CHECK(Caller.text().rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against keeping a connection open whose caller sends a byte just
// before each limit.
TEST_CASE("a head that is incomplete when the header limit ends is refused") {
  front::FrontLimits Limits;
  Limits.m_HeaderTimeout = 300ms;
  BusyServer Server(Limits);
  http::RawConnection Caller(Server.port());
  Caller.send(Request.substr(0, 10));
  std::this_thread::sleep_for(50ms);
  Server.whileBusy(600ms, [&] { Caller.send(Request.substr(10, 1)); });
  CHECK(Caller.readToEnd());
  CHECK(Caller.text().rfind("HTTP/1.1 408", 0) == 0);
}

// Guards against keeping a connection for empty lines behind an answer.
TEST_CASE("an idle connection on which only line ends arrive is closed") {
  front::FrontLimits Limits;
  Limits.m_IdleTimeout = 300ms;
  BusyServer Server(Limits);
  http::RawConnection Caller(Server.port());
  Caller.send(Request);
  REQUIRE(Caller.readUntil("/x"));
  Caller.clearText();
  Server.whileBusy(600ms, [&] { Caller.send("\r\n"); });
  CHECK(Caller.readToEnd());
  CHECK(Caller.text().empty());
}

// Guards against losing the rest of an answer to a caller that reads slowly.
TEST_CASE("an answer is complete though its caller pauses for longer than the "
          "limits while it reads") {
  for (const bool Closes : {false, true}) {
    CAPTURE(Closes);
    front::FrontLimits Limits;
    Limits.m_IdleTimeout = 2500ms;
    Limits.m_MaxUnsentBytes = 2 * LongAnswerHandler::Bytes;
    core::adapters::net::LoopThread Thread;
    LongAnswerHandler Handler;
    Handler.m_Closing = Closes;
    front::FrontServer Server(Thread.loop(), Handler);
    Server.setLimits(Limits);
    REQUIRE_FALSE(Server.listen({"127.0.0.1", 0}));
    Thread.start();
    http::RawConnection Caller(Server.port(), 4096);
    Caller.send(Request);
    REQUIRE(Caller.readUntil("\r\n\r\n"));
    for (int Pause = 0; Pause < 4; ++Pause) {
      std::this_thread::sleep_for(1500ms);
      Caller.readAtLeast(LongAnswerHandler::Bytes / 8);
    }
    CHECK(Caller.readUntil(LongAnswerHandler::End));
    Thread.stop();
  }
}

// Guards against cutting the rest of finished answers when a node stops or when
// its places for connections are taken.
TEST_CASE("an answer that its caller still reads is complete though the server "
          "gives idle connections up") {
  for (const bool Stops : {false, true}) {
    for (const bool Closes : {false, true}) {
      CAPTURE(Stops);
      CAPTURE(Closes);
      front::FrontLimits Limits;
      Limits.m_MaxUnsentBytes = 2 * LongAnswerHandler::Bytes;
      core::adapters::net::LoopThread Thread;
      LongAnswerHandler Handler;
      Handler.m_Closing = Closes;
      front::FrontServer Server(Thread.loop(), Handler);
      Server.setLimits(Limits);
      Server.setPlaces(1);
      REQUIRE_FALSE(Server.listen({"127.0.0.1", 0}));
      http::RawConnection Caller(Server.port(), 4096);
      Caller.send(Request);
      // By now, so that the only place is not given up as an idle one.
      Thread.start();
      REQUIRE(Caller.readUntil("\r\n\r\n"));
      // Requests that do not move keep their places for a second.
      std::this_thread::sleep_for(1200ms);
      std::unique_ptr<http::RawConnection> Other;
      if (Stops)
        Thread.loop().post([&Server] { Server.closeIdle(); });
      else
        Other = std::make_unique<http::RawConnection>(Server.port());
      std::this_thread::sleep_for(100ms);
      CHECK(Caller.readUntil(LongAnswerHandler::End));
      Thread.stop();
    }
  }
}

} // namespace bronzepass::unit_tests::adapters::front
