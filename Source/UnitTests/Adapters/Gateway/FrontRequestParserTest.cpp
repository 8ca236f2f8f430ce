#include "Core/Adapters/Front/FrontRequestParser.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::adapters::front {

namespace {

ParserState readAll(const std::string &Bytes) {
  FrontRequestParser Parser({});
  return Parser.feed(Bytes);
}

int statusOf(const std::string &Bytes, ParserLimits Limits = {}) {
  FrontRequestParser Parser(Limits);
  if (Parser.feed(Bytes) != ParserState::Failed)
    return 0;
  return Parser.error().m_Status;
}

} // namespace

TEST_CASE("a request is read byte for byte, however it is split into pieces") {
  const std::string Bytes =
      "POST /a/b%20c/?z=1&a=2&a=%C3%A9 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
      "x-a: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n";
  std::mt19937 Random(5);
  for (int Run = 0; Run < 300; ++Run) {
    FrontRequestParser Parser({});
    size_t Start = 0;
    while (Start < Bytes.size()) {
      const size_t Length = 1 + Random() % 20;
      Parser.feed(Bytes.substr(Start, Length));
      Start += Length;
    }
    REQUIRE(Parser.state() == ParserState::Complete);
    const FrontRequest Request = Parser.take();
    CHECK(Request.m_Target == "/a/b%20c/?z=1&a=2&a=%C3%A9");
    CHECK(Request.path() == "/a/b%20c/");
    CHECK(Request.m_Body == "abc0123456789");
    CHECK(Request.m_Headers.size() == 4);
  }
}

// Guards against reading a body as header lines where the headers come in
// pieces.
TEST_CASE("a body of any bytes is accepted, wherever the request is split") {
  const std::string Body("\n\0 a\r\n\t\n\n", 9);
  const std::string Bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body;
  for (size_t First = 1; First < Bytes.size(); ++First) {
    for (size_t Second = First; Second < Bytes.size(); ++Second) {
      FrontRequestParser Parser({});
      Parser.feed(Bytes.substr(0, First));
      Parser.feed(Bytes.substr(First, Second - First));
      REQUIRE(Parser.feed(Bytes.substr(Second)) == ParserState::Complete);
      CHECK(Parser.take().m_Body == Body);
    }
  }
}

TEST_CASE("folded lines and bare line feeds are rejected, wherever the request "
          "is split") {
  for (const std::string &Bytes :
       {std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: h\nX: a\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n\n")}) {
    for (size_t First = 1; First < Bytes.size(); ++First) {
      FrontRequestParser Parser({});
      Parser.feed(Bytes.substr(0, First));
      CHECK(Parser.feed(Bytes.substr(First)) == ParserState::Failed);
    }
  }
}

TEST_CASE("a pipelined second request is kept until the first is taken") {
  FrontRequestParser Parser({});
  CHECK(Parser.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n") ==
        ParserState::Complete);
  CHECK(Parser.take().m_Target == "/1");
  CHECK(Parser.feed({}) == ParserState::Complete);
  CHECK(Parser.take().m_Target == "/2");
  CHECK(Parser.feed({}) == ParserState::Idle);
}

TEST_CASE("ambiguous framing is rejected") {
  const std::string Line = "POST / HTTP/1.1\r\nHost: h\r\n";
  const char *const Faults[] = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
      "Content-Length: 5, 6\r\n\r\nabcdef",
      "Content-Length: +5\r\n\r\nabcde",
      "Content-Length: 0x5\r\n\r\nabcde",
      "Content-Length: -1\r\n\r\n",
      "Content-Length : 5\r\n\r\nabcde",
      "Transfer-Encoding: gzip\r\n\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n-5\r\nabcde\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n0x5\r\nabcde\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n5\nabcde\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n",
      "X-A: 1\n\r\n",
      "X-A: 1\r\n folded\r\n\r\n",
      "X A: 1\r\n\r\n",
      ": none\r\n\r\n",
      "Host: other\r\n\r\n",
  };
  for (const char *const Fault : Faults) {
    CAPTURE(Fault);
    CHECK(statusOf(Line + Fault) == 400);
  }
  CHECK(readAll(Line + "Content-Length: 5\r\n\r\nabcde") ==
        ParserState::Complete);
}

TEST_CASE("a request that comes again has the same fingerprint, whatever its "
          "own id and deadline") {
  FrontRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/a/b?c=1";
  Request.m_Headers = {{"Host", "h"}, {"X-Request-Id", "1"}};
  Request.m_Body = "body";
  FrontRequest Again = Request;
  Again.m_Headers = {
      {"X-Deadline-Ms", "5"}, {"X-Request-Id", "2"}, {"host", "h"}};
  CHECK(Again.fingerprint() == Request.fingerprint());
  FrontRequest Other = Request;
  Other.m_Method = "PUT";
  CHECK(Other.fingerprint() != Request.fingerprint());
  Other = Request;
  Other.m_Headers[0].m_Value = "other";
  CHECK(Other.fingerprint() != Request.fingerprint());
  Other = Request;
  Other.m_Target = "/a/b?c=2";
  CHECK(Other.fingerprint() != Request.fingerprint());
  // The same bytes, divided otherwise.
  Other = Request;
  Other.m_Target = "/a/b?c=1body";
  Other.m_Body.clear();
  CHECK(Other.fingerprint() != Request.fingerprint());
}

TEST_CASE("oversized headers and bodies are rejected with their own status") {
  const ParserLimits Limits{1024, 16};
  CHECK(statusOf("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x'),
                 Limits) == 431);
  CHECK(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17\r\n\r\n",
                 Limits) == 413);
  CHECK(statusOf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n11\r\n0123456789abcdefg\r\n0\r\n\r\n",
                 Limits) == 413);
}

TEST_CASE("corrupted input never crashes and never yields extra requests") {
  const std::string Bytes = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                            "3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  std::mt19937 Random(9);
  for (int Run = 0; Run < 20000; ++Run) {
    std::string Damaged = Bytes;
    for (int I = 0; I < 3; ++I)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    FrontRequestParser Parser({});
    int Requests = 0;
    ParserState State = Parser.feed(Damaged);
    while (State == ParserState::Complete) {
      Parser.take();
      ++Requests;
      State = Parser.feed({});
    }
    REQUIRE(Requests <= 2);
  }
}

} // namespace bronzepass::core::adapters::front
