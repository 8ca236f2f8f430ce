#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <string>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

const std::string LastChunk = "0\r\n\r\n";
const std::string PartialEvent = "id: 2\ndata: ha";

/// The answer to a stream of which an endpoint sends \p Response before it
/// closes the connection without an error.
std::string liveAnswer(const std::string &Response) {
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(Response);
        To.close();
      });
  const RelayNode Node({Endpoint.port()});
  return answerTo(Node, requestText("/live/x", "Connection: close\r\n"));
}

} // namespace

// Guards against an answer that was broken off reaching its caller as complete.
TEST_CASE("a stream without a length that ends inside an event is not ended as "
          "complete") {
  const std::string Answer =
      liveAnswer(std::string(Sealed) + "\r\n" + event(1) + PartialEvent);
  CHECK(Answer.find("id: 1") != std::string::npos);
  CHECK(Answer.find("id: 2") == std::string::npos);
  CHECK_FALSE(Answer.ends_with(LastChunk));
}

// Guards against an answer that was broken off reaching its caller as complete.
TEST_CASE("a framed stream that ends inside an event is not ended as "
          "complete") {
  const std::string Body = event(1) + PartialEvent;
  for (const std::string &Response :
       {ChunkedHead + chunk(Body) + LastChunk,
        std::string(Sealed) + "Content-Length: " + std::to_string(Body.size()) +
            "\r\n\r\n" + Body}) {
    const std::string Answer = liveAnswer(Response);
    CHECK(Answer.find("id: 1") != std::string::npos);
    CHECK(Answer.find("id: 2") == std::string::npos);
    CHECK_FALSE(Answer.ends_with(LastChunk));
  }
}

// Guards against joining the parts of an event that come from two runs.
TEST_CASE("a resumable stream that ends inside an event goes on at another "
          "endpoint") {
  const auto Script = [](ScriptConnection &To, const std::string &Request,
                         int) {
    const bool Resumes =
        Request.find("Last-Event-Id: 1\r\n") != std::string::npos;
    To.write(std::string(Sealed) + "\r\n" +
             (Resumes ? event(2) + event(3) : event(1) + PartialEvent));
    To.close();
  };
  ScriptedEndpoint First(Script);
  ScriptedEndpoint Second(Script);
  const RelayNode Node({First.port(), Second.port()});
  const std::string Answer =
      answerTo(Node, requestText("/stream/x", "Connection: close\r\n"));
  for (const int Id : {1, 2, 3})
    CHECK(Answer.find(event(Id)) != std::string::npos);
  CHECK(Answer.find("ha") == std::string::npos);
  CHECK(Answer.ends_with(LastChunk));
}

// Guards against an empty answer in place of one that broke off.
TEST_CASE("a stream without a length that ends before its first event is not "
          "complete") {
  CHECK(liveAnswer(std::string(Sealed) + "\r\n").rfind("HTTP/1.1 502", 0) == 0);
}

// Guards against an HTTP/1.0 caller taking a broken answer for a complete one.
TEST_CASE("an HTTP/1.0 caller's connection is reset if its stream breaks off") {
  for (const bool Complete : {true, false}) {
    ScriptedEndpoint Endpoint(
        [&](ScriptConnection &To, const std::string &, int) {
          To.write(ChunkedHead + chunk(event(1)) + (Complete ? LastChunk : ""));
          To.close();
        });
    const RelayNode Node({Endpoint.port()});
    http::RawConnection Caller(Node.port());
    Caller.send("POST /live/x HTTP/1.0\r\nHost: h\r\nX-Request-Id: "
                "r1\r\n\r\n");
    CHECK(Caller.readToEnd());
    CHECK(Caller.wasReset() != Complete);
  }
}

namespace {

/// Whether the framing shows that an answer which ends with its connection is
/// complete.
bool isComplete(const std::string &FramingHeaders, const std::string &Body) {
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write("HTTP/1.1 200 OK\r\n" + FramingHeaders + "\r\n" + Body);
        To.close();
      });
  return http::fetch(Endpoint.port(), "GET", "/").m_Complete;
}

} // namespace

// Guards against the end of a connection counting as the end of an answer
// because a framing header is present that does not frame the body.
TEST_CASE("an answer is complete by its framing only if that is unambiguous") {
  const std::string Length = "Content-Length: ";
  const std::string Coding = "Transfer-Encoding: ";
  CHECK(isComplete(Length + "5\r\n", "parts"));
  CHECK(isComplete(Length + "5\r\n" + Length + "5\r\n", "parts"));
  CHECK(isComplete(Length + "5, 5\r\n", "parts"));
  CHECK(isComplete(Coding + "chunked\r\n", chunk("parts") + LastChunk));
  CHECK(isComplete(Coding + "identity\r\n" + Length + "5\r\n", "parts"));
  CHECK_FALSE(isComplete("", "parts"));
  CHECK_FALSE(isComplete(Coding + "identity\r\n", "parts"));
  CHECK_FALSE(isComplete(Coding + "\r\n", "parts"));
  CHECK_FALSE(isComplete(Length + "99999999999999999999\r\n", "parts"));
  CHECK_FALSE(isComplete(Length + "5abc\r\n", "parts"));
  CHECK_FALSE(isComplete(Length + "9\r\n" + Length + "5\r\n", "parts"));
  CHECK_FALSE(isComplete(Length + "5, 9\r\n", "parts"));
}

// Guards against a caller taking the first of two lengths for the body's.
TEST_CASE("a long answer with two lengths is not forwarded") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) +
             "Content-Length: 600000\r\nContent-Length: 700000\r\n\r\n" +
             std::string(700000, 'a'));
  });
  const RelayNode Node({Endpoint.port()});
  CHECK(answerTo(Node, onceRequest()).rfind("HTTP/1.1 502", 0) == 0);
}

// Guards against a chunked answer being cut to a length that it does not have.
TEST_CASE("a long chunked answer keeps its length beside a Content-Length") {
  const std::string Body(700000, 'a');
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(std::string(Sealed) +
                 "Content-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n" +
                 chunk(Body) + LastChunk);
      });
  const RelayNode Node({Endpoint.port()});
  const std::string Answer = answerTo(Node, onceRequest());
  CHECK(Answer.find("Content-Length") == std::string::npos);
  CHECK(Answer.size() > Body.size());
  CHECK(Answer.ends_with(LastChunk));
}

TEST_CASE("the answer to HEAD declares the length that the endpoint declares") {
  for (const std::string Length : {"Content-Length: 7\r\n", ""}) {
    ScriptedEndpoint Endpoint([&](ScriptConnection &To, const std::string &,
                                  int) { To.write(Sealed + Length + "\r\n"); });
    const RelayNode Node({Endpoint.port()});
    const std::string Answer =
        answerTo(Node, requestText("/once/x", "Connection: close\r\n", "HEAD"));
    CHECK(Answer.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(Answer.ends_with("\r\n\r\n"));
    CHECK(Answer.find("Content-Length: 0") == std::string::npos);
    CHECK((Answer.find("Content-Length: 7") == std::string::npos) ==
          Length.empty());
  }
}

TEST_CASE("a stream without a length that ends behind an event is complete") {
  const std::string Answer =
      liveAnswer(std::string(Sealed) + "\r\n" + event(1) + event(2));
  CHECK(Answer.find(event(2)) != std::string::npos);
  CHECK(Answer.ends_with(LastChunk));
}

// Guards against joining a part of one answer with another answer.
TEST_CASE(
    "a long answer that broke off while it was forwarded is not continued "
    "with another one") {
  constexpr size_t ForwardedBytes = 600 << 10;
  const auto Script = [](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2000000\r\n\r\n" +
             std::string(ForwardedBytes, 'a'));
    To.close();
  };
  ScriptedEndpoint First(Script);
  ScriptedEndpoint Second(Script);
  const RelayNode Node({First.port(), Second.port()});
  const std::string Answer =
      answerTo(Node, requestText("/again/x", "Connection: close\r\n"));
  const size_t BodyStart = Answer.find("\r\n\r\n") + 4;
  CHECK(Answer.find("Content-Length: 2000000\r\n") < BodyStart);
  CHECK(Answer.size() - BodyStart <= ForwardedBytes);
  CHECK(First.requests().size() + Second.requests().size() == 1);
}

namespace {

/// One answer of an endpoint, of which \p m_SentBytes are sent before the
/// connection ends.
struct CutAnswer {
  std::string m_Target;
  std::string m_Head;
  std::string m_Body;
  /// m_Body as it is framed.
  std::string m_FramedBody;
  size_t m_SentBytes = 0;
  bool m_Reset = false;

  bool isStream() const { return m_Target == "/live/x"; }
  bool hasFraming() const { return m_FramedBody != m_Body || isLength(); }
  bool isLength() const {
    return m_Head.find("Content-Length") != std::string::npos;
  }
  /// Whether the endpoint's connection shows that the answer ended where it
  /// was cut.
  bool mayLookComplete() const {
    if (m_Reset)
      return false;
    const std::string Sent = m_FramedBody.substr(0, m_SentBytes);
    if (hasFraming())
      return Sent == m_FramedBody;
    return !isStream() || Sent.ends_with("\n\n");
  }
};

CutAnswer randomAnswer(std::mt19937 &Random) {
  CutAnswer Answer;
  const char *const Targets[] = {"/once/x", "/again/x", "/live/x"};
  Answer.m_Target = Targets[Random() % 3];
  Answer.m_Body = event(1) + event(2) + event(3);
  Answer.m_FramedBody = Answer.m_Body;
  switch (Random() % 3) {
  case 0:
    Answer.m_Head =
        "Content-Length: " + std::to_string(Answer.m_Body.size()) + "\r\n";
    break;
  case 1:
    Answer.m_Head = "Transfer-Encoding: chunked\r\n";
    Answer.m_FramedBody = chunk(Answer.m_Body.substr(0, 25)) +
                          chunk(Answer.m_Body.substr(25)) + LastChunk;
    break;
  default:
    break;
  }
  Answer.m_SentBytes = Random() % (Answer.m_FramedBody.size() + 1);
  if (Random() % 4 == 0)
    Answer.m_SentBytes = Answer.m_FramedBody.size();
  Answer.m_Reset = Random() % 4 == 0;
  return Answer;
}

/// The body of a response that is complete by its framing; nullopt otherwise.
std::optional<std::string> completeBody(const std::string &Response) {
  const size_t HeadEnd = Response.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || Response.rfind("HTTP/1.1 200", 0) != 0)
    return std::nullopt;
  const std::string Body = Response.substr(HeadEnd + 4);
  const std::string Field = "Content-Length: ";
  const size_t Length = Response.find(Field);
  if (Length < HeadEnd) {
    const bool IsWhole =
        Body.size() == std::stoul(Response.substr(Length + Field.size()));
    return IsWhole ? std::optional(Body) : std::nullopt;
  }
  if (!Body.ends_with(LastChunk))
    return std::nullopt;
  std::string Text;
  size_t At = 0;
  for (;;) {
    const size_t SizeEnd = Body.find("\r\n", At);
    const size_t Size = std::stoul(Body.substr(At, SizeEnd - At), nullptr, 16);
    if (Size == 0)
      return Text;
    Text += Body.substr(SizeEnd + 2, Size);
    At = SizeEnd + 2 + Size + 2;
  }
}

} // namespace

// Guards against any answer that was cut reaching its caller as complete.
TEST_CASE("an answer is complete for its caller only if it was for the node, "
          "wherever it is cut") {
  constexpr unsigned Seeds = 400;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937 Random(Seed);
    const CutAnswer Sent = randomAnswer(Random);
    ScriptedEndpoint Endpoint(
        [&](ScriptConnection &To, const std::string &, int) {
          To.write(Sealed + Sent.m_Head + "\r\n" +
                   Sent.m_FramedBody.substr(0, Sent.m_SentBytes));
          if (Sent.m_Reset)
            To.reset();
          else
            To.close();
        });
    const RelayNode Node({Endpoint.port()});
    const std::optional<std::string> Body = completeBody(
        answerTo(Node, requestText(Sent.m_Target, "Connection: close\r\n")));
    CAPTURE(Seed);
    if (Sent.mayLookComplete())
      CHECK(Body);
    if (!Body)
      continue;
    const bool IsCut = Sent.m_SentBytes < Sent.m_FramedBody.size();
    CHECK(*Body == (IsCut ? Sent.m_FramedBody.substr(0, Sent.m_SentBytes)
                          : Sent.m_Body));
    // A reset behind the last byte of a framed answer takes nothing from it.
    const bool WasComplete =
        Sent.mayLookComplete() || (Sent.m_Reset && Sent.hasFraming() && !IsCut);
    CHECK(WasComplete);
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
