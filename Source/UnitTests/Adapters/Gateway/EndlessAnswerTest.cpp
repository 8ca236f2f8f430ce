#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <fstream>
#include <list>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

using namespace std::chrono_literals;

const std::string FailureHead = "HTTP/1.1 500 Failed\r\nX-Request-Id: r1\r\n"
                                "X-Server-Seal: s\r\n\r\n";
const std::string HeaderLine = "X-Padding: " + std::string(1000, 'a') + "\r\n";
const std::string Padding(4096, 'a');

/// What an endpoint sends that never ends its answer.
struct EndlessAnswer {
  const char *m_Name;
  const char *m_Target;
  std::string m_Start;
  std::string m_Piece;
};

/// What a caller and the endpoint saw of one EndlessAnswer.
struct Observation {
  std::string m_Answer;
  bool m_Closed = false;
  uint64_t m_BytesSent = 0;
  std::chrono::steady_clock::duration m_Elapsed{0};
};

Observation observe(const EndlessAnswer &Endless) {
  Observation Seen;
  std::atomic<bool> Closed = false;
  std::atomic<uint64_t> Bytes = 0;
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(Endless.m_Start);
        while (To.write(Endless.m_Piece))
          Bytes += Endless.m_Piece.size();
        Closed = true;
      });
  const RelayNode Node({Endpoint.port()});
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  Seen.m_Answer =
      answerTo(Node, requestText(Endless.m_Target, "Connection: close\r\n"));
  Seen.m_Elapsed = std::chrono::steady_clock::now() - Start;
  Seen.m_Closed = http::waitFor([&] { return Closed.load(); });
  Seen.m_BytesSent = Bytes;
  return Seen;
}

/// Of the caller's deadline in requestText().
constexpr std::chrono::seconds Deadline(5);
/// More than any limit of the node on what is not forwarded, with the kernel's
/// buffers.
constexpr uint64_t MaxUnforwardedBytes = 16 << 20;

} // namespace

// Guards against memory and time lost to an endpoint that never ends its
// answer.
TEST_CASE("bytes without end before the first event are a failed attempt") {
  for (const EndlessAnswer &Each : {
           EndlessAnswer{"header lines", "/once/x", "HTTP/1.1 200 OK\r\n",
                         HeaderLine},
           {"one header line", "/once/x",
            "HTTP/1.1 200 OK\r\nX-Long: ", Padding},
           {"interim answers", "/once/x", "",
            "HTTP/1.1 103 Early Hints\r\n\r\n"},
           {"no HTTP", "/once/x", "", Padding},
           {"a failure's body", "/once/x", FailureHead, Padding},
           {"a chunk's size", "/once/x", ChunkedHead, "0000"},
           {"trailers", "/once/x", ChunkedHead + chunk("x") + "0\r\n",
            HeaderLine},
           {"an event", "/live/x", ChunkedHead,
            chunk("data: " + Padding + "\n")},
           {"an event's line", "/live/x", std::string(Sealed) + "\r\n",
            Padding},
       }) {
    CAPTURE(Each.m_Name);
    const Observation Seen = observe(Each);
    CHECK(Seen.m_Answer.rfind("HTTP/1.1 502", 0) == 0);
    CHECK(Seen.m_Closed);
    CHECK(Seen.m_Elapsed < Deadline - 1s);
    CHECK(Seen.m_BytesSent < MaxUnforwardedBytes);
  }
}

// libcurl skips a chunk's extension without telling its length.
TEST_CASE("a chunk extension without end lasts no longer than the caller "
          "waits") {
  const Observation Seen =
      observe({"a chunk extension", "/once/x", ChunkedHead + "1;", Padding});
  CHECK(Seen.m_Answer.rfind("HTTP/1.1 504", 0) == 0);
  CHECK(Seen.m_Closed);
  CHECK(Seen.m_Elapsed < Deadline + 1s);
}

// Guards against an answer without end that the caller receives as complete.
TEST_CASE("bytes without end behind the first event are cut for the caller") {
  for (const EndlessAnswer &Each : {
           EndlessAnswer{"an event", "/live/x", ChunkedHead + chunk(event(1)),
                         chunk("data: " + Padding + "\n")},
           {"empty lines", "/live/x", ChunkedHead + chunk(event(1)),
            chunk(std::string(4096, '\n'))},
           {"a plain body", "/once/x", ChunkedHead, chunk(Padding)},
       }) {
    CAPTURE(Each.m_Name);
    const Observation Seen = observe(Each);
    CHECK(Seen.m_Answer.rfind("HTTP/1.1 200", 0) == 0);
    CHECK_FALSE(Seen.m_Answer.ends_with("\r\n0\r\n\r\n"));
    CHECK(Seen.m_Closed);
    CHECK(Seen.m_Elapsed < Deadline + 1s);
  }
}

// Guards against an endpoint in trouble taking calls from the sound ones.
TEST_CASE("a repeatable request whose answer has no end is served by another "
          "endpoint") {
  ScriptedEndpoint Endless([](ScriptConnection &To, const std::string &, int) {
    To.write(FailureHead);
    while (To.write(Padding)) {
    }
  });
  ScriptedEndpoint Sound([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
  });
  const RelayNode Node({Endless.port(), Sound.port()});
  for (int Request = 0; Request < 10; ++Request) {
    const std::string Answer =
        answerTo(Node, requestText("/again/x", "Connection: close\r\n"));
    CHECK(Answer.rfind("HTTP/1.1 200", 0) == 0);
  }
  CHECK(Endless.requests().size() < 10);
}

namespace {

uint64_t residentBytes() {
  std::ifstream Status("/proc/self/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.rfind("VmRSS:", 0) == 0)
      return std::stoull(Line.substr(Line.find_first_of("0123456789"))) << 10;
  return 0;
}

} // namespace

// Guards against a node beyond its memory when many endpoints are in trouble.
TEST_CASE("two hundred answers without end take less than 64 MB") {
  constexpr int Connections = 200;
  std::atomic<int> Open = 0;
  std::atomic<bool> Measured = false;
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int Number) {
        To.write(Number % 2 == 0 ? FailureHead : "HTTP/1.1 200 OK\r\nX-Long: ");
        // Just below the limits, so that all are held at once.
        To.write(std::string(60 << 10, 'a'));
        ++Open;
        // Until all are open at once and their memory has been measured.
        while (!Measured)
          std::this_thread::sleep_for(1ms);
        while (To.write(Padding)) {
        }
      });
  const RelayNode Node({Endpoint.port()}, Connections);
  const uint64_t Before = residentBytes();
  std::list<http::RawConnection> Callers;
  for (int Caller = 0; Caller < Connections; ++Caller) {
    Callers.emplace_back(Node.port());
    Callers.back().send(onceRequest());
  }
  CHECK(http::waitFor([&] { return Open == Connections; }));
  std::this_thread::sleep_for(100ms);
  CHECK(residentBytes() - Before < 64U << 20);
  Measured = true;
  for (http::RawConnection &Each : Callers) {
    CHECK(Each.readToEnd());
    CHECK(Each.text().rfind("HTTP/1.1 502", 0) == 0);
  }
}

// Guards against cutting a sound stream for its pauses.
TEST_CASE("a stream with pauses longer than the node's own timeouts is "
          "complete") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(ChunkedHead);
    for (const int Id : {1, 2, 3}) {
      To.write(chunk(event(Id)));
      if (Id == 1)
        std::this_thread::sleep_for(2500ms);
    }
    To.write("0\r\n\r\n");
  });
  const RelayNode Node({Endpoint.port()});
  const std::string Answer =
      answerTo(Node, requestText("/live/x", "Connection: close\r\n"));
  CHECK(Answer.find(event(3)) != std::string::npos);
  CHECK(Answer.ends_with("0\r\n\r\n"));
}

// Guards against a stream that a byte now and then keeps open for good.
TEST_CASE("a stalled stream that sends a byte now and then ends in time") {
  std::atomic<bool> Closed = false;
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &, int) {
        To.write(ChunkedHead + chunk(event(1) + "data: "));
        while (To.write(chunk("x")))
          std::this_thread::sleep_for(100ms);
        Closed = true;
      });
  const RelayNode Node({Endpoint.port()});
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  const std::string Answer =
      answerTo(Node, requestText("/live/x", "Connection: close\r\n"));
  CHECK(std::chrono::steady_clock::now() - Start < Deadline + 1s);
  CHECK(Answer.find(event(1)) != std::string::npos);
  CHECK_FALSE(Answer.ends_with("0\r\n\r\n"));
  CHECK(http::waitFor([&] { return Closed.load(); }));
}

} // namespace bronzepass::unit_tests::adapters::gateway
