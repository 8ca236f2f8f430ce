#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <doctest/doctest.h>
#include <string>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

/// What a caller gets where the endpoint's head has \p Line beside its own.
std::string answerWith(const std::string &Target, const std::string &Line) {
  const std::string Body = event(1);
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(std::string(Sealed) + Line +
                 "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body);
      });
  const RelayNode Node({Endpoint.port()});
  return answerTo(Node, requestText(Target, "Connection: close\r\n"));
}

bool isSuccess(const std::string &Answer) {
  return Answer.rfind("HTTP/1.1 200", 0) == 0;
}

} // namespace

// Guards against a success whose head a caller can't read, or reads otherwise
// than this node.
TEST_CASE("no line that is no header field is passed on in a success") {
  for (const char *const Target : {"/once/x", "/again/x", "/live/x"})
    for (const std::string &Line :
         {std::string("Content-Length : 5"), std::string("Server note: warm"),
          std::string("Transfer-Encoding\t: chunked"),
          std::string("X-Note\x01: warm"), std::string(": warm"),
          std::string("X-Note: warm\rContent-Length: 5"),
          std::string("X-Note: warm\x7f"),
          std::string("X-Note: warm\r\n and: folded"),
          std::string("X-Note: warm\r\n folded"), std::string("warm air")}) {
      CAPTURE(Target);
      CAPTURE(Line);
      CHECK_FALSE(isSuccess(answerWith(Target, Line)));
    }
}

TEST_CASE("blanks before a colon are removed") {
  for (const char *const Target : {"/once/x", "/again/x", "/live/x"}) {
    CAPTURE(Target);
    const std::string Trimmed = answerWith(Target, "X-Note \t: warm air");
    CHECK(isSuccess(Trimmed));
    CHECK(Trimmed.find("\r\nX-Note: warm air\r\n") != std::string::npos);
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
