#include "UnitTests/Adapters/HttpClient.h"
#include "UnitTests/Adapters/TestNode.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::adapters {

namespace {

const char *const ChatPath = "/v1/chat/completions";

} // namespace

TEST_CASE("a streamed and a plain answer come back whole") {
  TestNode Node({});
  const HttpResult Stream =
      fetch(Node.port(), "POST", ChatPath, chatBody("anna", 5, true));
  CHECK(Stream.m_Status == 200);
  CHECK(Stream.m_Whole);
  CHECK(Stream.m_Headers.at("content-type") == "text/event-stream");
  CHECK(Stream.m_Body.find("anna:0 ") != std::string::npos);
  CHECK(Stream.m_Body.find("anna:4 ") != std::string::npos);
  CHECK(Stream.m_Body.ends_with("data: [DONE]\n\n"));
  const HttpResult Plain =
      fetch(Node.port(), "POST", ChatPath, chatBody("omar", 3, false));
  CHECK(Plain.m_Status == 200);
  CHECK(Plain.m_Whole);
  CHECK(
      nlohmann::json::parse(Plain.m_Body)["choices"][0]["message"]["content"] ==
      "omar:0 omar:1 omar:2 ");
}

} // namespace bronzepass::unit_tests::adapters
