#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::front {

namespace {

namespace front = core::adapters::front;
namespace http = unit_tests::adapters::http;
namespace resources = core::resources;
using namespace std::chrono_literals;

constexpr uint64_t MaxBody = 200 << 10;

/// Answers with the length of the body, and refuses with the request's id.
class LengthHandler : public front::FrontHandler {
public:
  void onRequest(front::FrontRequest Received,
                 std::shared_ptr<core::adapters::pistache::HttpResponseWriter>
                     Answer) override {
    core::adapters::pistache::HttpReply Reply;
    Reply.m_Status = 200;
    Reply.m_Body = std::to_string(Received.m_Body.size());
    Answer->send(Reply);
  }
  std::vector<core::adapters::pistache::HttpHeader> refusalHeaders(
      const std::vector<core::adapters::pistache::HttpHeader> &Received,
      std::optional<core::model::Duration> After) const override {
    std::vector<core::adapters::pistache::HttpHeader> Headers;
    for (const core::adapters::pistache::HttpHeader &Each : Received)
      if (Each.m_Name == "X-Id")
        Headers.push_back(Each);
    if (After)
      Headers.push_back({"Retry-After", "1"});
    return Headers;
  }
};

/// Keeps requests, as long as they are sent to an endpoint.
class KeepingHandler : public LengthHandler {
public:
  void onRequest(front::FrontRequest Received,
                 std::shared_ptr<core::adapters::pistache::HttpResponseWriter>
                     Answer) override {
    m_Kept.push_back(std::move(Received));
    m_Answers.push_back(std::move(Answer));
    ++m_Count;
  }

  std::vector<front::FrontRequest> m_Kept;
  std::vector<std::shared_ptr<core::adapters::pistache::HttpResponseWriter>>
      m_Answers;
  std::atomic<int> m_Count = 0;
};

/// A server whose memory holds two of the largest bodies.
class SmallServer {
public:
  explicit SmallServer(front::FrontHandler *Handler = nullptr)
      : m_Memory({64 << 10, 2 * (MaxBody + (48 << 10)), 1 << 20, 4}),
        m_Server(m_Thread.loop(), Handler ? *Handler : m_Handler) {
    front::FrontLimits Limits;
    Limits.m_Parser.m_MaxBodyBytes = MaxBody;
    m_Server.setLimits(Limits);
    m_Server.setMemory(m_Memory);
    m_Server.setPlaces(6);
    REQUIRE_FALSE(m_Server.listen({"127.0.0.1", 0}));
    tick();
    m_Thread.start();
  }
  ~SmallServer() { m_Thread.stop(); }
  SmallServer(const SmallServer &) = delete;
  SmallServer &operator=(const SmallServer &) = delete;

  uint16_t port() const { return m_Server.port(); }
  core::adapters::net::EventLoop &loop() { return m_Thread.loop(); }

private:
  void tick() {
    m_Memory.tick(front::FrontServer::now());
    m_Thread.loop().runAfter(20ms, [this] { tick(); });
  }

  resources::CallerMemory m_Memory;
  LengthHandler m_Handler;
  core::adapters::net::LoopThread m_Thread;
  front::FrontServer m_Server;
};

std::string post(const std::string &Id, size_t Length) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Length) + "\r\n\r\n";
}

} // namespace

TEST_CASE("bodies that stop are refused with their own id when others need "
          "their memory") {
  SmallServer Server;
  http::RawConnection First(Server.port());
  http::RawConnection Second(Server.port());
  const std::string Most(MaxBody - 1, 'x');
  First.send(post("first", MaxBody) + Most);
  Second.send(post("second", MaxBody) + Most);
  // Long enough for both to have stopped.
  std::this_thread::sleep_for(1200ms);
  http::RawConnection Third(Server.port());
  Third.send(post("third", MaxBody) + Most + "x");
  CHECK(Third.readUntil("\r\n\r\n" + std::to_string(MaxBody)));
  CHECK(First.readUntil("HTTP/1.1 503"));
  CHECK(First.readUntil("X-Id: first"));
  CHECK(First.readUntil("Retry-After: 1"));
}

// Guards against a node that exceeds its memory by bodies of callers that left.
TEST_CASE("bodies that are still needed count after their callers have left") {
  KeepingHandler Handler;
  SmallServer Server(&Handler);
  const std::string Body(MaxBody, 'x');
  for (int I = 0; I < 2; ++I) {
    http::RawConnection Leaving(Server.port());
    Leaving.send(post("leaving", MaxBody) + Body);
    while (Handler.m_Count <= I)
      std::this_thread::sleep_for(5ms);
  }
  std::this_thread::sleep_for(200ms);
  http::RawConnection Refused(Server.port());
  Refused.send(post("refused", MaxBody) + Body);
  CHECK(Refused.readUntil("HTTP/1.1 503"));
  CHECK(Handler.m_Count == 2);
  Server.loop().post([&Handler] { Handler.m_Kept.clear(); });
  std::this_thread::sleep_for(100ms);
  http::RawConnection Accepted(Server.port());
  Accepted.send(post("accepted", MaxBody) + Body);
  for (int I = 0; I < 400 && Handler.m_Count < 3; ++I)
    std::this_thread::sleep_for(5ms);
  CHECK(Handler.m_Count == 3);
  Server.loop().post([&Handler] {
    Handler.m_Kept.clear();
    Handler.m_Answers.clear();
  });
  std::this_thread::sleep_for(100ms);
}

TEST_CASE("a new caller gets the place of one that does nothing") {
  SmallServer Server;
  std::vector<std::unique_ptr<http::RawConnection>> Idle;
  for (int I = 0; I < 20; ++I)
    Idle.push_back(std::make_unique<http::RawConnection>(Server.port()));
  http::RawConnection New(Server.port());
  New.send(post("new", 3) + "abc");
  CHECK(New.readUntil("\r\n\r\n3"));
}

} // namespace bronzepass::unit_tests::adapters::front
