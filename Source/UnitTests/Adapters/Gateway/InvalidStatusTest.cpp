#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

using namespace std::chrono_literals;

/// What stands for a status in the answers of an endpoint in trouble.
const std::vector<std::string> InvalidStatuses = {
    "000", "001", "099", "20", "2000", "0200", "", "abc", "-200"};

enum class Body { None, Length, Chunked, Long, ToClose };

constexpr Body AllBodies[] = {Body::None, Body::Length, Body::Chunked,
                              Body::Long, Body::ToClose};

std::string idOf(const std::string &Request) {
  const std::string Name = "X-Request-Id: ";
  const size_t Start = Request.find(Name) + Name.size();
  return Request.substr(Start, Request.find("\r\n", Start) - Start);
}

std::string headWith(const std::string &Status, const std::string &Id) {
  return "HTTP/1.1 " + Status + " X\r\nX-Request-Id: " + Id +
         "\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n";
}

std::string answerWith(const std::string &Status, const std::string &Id,
                       Body Kind) {
  const std::string Events = event(1) + event(2);
  const std::string Long(80 << 10, 'x');
  switch (Kind) {
  case Body::None:
    return headWith(Status, Id) + "Content-Length: 0\r\n\r\n";
  case Body::Length:
    return headWith(Status, Id) +
           "Content-Length: " + std::to_string(Events.size()) + "\r\n\r\n" +
           Events;
  case Body::Chunked:
    return headWith(Status, Id) + "Transfer-Encoding: chunked\r\n\r\n" +
           chunk(Events) + "0\r\n\r\n";
  case Body::Long:
    return headWith(Status, Id) +
           "Content-Length: " + std::to_string(Long.size()) + "\r\n\r\n" + Long;
  case Body::ToClose:
    break;
  }
  return headWith(Status, Id) + "\r\n" + Events;
}

std::string requestNamed(const std::string &Target, const std::string &Id,
                         const std::string &Headers = "") {
  std::string Request = requestText(Target, "Connection: close\r\n" + Headers);
  return Request.replace(Request.find("r1"), 2, Id);
}

bool hasStatus(const std::string &Answer, const std::string &Status) {
  return Answer.rfind("HTTP/1.1 " + Status + " ", 0) == 0;
}

/// The node itself answers, and none of the endpoint's bytes are in it.
void checkIsOwnFailure(const std::string &Answer) {
  CAPTURE(Answer.substr(0, 200));
  CHECK(hasStatus(Answer, "502"));
  CHECK(Answer.find("X-Server-Seal") == std::string::npos);
  CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Answer.find(event(1)) == std::string::npos);
  CHECK(Answer.find("xxxx") == std::string::npos);
}

} // namespace

// Guards against an answer whose status is none, 000 above all, that a caller
// gets as its answer, or as a success.
TEST_CASE("an answer without a valid status reaches no caller") {
  for (const std::string &Status : InvalidStatuses)
    for (const Body Kind : AllBodies)
      for (const bool IsAfterInterim : {false, true})
        for (const bool IsKept : {false, true}) {
          CAPTURE(Status);
          CAPTURE(static_cast<int>(Kind));
          CAPTURE(IsAfterInterim);
          CAPTURE(IsKept);
          ScriptedEndpoint Endpoint([&](ScriptConnection &To,
                                        const std::string &Request, int) {
            const std::string Id = idOf(Request);
            if (Id.rfind("bad", 0) != 0) {
              To.write(answerWith("200", Id, Body::Length));
              return;
            }
            To.write((IsAfterInterim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") +
                     answerWith(Status, Id, Kind));
            if (Kind == Body::ToClose)
              To.close();
          });
          const RelayNode Node({Endpoint.port()});
          int Number = 0;
          for (const std::string Target :
               {"/once/x", "/again/x", "/live/x", "/stream/x"}) {
            CAPTURE(Target);
            const std::string Suffix = std::to_string(++Number);
            if (IsKept)
              CHECK(hasStatus(
                  answerTo(Node, requestNamed(Target, "before" + Suffix)),
                  "200"));
            checkIsOwnFailure(
                answerTo(Node, requestNamed(Target, "bad" + Suffix)));
            // The next request gets its own answer.
            const std::string Next =
                answerTo(Node, requestNamed(Target, "after" + Suffix));
            CHECK(hasStatus(Next, "200"));
            CHECK(Next.find("X-Request-Id: after" + Suffix) !=
                  std::string::npos);
          }
        }
}

// Guards against the same in the middle of a stream.
TEST_CASE("an answer without a valid status continues no stream") {
  for (const std::string &Status : InvalidStatuses)
    for (const Body Kind : {Body::Length, Body::Chunked, Body::ToClose}) {
      CAPTURE(Status);
      CAPTURE(static_cast<int>(Kind));
      const auto Script = [&](ScriptConnection &To, const std::string &Request,
                              int) {
        const bool Continues =
            Request.find("Last-Event-Id: 2\r\n") != std::string::npos;
        To.write(Continues ? answerWith(Status, idOf(Request), Kind)
                           : ChunkedHead + chunk(event(1) + event(2)));
        To.close();
      };
      ScriptedEndpoint First(Script);
      ScriptedEndpoint Second(Script);
      const RelayNode Node({First.port(), Second.port()});
      const std::string Answer =
          answerTo(Node, requestText("/stream/x", "Connection: close\r\n"));
      CAPTURE(Answer);
      CHECK(hasStatus(Answer, "200"));
      // Both events once, and no last chunk.
      CHECK(Answer.find(event(2)) == Answer.rfind(event(2)));
      CHECK(Answer.find("0\r\n\r\n") == std::string::npos);
    }
}

// Guards against the same from a node that a request was forwarded to.
TEST_CASE("an answer without a valid status of another node reaches no "
          "caller") {
  for (const std::string &Status : InvalidStatuses)
    for (const Body Kind : AllBodies) {
      CAPTURE(Status);
      CAPTURE(static_cast<int>(Kind));
      ScriptedEndpoint Peer(
          [&](ScriptConnection &To, const std::string &Request, int) {
            To.write(answerWith(Status, idOf(Request), Kind));
            if (Kind == Body::ToClose)
              To.close();
          });
      // Nothing listens at the endpoints.
      RelayNode Node({1, 1, 1});
      answerTo(Node, requestNamed("/once/x", "none"));
      Node.setPeer(Peer.port());
      std::this_thread::sleep_for(60ms);
      for (const std::string Target : {"/once/x", "/live/x"}) {
        CAPTURE(Target);
        checkIsOwnFailure(answerTo(Node, requestNamed(Target, "bad")));
      }
      CHECK(Peer.connections() > 0);
    }
}

} // namespace bronzepass::unit_tests::adapters::gateway
