#include "Core/Adapters/Front/FrontServer.h"

#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <optional>
#include <string>

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
    Reply.m_Close = m_Closing;
    Answer->send(Reply);
  }

  bool m_Closing = false;
};

} // namespace

// Guards against a planned stop cutting requests that were accepted just before
// it.
TEST_CASE("requests that the kernel accepted before a stop are answered") {
  for (const bool IsKeptConnection : {false, true}) {
    CAPTURE(IsKeptConnection);
    core::adapters::net::LoopThread Thread;
    EchoHandler Handler;
    front::FrontServer Server(Thread.loop(), Handler);
    REQUIRE_FALSE(Server.listen({"127.0.0.1", 0}));
    const uint16_t Port = Server.port();
    Thread.start();
    std::optional<http::RawConnection> Kept;
    if (IsKeptConnection) {
      Kept.emplace(Port);
      Kept->send(Request);
      REQUIRE(Kept->readUntil("/x"));
      Kept->clearText();
    }
    std::promise<void> LoopIsBusy;
    std::promise<void> RequestIsSent;
    Thread.loop().post([&] {
      LoopIsBusy.set_value();
      RequestIsSent.get_future().wait();
      Handler.m_Closing = true;
      Server.closeIdle();
    });
    LoopIsBusy.get_future().wait();
    if (!Kept)
      Kept.emplace(Port);
    Kept->send(Request);
    RequestIsSent.set_value();
    CHECK(Kept->readToEnd());
    CHECK(Kept->text().rfind("HTTP/1.1 200", 0) == 0);
    Thread.stop();
  }
}

} // namespace bronzepass::unit_tests::adapters::front
