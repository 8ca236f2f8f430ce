#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::http {

namespace {

using gateway::ScriptConnection;
using gateway::ScriptedEndpoint;
using namespace std::chrono_literals;

const char *const ChatPath = "/v1/chat/completions";
const std::string EventStream = "Content-Type: text/event-stream\r\n";
const std::string EndMarker = "data: [DONE]\n\n";
const std::string SecretText = "data: secret error\n\n";

/// The kinds of request that a node sends to an endpoint.
enum class Kind { Call, Stream, ServiceCall, KeyedCall };

constexpr Kind AllKinds[] = {Kind::Call, Kind::Stream, Kind::ServiceCall,
                             Kind::KeyedCall};

/// Sends a request in which an endpoint finds \p Name.
HttpResult send(const TestNode &Node, Kind Of, const std::string &Name) {
  switch (Of) {
  case Kind::Call:
  case Kind::Stream:
    return fetch(Node.port(), "POST", ChatPath,
                 chatBody(Name, 2, Of == Kind::Stream));
  case Kind::ServiceCall:
    return fetch(Node.port(), "POST", "/booking/slots", Name);
  case Kind::KeyedCall:
    break;
  }
  return fetch(Node.port(), "POST", "/booking/certificates", Name,
               {"Idempotency-Key: " + Name});
}

TestNode::Settings settingsFor(const ScriptedEndpoint &Endpoint) {
  TestNode::Settings Settings;
  Settings.m_EnginePort = Endpoint.port();
  Settings.m_ServicePort = Endpoint.port();
  return Settings;
}

std::string answerWith(const std::string &Status, const std::string &Lines,
                       const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Lines +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool isStream(const std::string &Request) {
  return Request.find("\"stream\":true") != std::string::npos;
}

std::string attemptLine(const std::string &Request) {
  const std::string Name = "Bronzepass-Attempt: ";
  const size_t Start = Request.find(Name);
  return Request.substr(Start, Request.find("\r\n", Start) + 2 - Start);
}

/// An endpoint's whole answer whose body has \p Text.
std::string successFor(const std::string &Request, const std::string &Text) {
  if (isStream(Request))
    return answerWith("200 OK", EventStream + attemptLine(Request),
                      "data: " + Text + "\n\n" + EndMarker);
  return answerWith("200 OK", attemptLine(Request), Text);
}

std::string refusalFor(const std::string &Request) {
  return answerWith(
      "503 No", "Bronzepass-Run-State: not_run\r\n" + attemptLine(Request), "");
}

/// Declines requests that name "refused" and runs all others. It writes the
/// last answer of a connection once more before the next on it.
class RepeatingEndpoint {
public:
  /// \p NamesAttempts: the answers name the attempts that they belong to.
  explicit RepeatingEndpoint(bool NamesAttempts)
      : m_NamesAttempts(NamesAttempts) {}

  const ScriptedEndpoint &server() const { return m_Server; }
  int runs() const { return m_Runs; }
  int copies() const { return m_Copies; }

private:
  void answer(ScriptConnection &To, const std::string &Request) {
    const bool Refuses = Request.find("refused") != std::string::npos;
    const bool First = Request.find("first") != std::string::npos;
    std::string Answer = Refuses ? refusalFor(Request)
                                 : successFor(Request, First ? "one" : "two");
    if (!m_NamesAttempts)
      Answer.replace(Answer.find("Bronzepass-Attempt"), 18, "X-Other");
    m_Runs += Refuses ? 0 : 1;
    std::string Copy;
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      Copy = m_Last[&To];
      m_Last[&To] = Answer;
    }
    if (!Copy.empty()) {
      ++m_Copies;
      To.write(Copy);
      std::this_thread::sleep_for(20ms);
    }
    To.write(Answer);
  }

  bool m_NamesAttempts;
  std::mutex m_Mutex;
  std::map<const ScriptConnection *, std::string> m_Last;
  std::atomic<int> m_Runs = 0;
  std::atomic<int> m_Copies = 0;
  ScriptedEndpoint m_Server{[this](ScriptConnection &To,
                                   const std::string &Request,
                                   int) { answer(To, Request); }};
};

} // namespace

// Guards against "not run" for a request that an endpoint ran, and a second run
// of it, where the endpoint wrote an earlier refusal once more.
TEST_CASE("an earlier refusal that an endpoint writes again refuses no other "
          "request") {
  for (const bool NamesAttempts : {false, true})
    for (const Kind Of : AllKinds) {
      CAPTURE(NamesAttempts);
      CAPTURE(static_cast<int>(Of));
      const RepeatingEndpoint Endpoint(NamesAttempts);
      const TestNode Node(settingsFor(Endpoint.server()));
      CHECK(send(Node, Of, "refused").m_Status == 503);
      std::this_thread::sleep_for(20ms);
      const HttpResult Answer = send(Node, Of, "second");
      std::this_thread::sleep_for(30ms);
      CHECK(Endpoint.runs() > 0);
      CHECK_FALSE((Answer.m_Headers.contains("bronzepass-run-state") &&
                   Answer.m_Headers.at("bronzepass-run-state") == "not_run"));
      CHECK(Answer.m_Body.find("not_run") == std::string::npos);
      if (Of == Kind::KeyedCall)
        CHECK(Endpoint.runs() == 1);
    }
}

// Guards against an earlier answer for another request on the same connection.
TEST_CASE("an earlier answer that an endpoint writes again reaches no other "
          "caller") {
  for (const bool NamesAttempts : {false, true})
    for (const Kind Of : AllKinds) {
      CAPTURE(NamesAttempts);
      CAPTURE(static_cast<int>(Of));
      const RepeatingEndpoint Endpoint(NamesAttempts);
      const TestNode Node(settingsFor(Endpoint.server()));
      for (const std::string Name : {"first", "second", "third"}) {
        const HttpResult Answer = send(Node, Of, Name);
        CAPTURE(Name);
        CAPTURE(Answer.m_Body);
        CHECK((Answer.m_Body.find("one") == std::string::npos ||
               Name == "first"));
        std::this_thread::sleep_for(20ms);
      }
      if (Of == Kind::KeyedCall)
        CHECK(Endpoint.runs() == 3);
    }
}

// Guards against a connection for each request where answers name theirs, and
// against kept connections where they don't.
TEST_CASE("connections are used again where answers name their attempts") {
  for (const bool NamesAttempts : {false, true}) {
    ScriptedEndpoint Engine(
        [&](ScriptConnection &To, const std::string &Request, int) {
          To.write(NamesAttempts ? successFor(Request, "text")
                                 : answerWith("200 OK", "", "text"));
        });
    const TestNode Node(settingsFor(Engine));
    for (int I = 0; I < 6; ++I) {
      CHECK(send(Node, Kind::Call, "name").m_Complete);
      std::this_thread::sleep_for(20ms);
    }
    // The first answer shows that the endpoint names attempts.
    CHECK(Engine.connections() == (NamesAttempts ? 2 : 6));
  }
}

// Guards against an empty or short success where an endpoint stopped inside its
// answer's head.
TEST_CASE("an answer whose head is cut is no success for its caller") {
  for (const Kind Of : AllKinds) {
    std::atomic<size_t> Length = 0;
    std::atomic<int> Requests = 0;
    std::atomic<size_t> HeadLength = 1;
    ScriptedEndpoint Endpoint(
        [&](ScriptConnection &To, const std::string &Request, int) {
          const std::string Whole = successFor(Request, "text");
          HeadLength = Whole.find("\r\n\r\n") + 4;
          ++Requests;
          To.write(Whole.substr(0, Length));
          To.close();
        });
    for (; Length < HeadLength; Length += 9) {
      // A new node each time, since one leaves such an endpoint alone.
      const TestNode Node(settingsFor(Endpoint));
      const int Before = Requests;
      const HttpResult Answer =
          send(Node, Of, "name" + std::to_string(Length.load()));
      CAPTURE(static_cast<int>(Of));
      CAPTURE(Length.load());
      CHECK(Requests > Before);
      CHECK(Answer.m_Status >= 500);
      CHECK(Answer.m_Body.find("not_run") == std::string::npos);
      if (Of == Kind::KeyedCall)
        CHECK(Requests == Before + 1);
    }
  }
}

// Guards against an answer whose status is none, 000 above all, that a caller
// gets as its answer, or as a success.
TEST_CASE("an answer without a valid status is no success for its caller") {
  for (const std::string Status : {"000", "099", "20", "2000", "", "abc"})
    for (const std::string Interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
      for (const Kind Of : AllKinds) {
        CAPTURE(Status);
        CAPTURE(Interim);
        CAPTURE(static_cast<int>(Of));
        std::atomic<int> Requests = 0;
        ScriptedEndpoint Endpoint(
            [&](ScriptConnection &To, const std::string &Request, int) {
              ++Requests;
              std::string Answer = successFor(Request, "secret text");
              Answer.replace(Answer.find("200 OK"), 6, Status + " X");
              To.write(Interim + Answer);
            });
        const TestNode Node(settingsFor(Endpoint));
        const HttpResult Answer = send(Node, Of, "name");
        CHECK(Requests > 0);
        CHECK(Answer.m_Status >= 500);
        CHECK(Answer.m_Status < 600);
        CHECK(Answer.m_Body.find("secret") == std::string::npos);
        CHECK(Answer.m_Body.find("not_run") == std::string::npos);
        if (Of == Kind::KeyedCall)
          CHECK(Requests == 1);
      }
}

namespace {

const std::string Begun = "data: a\n\ndata: b\n\n";

std::string resumedWith(const std::string &Status, const std::string &Lines,
                        const std::string &Body) {
  return answerWith(Status,
                    "Bronzepass-Resume-Offset: " +
                        std::to_string(Begun.size()) + "\r\n" + Lines,
                    Body);
}

/// What a caller gets of a stream that breaks off, where the engine continues
/// it by \p Continuation.
HttpResult streamContinuedBy(const std::string &Continuation) {
  std::atomic<int> Resumed = 0;
  ScriptedEndpoint Engine(
      [&](ScriptConnection &To, const std::string &Request, int) {
        const bool Resumes =
            Request.find("Bronzepass-Resume-Offset: ") != std::string::npos;
        Resumed += Resumes ? 1 : 0;
        std::string Answer = "HTTP/1.1 200 OK\r\n" + EventStream +
                             "Transfer-Encoding: chunked\r\n\r\n12\r\n" +
                             Begun + "\r\n";
        if (Resumes)
          Answer = Continuation;
        Answer.insert(Answer.find("\r\n") + 2, attemptLine(Request));
        To.write(Answer);
        To.close();
      });
  TestNode::Settings Settings = settingsFor(Engine);
  Settings.m_CanResume = true;
  const TestNode Node(Settings);
  const HttpResult Answer = send(Node, Kind::Stream, "name");
  CHECK(Resumed > 0);
  return Answer;
}

} // namespace

// Guards against an error's text or head inside a stream that broke off, and
// such a stream that ends as complete.
TEST_CASE("a stream that broke off is incomplete where the engine does not "
          "continue it") {
  const std::string Json = "Content-Type: application/json\r\n";
  for (const std::string &Each :
       {answerWith("500 Bad", "", SecretText),
        answerWith("500 Bad", EventStream, SecretText + EndMarker),
        answerWith("503 No", "Bronzepass-Run-State: not_run\r\n", SecretText),
        answerWith("200 OK", EventStream, SecretText + EndMarker),
        std::string("HTTP/1.1 204 None\r\n\r\n"),
        resumedWith("500 Bad", EventStream, SecretText + EndMarker),
        resumedWith("404 None", Json, SecretText),
        resumedWith("302 Found", "Location: /secret\r\n", SecretText),
        resumedWith("202 Later", EventStream, SecretText + EndMarker),
        resumedWith("503 No", "Bronzepass-Run-State: not_run\r\n", SecretText),
        resumedWith("204 None", EventStream, ""),
        resumedWith("200 OK", EventStream, ""), resumedWith("200 OK", Json, ""),
        resumedWith("200 OK", "", ""), resumedWith("200 OK", Json, SecretText),
        resumedWith("200 OK", "", SecretText),
        resumedWith("200 OK", EventStream, EndMarker).substr(0, 60)}) {
    CAPTURE(Each);
    const HttpResult Answer = streamContinuedBy(Each);
    CHECK(Answer.m_Status == 200);
    CHECK_FALSE(Answer.m_Complete);
    CHECK(Answer.m_Body == Begun);
  }
}

// Guards against streams that no longer go on.
TEST_CASE("a stream that broke off goes on where the engine continues it") {
  const std::string Rest = "data: c\n\n" + EndMarker;
  const HttpResult Answer =
      streamContinuedBy(resumedWith("200 OK", EventStream, Rest));
  CHECK(Answer.m_Complete);
  CHECK(Answer.m_Body == Begun + Rest);
}

} // namespace bronzepass::unit_tests::adapters::http
