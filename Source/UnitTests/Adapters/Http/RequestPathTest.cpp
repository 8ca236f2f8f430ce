#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::adapters::http {

namespace {

const char *const ChatPath = "/v1/chat/completions";

} // namespace

TEST_CASE("streamed and plain answers are received completely") {
  TestNode Node({});
  const HttpResult Stream =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 5, true));
  CHECK(Stream.m_Status == 200);
  CHECK(Stream.m_Complete);
  CHECK(Stream.m_Headers.at("content-type") == "text/event-stream");
  CHECK(Stream.m_Body.find("anna:0 ") != std::string::npos);
  CHECK(Stream.m_Body.find("anna:4 ") != std::string::npos);
  CHECK(Stream.m_Body.ends_with("data: [DONE]\n\n"));
  const HttpResult Plain =
      fetch(Node.port(), "POST", ChatPath, chatBody("omar", 3, false));
  CHECK(Plain.m_Status == 200);
  CHECK(Plain.m_Complete);
  CHECK(
      nlohmann::json::parse(Plain.m_Body)["choices"][0]["message"]["content"] ==
      "omar:0 omar:1 omar:2 ");
}

TEST_CASE(
    "a request is forwarded to the node that sends directly to the engine") {
  TestNode First({.m_Name = "node-1"});
  TestNode Second({.m_Name = "node-2"});
  const std::vector<core::model::NodeInfo> Nodes = {First.info(),
                                                    Second.info()};
  const bool FirstIsDirect = First.joinNodes(Nodes, 1);
  CHECK(Second.joinNodes(Nodes, 1) != FirstIsDirect);
  TestNode &DirectNode = FirstIsDirect ? First : Second;
  TestNode &ForwardingNode = FirstIsDirect ? Second : First;
  const HttpResult Direct =
      fetch(DirectNode.port(), "POST", ChatPath, chatBody("anna", 4, true));
  const HttpResult Forwarded =
      fetch(ForwardingNode.port(), "POST", ChatPath, chatBody("anna", 4, true));
  CHECK(Forwarded.m_Complete);
  CHECK(Forwarded.m_Body == Direct.m_Body);
  CHECK(DirectNode.engineCount("finished") == 2);
  CHECK(ForwardingNode.engineCount("started") == 0);
}

TEST_CASE("a stopping node refuses new requests and finishes running ones") {
  TestNode::Settings Settings;
  Settings.m_Engine.m_Step = std::chrono::milliseconds(20);
  TestNode Node(Settings);
  RawConnection Running(Node.port());
  Running.send(makePost(ChatPath, chatBody("anna", 20, true)));
  REQUIRE(Running.readUntil("anna:0 "));
  Node.driver().post(core::routing::TrafficStopRequested{});
  const HttpResult Refused =
      fetch(Node.port(), "POST", ChatPath, chatBody("omar", 1, false));
  CHECK(Refused.m_Status == 503);
  CHECK(nlohmann::json::parse(Refused.m_Body)["error"]["reason"] == "stopping");
  CHECK(Running.readUntil("data: [DONE]\n\n\r\n0\r\n\r\n"));
  CHECK(waitFor([&Node] {
    return Node.control().count<core::ports::TrafficDrained>() == 1;
  }));
}

TEST_CASE(
    "a graceful stop waits for callers that have not read their answers") {
  constexpr uint32_t Tokens = 2000; // 8 MiB, more than the kernel buffers.
  TestNode::Settings Settings;
  Settings.m_Engine.m_Step = std::chrono::microseconds(100);
  Settings.m_CallerServer.m_Server.m_Connections.m_BufferBytes = 64 << 20;
  TestNode Node(Settings);
  RawConnection Slow(Node.port(), 4096);
  Slow.send(makePost(ChatPath, chatBody(std::string(4096, 's'), Tokens, true)));
  REQUIRE(waitFor([&Node] { return Node.engineCount("finished") == 1; }));
  Node.driver().post(core::routing::TrafficStopRequested{});
  CHECK(fetch(Node.port(), "POST", ChatPath, chatBody("omar", 1, false))
            .m_Status == 503);
  CHECK(Node.control().count<core::ports::TrafficDrained>() == 0);
  CHECK(Slow.readUntil("data: [DONE]\n\n\r\n0\r\n\r\n"));
  CHECK(waitFor([&Node] {
    return Node.control().count<core::ports::TrafficDrained>() == 1;
  }));
}

TEST_CASE("/v1/models lists what the caller may use") {
  TestNode Node({});
  const HttpResult Listed = fetch(Node.port(), "GET", "/v1/models");
  const nlohmann::json Data = nlohmann::json::parse(Listed.m_Body)["data"];
  REQUIRE(Data.size() == 1);
  CHECK(Data[0]["id"] == "gas");
  CHECK(Data[0]["ready"] == true);
}

} // namespace bronzepass::unit_tests::adapters::http
