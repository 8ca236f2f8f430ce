#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include <atomic>
#include <doctest/doctest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::http {

namespace {

const char *const ChatPath = "/v1/chat/completions";

/// Counts the occurrences of \p Part in \p Text.
size_t countOccurrences(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("a caller that disconnects cancels its stream on the engine") {
  TestNode Node({});
  RawConnection Leaving(Node.port());
  Leaving.send(makePost(ChatPath, chatBody("anna", 100000, true)));
  REQUIRE(Leaving.readUntil("anna:3 "));
  Leaving.close();
  CHECK(waitFor([&Node] { return Node.engineCount("cancelled") == 1; }));
  CHECK(fetch(Node.port(), "POST", ChatPath, chatBody("omar", 2, true))
            .m_Complete);
}

TEST_CASE("a caller that stops reading is disconnected, others are served") {
  TestNode::Settings Settings;
  Settings.m_Engine.m_Step = std::chrono::microseconds(100);
  Settings.m_CallerServer.m_Server.m_Connections.m_BufferBytes = 64 << 10;
  TestNode Node(Settings);
  RawConnection Stopped(Node.port(), 4096);
  // Far more than the kernel and the node buffer for one caller.
  Stopped.send(
      makePost(ChatPath, chatBody(std::string(4096, 's'), 100000, true)));
  REQUIRE(Stopped.readUntil("HTTP/1.1 200"));
  const HttpResult Other =
      fetch(Node.port(), "POST", ChatPath, chatBody("omar", 20, true));
  CHECK(Other.m_Complete);
  CHECK(waitFor([&Node] { return Node.engineCount("cancelled") == 1; }));
  // Data that was already sent may still be read, but the response must not end
  // cleanly.
  CHECK(Stopped.readToEnd());
  CHECK(Stopped.text().find("[DONE]") == std::string::npos);
  CHECK_FALSE(Stopped.text().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that breaks on the engine is incomplete for the caller") {
  TestNode Node({});
  TestNode::setFaults(Node.engine(),
                      R"({"break_next": 1, "break_after_tokens": 3})");
  const HttpResult Broken =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 10, true));
  CHECK(Broken.m_Status == 200);
  CHECK_FALSE(Broken.m_Complete);
  CHECK(Broken.m_Body.find("anna:2 ") != std::string::npos);
  CHECK(Broken.m_Body.find("[DONE]") == std::string::npos);
}

TEST_CASE("a stream that ends without its terminal marker is incomplete") {
  TestNode Node({});
  TestNode::setFaults(
      Node.engine(),
      R"({"break_next": 1, "break_after_tokens": 3, "end_cleanly": true})");
  const HttpResult Short =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 10, true));
  CHECK_FALSE(Short.m_Complete);
  CHECK(Short.m_Body.find("anna:2 ") != std::string::npos);
}

TEST_CASE("a broken stream resumes at the exact byte if engines can resume") {
  TestNode::Settings Settings;
  Settings.m_CanResume = true;
  TestNode Node(Settings);
  const HttpResult Unbroken =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 10, true));
  TestNode::setFaults(Node.engine(),
                      R"({"break_next": 1, "break_after_tokens": 3})");
  const HttpResult Resumed =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 10, true));
  CHECK(Resumed.m_Complete);
  CHECK(Resumed.m_Body == Unbroken.m_Body);
  CHECK(Node.engineCount("started") == 3);
}

TEST_CASE("a stream that restarts instead of resuming is not relayed") {
  TestNode::Settings Settings;
  Settings.m_CanResume = true;
  Settings.m_Engine.m_CanResume = false;
  TestNode Node(Settings);
  TestNode::setFaults(Node.engine(),
                      R"({"break_next": 1, "break_after_tokens": 3})");
  const HttpResult Broken =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 10, true));
  CHECK_FALSE(Broken.m_Complete);
  CHECK(countOccurrences(Broken.m_Body, "anna:0 ") == 1);
}

TEST_CASE("a stream that lasts longer than all timeouts is complete") {
  constexpr std::chrono::seconds Timeout(1);
  TestNode::Settings Settings;
  Settings.m_CallerServer.m_Server.m_HeaderTimeout = Timeout;
  Settings.m_CallerServer.m_Server.m_BodyTimeout = Timeout;
  Settings.m_CallerServer.m_Server.m_Connections.m_KeepAlive = Timeout;
  Settings.m_Engine.m_Step = std::chrono::milliseconds(100);
  TestNode Node(Settings);
  const HttpResult Long =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 35, true));
  CHECK(Long.m_Complete);
  CHECK(Long.m_Body.find("anna:34 ") != std::string::npos);
  CHECK(Long.m_Body.find("408") == std::string::npos);
}

TEST_CASE("a connection that is idle after its answer is closed silently") {
  TestNode::Settings Settings;
  Settings.m_CallerServer.m_Server.m_Connections.m_KeepAlive =
      std::chrono::seconds(1);
  TestNode Node(Settings);
  RawConnection Idle(Node.port());
  Idle.send(makePost(ChatPath, chatBody("anna", 1, false)));
  REQUIRE(Idle.readUntil("anna:0 "));
  CHECK(Idle.readToEnd());
  CHECK(countOccurrences(Idle.text(), "HTTP/1.1") == 1);
}

TEST_CASE("each request on a reused connection gets its own answer") {
  TestNode Node({});
  RawConnection Kept(Node.port());
  for (int I = 0; I < 20; ++I) {
    const std::string User = "user" + std::to_string(I);
    Kept.clearText();
    Kept.send(makePost(ChatPath, chatBody(User, 2, I % 2 == 0)));
    INFO(I, Kept.text());
    REQUIRE(Kept.readUntil(I % 2 == 0 ? "0\r\n\r\n" : "}}"));
    CHECK(countOccurrences(Kept.text(), User + ":") == 2);
    CHECK(countOccurrences(Kept.text(), ":1 ") == 1);
  }
}

TEST_CASE(
    "late answers reach only their own callers when descriptors are reused") {
  constexpr int Threads = 8;
  constexpr int Rounds = 60;
  TestNode::Settings Settings;
  Settings.m_Engine.m_Slots = 256;
  TestNode Node(Settings);
  std::atomic<int> Crossed = 0;
  std::atomic<int> Missing = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(Threads);
  for (int T = 0; T < Threads; ++T)
    Callers.emplace_back([&Node, &Crossed, &Missing, T] {
      for (int I = 0; I < Rounds; ++I) {
        const std::string Name = std::to_string(T) + "-" + std::to_string(I);
        // When this caller disconnects, its descriptor number is reused for the
        // next connection while its answer is still pending.
        {
          RawConnection Leaving(Node.port());
          Leaving.send(makePost(ChatPath, chatBody("left" + Name, 4, false)));
        }
        RawConnection Staying(Node.port());
        Staying.send(makePost(ChatPath, chatBody("own" + Name, 2, I % 2 == 0)));
        if (!Staying.readUntil("own" + Name + ":1 "))
          ++Missing;
        if (Staying.text().find("left") != std::string::npos ||
            countOccurrences(Staying.text(), "HTTP/1.1") != 1)
          ++Crossed;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Missing == 0);
  CHECK(Crossed == 0);
}

} // namespace bronzepass::unit_tests::adapters::http
