#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <doctest/doctest.h>
#include <string>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

const std::string Events = event(3) + event(4);
const std::string WholeAnswer = std::string(Sealed) +
                                "Content-Type: text/event-stream\r\n"
                                "Content-Length: " +
                                std::to_string(Events.size()) + "\r\n\r\n" +
                                Events;

enum class CutEnd { Close, Reset };

/// What a caller gets where each endpoint stops after \p Length bytes of its
/// answer. \p Kept: on a connection that has carried an answer before.
std::string answerCutAfter(const std::string &Target, size_t Length, CutEnd End,
                           bool Kept, const std::string &Headers) {
  const auto Script = [&](ScriptConnection &To, const std::string &,
                          int Number) {
    if (Kept && Number == 1) {
      std::string Answer = WholeAnswer;
      Answer.replace(Answer.find("r1"), 2, "r0");
      To.write(Answer);
      return;
    }
    To.write(WholeAnswer.substr(0, Length));
    if (End == CutEnd::Close)
      To.close();
    else
      To.reset();
  };
  ScriptedEndpoint Endpoint(Script);
  const RelayNode Node({Endpoint.port()});
  std::string Request = requestText(Target, "Connection: close\r\n" + Headers);
  if (Kept) {
    std::string Earlier = Request;
    Earlier.replace(Earlier.find("r1"), 2, "r0");
    answerTo(Node, Earlier);
  }
  return answerTo(Node, Request);
}

} // namespace

// Guards against an empty or short success where an endpoint stopped inside its
// answer's head.
TEST_CASE("an answer whose head is cut is no success, wherever it is cut") {
  const size_t HeadLength = WholeAnswer.find("\r\n\r\n") + 4;
  struct Path {
    std::string m_Target;
    std::string m_Headers;
  };
  for (const Path &Each :
       {Path{"/once/x", ""}, Path{"/again/x", ""}, Path{"/live/x", ""},
        Path{"/stream/x", ""}, Path{"/stream/x", "Last-Event-Id: 2\r\n"}})
    for (const CutEnd End : {CutEnd::Close, CutEnd::Reset})
      for (const bool Kept : {false, true})
        for (size_t Length = 0; Length < HeadLength; Length += 7) {
          CAPTURE(Each.m_Target);
          CAPTURE(Each.m_Headers);
          CAPTURE(static_cast<int>(End));
          CAPTURE(Kept);
          CAPTURE(Length);
          const std::string Answer =
              answerCutAfter(Each.m_Target, Length, End, Kept, Each.m_Headers);
          CHECK(Answer.rfind("HTTP/1.1 502", 0) == 0);
        }
}

// Guards against the same in the middle of a stream.
TEST_CASE("a stream that broke off is cut where the next endpoint's head is "
          "cut") {
  const size_t HeadLength = WholeAnswer.find("\r\n\r\n") + 4;
  for (size_t Length = 0; Length < HeadLength; Length += 7) {
    CAPTURE(Length);
    const auto Script = [&](ScriptConnection &To, const std::string &Request,
                            int) {
      const bool Continues =
          Request.find("Last-Event-Id: 2\r\n") != std::string::npos;
      To.write(Continues ? WholeAnswer.substr(0, Length)
                         : ChunkedHead + chunk(event(1) + event(2)));
      To.close();
    };
    ScriptedEndpoint First(Script);
    ScriptedEndpoint Second(Script);
    const RelayNode Node({First.port(), Second.port()});
    const std::string Answer =
        answerTo(Node, requestText("/stream/x", "Connection: close\r\n"));
    CHECK(Answer.find(event(2)) != std::string::npos);
    CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(Answer.ends_with("0\r\n\r\n"));
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
