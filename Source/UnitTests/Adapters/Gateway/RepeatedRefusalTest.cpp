#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <chrono>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

using namespace std::chrono_literals;

/// How the second copy of a refusal names its request.
enum class CopyName { None, EarlierRequest, OwnRequest };

std::string requestNamed(const std::string &Target, const std::string &Id) {
  return "POST " + Target + " HTTP/1.1\r\nHost: h\r\n" +
         (Id.empty() ? "" : "X-Request-Id: " + Id + "\r\n") +
         "X-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n";
}

std::string idLine(const std::string &Id) {
  return Id.empty() ? "" : "X-Request-Id: " + Id + "\r\n";
}

std::string refusalOf(int Status, const std::string &Id) {
  return "HTTP/1.1 " + std::to_string(Status) + " No\r\n" + idLine(Id) +
         "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string idIn(const std::string &Request) {
  const std::string Name = "X-Request-Id: ";
  const size_t Found = Request.find(Name);
  if (Found == std::string::npos)
    return "";
  const size_t Start = Found + Name.size();
  return Request.substr(Start, Request.find("\r\n", Start) - Start);
}

/// Refuses its first request. It runs all others, and writes the refusal once
/// more to those that come on the same connection.
class FaultyEndpoint {
public:
  FaultyEndpoint(int Status, CopyName Name)
      : m_Status(Status), m_Name(Name),
        m_Endpoint([this](ScriptConnection &To, const std::string &Request,
                          int Number) { answer(To, Request, Number); }) {}

  uint16_t port() const { return m_Endpoint.port(); }
  int connections() const { return m_Endpoint.connections(); }
  /// Of requests that are not the first.
  int runs() const {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Runs;
  }

private:
  void answer(ScriptConnection &To, const std::string &Request, int Number) {
    const std::string Id = idIn(Request);
    const std::string Refusal = refusalOf(m_Status, Id);
    std::string Copy;
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      if (Number == 1) {
        m_FirstId = Id;
        m_Refused.insert(&To);
      } else {
        ++m_Runs;
        if (m_Refused.contains(&To))
          Copy =
              refusalOf(m_Status, m_Name == CopyName::None         ? ""
                                  : m_Name == CopyName::OwnRequest ? Id
                                                                   : m_FirstId);
      }
    }
    if (Number == 1) {
      To.write(Refusal);
      return;
    }
    To.write(Copy);
    std::this_thread::sleep_for(20ms);
    const std::string Body = "id: 1\ndata: x\n\n";
    To.write("HTTP/1.1 200 OK\r\n" + idLine(Id) +
             "X-Server-Seal: s\r\nContent-Length: " +
             std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  int m_Status;
  CopyName m_Name;
  mutable std::mutex m_Mutex;
  std::string m_FirstId;
  std::set<const ScriptConnection *> m_Refused;
  int m_Runs = 0;
  ScriptedEndpoint m_Endpoint;
};

bool saysNotRun(const std::string &Answer) {
  for (const char *const Status : {"408", "421", "429", "503"})
    if (Answer.rfind(std::string("HTTP/1.1 ") + Status, 0) == 0)
      return true;
  return false;
}

/// Two endpoints, so that what one of them refuses may be sent to the other.
/// The second request's id is that of the first, \p IsSameId, or another.
void checkRefusedOnce(const std::string &Target, int Status, CopyName Name,
                      bool IsSameId) {
  CAPTURE(Target);
  CAPTURE(Status);
  CAPTURE(static_cast<int>(Name));
  CAPTURE(IsSameId);
  FaultyEndpoint First(Status, Name);
  FaultyEndpoint Second(Status, Name);
  const RelayNode Node({First.port(), Second.port()});
  CHECK(saysNotRun(answerTo(Node, requestNamed(Target, "a"))));
  // An endpoint that answers 421 is left alone for a second.
  std::this_thread::sleep_for(Status == 421 ? 1050ms : 20ms);
  const std::string Answer =
      answerTo(Node, requestNamed(Target, IsSameId ? "a" : "b"));
  std::this_thread::sleep_for(30ms);
  CHECK(First.runs() + Second.runs() > 0);
  CHECK_FALSE(saysNotRun(Answer));
  const bool MayRepeat =
      Target.rfind("/again/", 0) == 0 || Target.rfind("/stream/", 0) == 0;
  if (!MayRepeat)
    CHECK(First.runs() + Second.runs() == 1);
}

} // namespace

// Guards against "not run" for a request that an endpoint ran, and a second run
// of it, where the endpoint wrote an earlier refusal once more.
TEST_CASE("an earlier refusal that comes again on a kept connection refuses "
          "no other request") {
  for (const CopyName Name : {CopyName::None, CopyName::EarlierRequest}) {
    for (const std::string Target :
         {"/once/x", "/again/x", "/stream/x", "/live/x"})
      for (const int Status : {503, 429})
        checkRefusedOnce(Target, Status, Name, false);
    checkRefusedOnce("/once/x", 421, Name, false);
  }
}

// Guards against the same for a caller that sends a request again under its id.
TEST_CASE("an earlier refusal that comes again refuses no later request with "
          "the same id") {
  for (const CopyName Name : {CopyName::None, CopyName::OwnRequest}) {
    for (const std::string Target :
         {"/once/x", "/again/x", "/stream/x", "/live/x"})
      checkRefusedOnce(Target, 503, Name, true);
    checkRefusedOnce("/once/x", 421, Name, true);
  }
}

// Guards against an earlier answer for a request whose answer names none.
TEST_CASE("requests without an id share no connection") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\n"
             "ok");
  });
  const RelayNode Node({Endpoint.port()});
  for (int I = 0; I < 3; ++I)
    CHECK(
        answerTo(Node, requestNamed("/once/x", "")).rfind("HTTP/1.1 200", 0) ==
        0);
  CHECK(Endpoint.connections() == 3);
}

// Guards against another request's answer where the answer names none.
TEST_CASE("an answer that names no request is believed on a new connection "
          "only") {
  ScriptedEndpoint Endpoint(
      [](ScriptConnection &To, const std::string &Request, int Number) {
        To.write("HTTP/1.1 200 OK\r\n" +
                 (Number == 2 ? "" : idLine(idIn(Request))) +
                 "X-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok");
      });
  const RelayNode Node({Endpoint.port()});
  CHECK(answerTo(Node, requestNamed("/once/x", "a")).rfind("HTTP/1.1 200", 0) ==
        0);
  std::this_thread::sleep_for(20ms);
  CHECK(answerTo(Node, requestNamed("/once/x", "b")).rfind("HTTP/1.1 502", 0) ==
        0);
  CHECK(answerTo(Node, requestNamed("/once/x", "c")).rfind("HTTP/1.1 200", 0) ==
        0);
}

} // namespace bronzepass::unit_tests::adapters::gateway
