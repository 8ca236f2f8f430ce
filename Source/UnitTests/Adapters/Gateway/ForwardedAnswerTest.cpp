#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

using namespace std::chrono_literals;

const std::string LastChunk = "0\r\n\r\n";
const std::string EventStream = "Content-Type: text/event-stream\r\n";
const std::string SecretText = "data: secret error\n\n";

/// A port that is taken, so that no other server gets it, and on which nothing
/// listens.
class ClosedPort {
public:
  ClosedPort() : m_Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    sockaddr *const Any = reinterpret_cast<sockaddr *>(&Address);
    static_cast<void>(::bind(m_Socket.get(), Any, Size));
    ::getsockname(m_Socket.get(), Any, &Size);
    m_Port = ntohs(Address.sin_port);
  }
  uint16_t port() const { return m_Port; }

private:
  core::adapters::net::FileDescriptor m_Socket;
  uint16_t m_Port = 0;
};

std::vector<uint16_t> closedPorts() {
  static const ClosedPort First;
  static const ClosedPort Second;
  static const ClosedPort Third;
  return {First.port(), Second.port(), Third.port()};
}

std::string requestWith(const std::string &Target, const std::string &Id,
                        const std::string &Headers = "") {
  return "POST " + Target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
         "\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\n" + Headers + "\r\n";
}

/// A node to whose endpoints no connection can be opened. It forwards to the
/// peers at \p Ports; one or two.
class CutOffNode : public RelayNode {
public:
  explicit CutOffNode(const std::vector<uint16_t> &Ports)
      : RelayNode(closedPorts()) {
    // Without peers yet, this request finds out that the links are lost.
    answerTo(*this, requestWith("/once/x", "none"));
    setPeer(Ports.front());
    if (Ports.size() > 1)
      setOtherPeer(Ports.back());
    std::this_thread::sleep_for(60ms);
  }
};

std::string idOf(const std::string &Request) {
  const std::string Name = "X-Request-Id: ";
  const size_t Start = Request.find(Name) + Name.size();
  return Request.substr(Start, Request.find("\r\n", Start) - Start);
}

std::string framed(const std::string &Body) {
  return "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// An answer with \p Status to the request with id \p Id; none if empty.
std::string answerWith(const std::string &Status, const std::string &Id,
                       const std::string &Rest) {
  return "HTTP/1.1 " + Status + "\r\n" +
         (Id.empty() ? "" : "X-Request-Id: " + Id + "\r\n") + Rest;
}

std::string successFor(const std::string &Id) {
  return answerWith("200 OK", Id,
                    "X-Server-Seal: s\r\n" + EventStream +
                        framed(event(3) + event(4)));
}

bool hasStatus(const std::string &Answer, const std::string &Status) {
  return Answer.rfind("HTTP/1.1 " + Status, 0) == 0;
}

/// Of a refusal that promises that the request has not run.
bool saysNotRun(const std::string &Answer) {
  return hasStatus(Answer, "4") || hasStatus(Answer, "503");
}

/// How the second copy of a refusal names its request.
enum class CopyName { None, EarlierRequest, OwnRequest };

/// Refuses its first request. It runs all others, and writes the refusal once
/// more to those that come on the same connection.
class RepeatingServer {
public:
  /// \p Refusal: status and header lines behind the id.
  RepeatingServer(const std::string &Status, const std::string &Lines,
                  CopyName Name)
      : m_Status(Status), m_Lines(Lines), m_Name(Name),
        m_Server([this](ScriptConnection &To, const std::string &Request,
                        int Number) { answer(To, Request, Number); }) {}

  uint16_t port() const { return m_Server.port(); }
  int runs() const { return m_Runs; }
  int copies() const { return m_Copies; }

private:
  std::string refusalFor(const std::string &Id) const {
    return answerWith(m_Status, Id, m_Lines + "Content-Length: 0\r\n\r\n");
  }

  std::string copyFor(const std::string &Id) const {
    switch (m_Name) {
    case CopyName::None:
      return refusalFor("");
    case CopyName::EarlierRequest:
      return refusalFor(m_FirstId);
    case CopyName::OwnRequest:
      break;
    }
    return refusalFor(Id);
  }

  void answer(ScriptConnection &To, const std::string &Request, int Number) {
    const std::string Id = idOf(Request);
    if (Number == 1) {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      m_FirstId = Id;
      m_Refused = &To;
      To.write(refusalFor(Id));
      return;
    }
    ++m_Runs;
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Refused == &To) {
        ++m_Copies;
        To.write(copyFor(Id));
      }
    }
    std::this_thread::sleep_for(20ms);
    To.write(successFor(Id));
  }

  std::string m_Status;
  std::string m_Lines;
  CopyName m_Name;
  std::mutex m_Mutex;
  std::string m_FirstId;
  const ScriptConnection *m_Refused = nullptr;
  std::atomic<int> m_Runs = 0;
  std::atomic<int> m_Copies = 0;
  ScriptedEndpoint m_Server;
};

struct Path {
  std::string m_Target;
  std::string m_Headers;
};

const std::vector<Path> AllPaths = {{"/once/x", ""},
                                    {"/again/x", ""},
                                    {"/live/x", ""},
                                    {"/stream/x", ""},
                                    {"/stream/x", "Last-Event-Id: 2\r\n"}};

bool mayRunAgain(const Path &Of) {
  return Of.m_Target == "/again/x" || Of.m_Target == "/stream/x";
}

/// Sends a request that is refused and one that runs: with the same id, \p
/// IsSameId, or another.
void checkRefusedOnce(const CutOffNode &Node, const RepeatingServer &First,
                      const RepeatingServer &Second, const Path &Of,
                      bool IsSameId) {
  CAPTURE(Of.m_Target);
  CAPTURE(Of.m_Headers);
  CAPTURE(IsSameId);
  CHECK(
      saysNotRun(answerTo(Node, requestWith(Of.m_Target, "a", Of.m_Headers))));
  std::this_thread::sleep_for(30ms);
  const std::string Answer = answerTo(
      Node, requestWith(Of.m_Target, IsSameId ? "a" : "b", Of.m_Headers));
  std::this_thread::sleep_for(30ms);
  const int Runs = First.runs() + Second.runs();
  CHECK(Runs > 0);
  CHECK_FALSE(saysNotRun(Answer));
  if (!mayRunAgain(Of))
    CHECK(Runs == 1);
  if (IsSameId)
    CHECK(hasStatus(Answer, "200"));
}

} // namespace

// Guards against "not run" for a request that a node's engine ran, and a second
// run, where the engine wrote an earlier refusal once more.
TEST_CASE("an earlier refusal of an engine refuses no other forwarded "
          "request") {
  for (const bool IsSameId : {false, true})
    for (const CopyName Name :
         {CopyName::None,
          IsSameId ? CopyName::OwnRequest : CopyName::EarlierRequest})
      for (const Path &Each : AllPaths) {
        CAPTURE(static_cast<int>(Name));
        const RepeatingServer First("503 No", "X-Not-Run: 1\r\n", Name);
        const RepeatingServer Second("503 No", "X-Not-Run: 1\r\n", Name);
        const RelayNode Lender({First.port(), Second.port()});
        const CutOffNode Node({Lender.forwardingPort()});
        checkRefusedOnce(Node, First, Second, Each, IsSameId);
      }
}

// Guards against the same where another node writes its refusal once more.
TEST_CASE("an earlier refusal of a node refuses no other forwarded request") {
  struct Refusal {
    const char *m_Status;
    const char *m_Lines;
    std::vector<Path> m_Paths;
  };
  const std::vector<Path> RunOnce = {{"/once/x", ""}, {"/live/x", ""}};
  for (const Refusal &Of :
       {Refusal{"503 No", "Retry-After: 1\r\n", AllPaths},
        Refusal{"503 No", "", RunOnce}, Refusal{"404 No", "", AllPaths},
        Refusal{"429 No", "Retry-After: 1\r\n", RunOnce},
        Refusal{"503 No", "X-Not-Run: 1\r\n", RunOnce}})
    for (const bool IsSameId : {false, true})
      for (const CopyName Name :
           {CopyName::None,
            IsSameId ? CopyName::OwnRequest : CopyName::EarlierRequest})
        for (const Path &Each : Of.m_Paths) {
          CAPTURE(Of.m_Status);
          CAPTURE(Of.m_Lines);
          CAPTURE(static_cast<int>(Name));
          const RepeatingServer Peer(Of.m_Status, Of.m_Lines, Name);
          const RepeatingServer None(Of.m_Status, Of.m_Lines, Name);
          const CutOffNode Node({Peer.port()});
          checkRefusedOnce(Node, Peer, None, Each, IsSameId);
        }
}

// Guards against a second run at another node, where the first wrote an earlier
// refusal once more.
TEST_CASE("a request that may run once runs at one node, whatever refusal "
          "comes again") {
  for (const CopyName Name : {CopyName::None, CopyName::EarlierRequest})
    for (const std::string Target : {"/once/x", "/live/x"}) {
      CAPTURE(static_cast<int>(Name));
      CAPTURE(Target);
      const RepeatingServer First("503 No", "", Name);
      const RepeatingServer Second("503 No", "", Name);
      const CutOffNode Node({First.port(), Second.port()});
      checkRefusedOnce(Node, First, Second, {Target, ""}, false);
    }
}

namespace {

/// Sends a request on each path, where the answer \p Whole is cut after each
/// byte of its head. Each gets an id of its own, which \p Whole names by "ID".
void checkHeadCutByNode(const std::string &Whole) {
  std::atomic<size_t> Length = 0;
  std::atomic<bool> Resets = false;
  ScriptedEndpoint Peer(
      [&](ScriptConnection &To, const std::string &Request, int) {
        const std::string Id = idOf(Request);
        std::string Answer = Whole;
        Answer.replace(Answer.find("ID"), 2, Id);
        if (Request.find("/first") != std::string::npos) {
          To.write(successFor(Id));
          return;
        }
        To.write(Answer.substr(0, Length));
        if (Resets)
          To.reset();
        else
          To.close();
      });
  const CutOffNode Node({Peer.port()});
  int Number = 1000;
  const auto NextId = [&] { return std::to_string(++Number); };
  std::string Known = Whole;
  Known.replace(Known.find("ID"), 2, NextId());
  const size_t HeadLength = Known.find("\r\n\r\n") + 4;
  for (const Path &Each : AllPaths)
    for (const bool Reset : {false, true})
      for (const bool Kept : {false, true})
        for (size_t At = 0; At < HeadLength; At += Reset ? 7 : 1) {
          Length = At;
          Resets = Reset;
          if (Kept)
            CHECK(hasStatus(
                answerTo(Node, requestWith("/once/first", NextId())), "200"));
          const std::string Answer = answerTo(
              Node, requestWith(Each.m_Target, NextId(), Each.m_Headers));
          CAPTURE(Each.m_Target);
          CAPTURE(Each.m_Headers);
          CAPTURE(Reset);
          CAPTURE(Kept);
          CAPTURE(At);
          CAPTURE(Answer);
          CHECK(hasStatus(Answer, "502"));
        }
}

} // namespace

// Guards against an empty or short success where a node stopped inside its
// answer's head.
TEST_CASE(
    "a forwarded request whose success has a cut head ends with an error, "
    "wherever it is cut") {
  checkHeadCutByNode(successFor("ID"));
}

// Guards against "not run" where a node stopped inside its refusal's head.
TEST_CASE("a refusal with a cut head does not prove that a forwarded request "
          "did not run") {
  checkHeadCutByNode(answerWith("503 No", "ID", "Content-Length: 0\r\n\r\n"));
  checkHeadCutByNode(answerWith("404 No", "ID",
                                "Retry-After: 1\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against an empty or short success where an engine behind a node
// stopped inside its answer's head.
TEST_CASE("a forwarded request whose engine cuts its head ends with an error") {
  const size_t HeadLength = successFor("r1").find("\r\n\r\n") + 4;
  for (const Path &Each : AllPaths) {
    std::atomic<size_t> Length = 0;
    ScriptedEndpoint Engine(
        [&](ScriptConnection &To, const std::string &Request, int) {
          To.write(successFor(idOf(Request)).substr(0, Length));
          To.close();
        });
    for (size_t At = 0; At < HeadLength; At += 13) {
      Length = At;
      const RelayNode Lender({Engine.port()});
      const CutOffNode Node({Lender.forwardingPort()});
      CAPTURE(Each.m_Target);
      CAPTURE(Each.m_Headers);
      CAPTURE(At);
      CHECK(hasStatus(
          answerTo(Node, requestWith(Each.m_Target, "r1", Each.m_Headers)),
          "502"));
    }
  }
}

namespace {

std::string sealed(const std::string &Status, const std::string &Rest) {
  return answerWith(Status, "r1", "X-Server-Seal: s\r\n" + Rest);
}

std::string chunked(const std::string &Events) {
  return sealed("200 OK", EventStream + "Transfer-Encoding: chunked\r\n\r\n" +
                              (Events.empty() ? "" : chunk(Events)));
}

/// Answers that continue no stream.
std::vector<std::string> otherAnswers() {
  return {
      sealed("500 Bad", framed(SecretText)),
      sealed("500 Bad", EventStream + framed(SecretText)),
      sealed("404 None", framed(SecretText)),
      sealed("302 Found", "Location: /secret\r\n" + framed(SecretText)),
      sealed("503 Full", "X-Not-Run: 1\r\n" + framed(SecretText)),
      sealed("421 Other", framed(SecretText)),
      answerWith("503 No", "r1", "Retry-After: 1\r\n" + framed(SecretText)),
      answerWith("503 No", "r1", framed(SecretText)),
      answerWith("400 Bad", "", framed(SecretText)),
      answerWith("404 None", "r1", EventStream + framed(SecretText)),
      answerWith("500 Bad", "r1", framed(SecretText)),
      answerWith("502 Bad", "r1", framed(SecretText)),
      answerWith("200 OK", "r1", EventStream + framed(SecretText)),
      sealed("500 Bad", "\r\n" + SecretText),
      sealed("200 OK", EventStream).substr(0, 40),
  };
}

/// Successes without an event.
std::vector<std::string> emptySuccesses() {
  return {sealed("204 None", "\r\n"),
          sealed("204 None", EventStream + "\r\n"),
          sealed("200 OK", EventStream + framed("")),
          sealed("200 OK", framed("")),
          sealed("200 OK", EventStream + "\r\n"),
          chunked("") + LastChunk};
}

/// What a caller gets of a stream that breaks off after event 2, where the next
/// server writes \p Continuation.
ScriptedEndpoint::Script streamContinuedBy(const std::string &Continuation) {
  return [Continuation](ScriptConnection &To, const std::string &Request, int) {
    const bool Continues =
        Request.find("Last-Event-Id: 2\r\n") != std::string::npos;
    To.write(Continues ? Continuation : chunked(event(1) + event(2)));
    To.close();
  };
}

/// An engine that begins a stream and breaks off once the links are lost. From
/// its beginning on it gives other requests no answer.
class BreakingEngine {
public:
  uint16_t port() const { return m_Server.port(); }
  void breakOff() { m_LinksLost.set_value(); }

private:
  void answer(ScriptConnection &To, const std::string &Request) {
    if (Request.find("/stream/") != std::string::npos) {
      m_HasBegun = true;
      To.write(chunked(event(1) + event(2)));
      m_LinksLost.get_future().wait_for(3s);
    }
    if (m_HasBegun)
      To.close();
    else
      To.write(successFor(idOf(Request)));
  }

  std::atomic<bool> m_HasBegun = false;
  std::promise<void> m_LinksLost;
  ScriptedEndpoint m_Server{[this](ScriptConnection &To,
                                   const std::string &Request,
                                   int) { answer(To, Request); }};
};

/// What a caller gets of a stream of the node's own engine, which breaks off
/// after event 2 while the links are lost, so that it is continued by another
/// node, which writes \p Continuation.
std::string answerContinuedByNode(const std::string &Continuation) {
  ScriptedEndpoint Peer(
      [&](ScriptConnection &To, const std::string &Request, int) {
        const bool Continues =
            Request.find("Last-Event-Id: 2\r\n") != std::string::npos;
        To.write(Continues ? Continuation : successFor(idOf(Request)));
        if (Continues)
          To.close();
      });
  BreakingEngine Engine;
  std::vector<uint16_t> Ports = closedPorts();
  Ports.push_back(Engine.port());
  RelayNode Node(Ports);
  const auto SendOther = [&](int Number) {
    answerTo(Node, requestWith("/again/x", "other" + std::to_string(Number)));
  };
  // The others are left alone for half a second once they have refused one, so
  // that the stream begins at its first send.
  constexpr int Before = 20;
  for (int I = 0; I < Before; ++I)
    SendOther(I);
  http::RawConnection Caller(Node.port());
  Caller.send(requestWith("/stream/x", "r1"));
  REQUIRE(Caller.readUntil(event(2)));
  Node.setPeer(Peer.port());
  for (int I = Before; I < 100 && Peer.requests().empty(); ++I) {
    std::this_thread::sleep_for(20ms);
    SendOther(I);
  }
  REQUIRE_FALSE(Peer.requests().empty());
  Engine.breakOff();
  Caller.readToEnd();
  CHECK(Peer.requests().back().find("Last-Event-Id: 2\r\n") !=
        std::string::npos);
  return Caller.text();
}

std::string answerOverNode(const std::string &Answer,
                           const std::string &Headers) {
  ScriptedEndpoint Peer(streamContinuedBy(Answer));
  const CutOffNode Node({Peer.port()});
  return answerTo(Node, requestWith("/stream/x", "r1", Headers));
}

std::string answerOverLender(const std::string &Continuation,
                             const std::string &Headers = "") {
  ScriptedEndpoint First(streamContinuedBy(Continuation));
  ScriptedEndpoint Second(streamContinuedBy(Continuation));
  const RelayNode Lender({First.port(), Second.port()});
  const CutOffNode Node({Lender.forwardingPort()});
  return answerTo(Node, requestWith("/stream/x", "r1", Headers));
}

void checkCutAfterSecondEvent(const std::string &Answer) {
  CAPTURE(Answer);
  CHECK(hasStatus(Answer, "200"));
  CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Answer.find(event(2)) != std::string::npos);
  CHECK(Answer.find("secret") == std::string::npos);
  CHECK_FALSE(Answer.ends_with(LastChunk));
}

} // namespace

// Guards against an error's text or head inside a forwarded stream.
TEST_CASE("a forwarded stream that broke off is cut where the next answer is a "
          "failure") {
  for (const std::string &Each : otherAnswers()) {
    CAPTURE(Each);
    checkCutAfterSecondEvent(answerContinuedByNode(Each));
    checkCutAfterSecondEvent(answerOverLender(Each));
  }
}

// Guards against a forwarded stream that ends as complete where it broke off.
TEST_CASE("a forwarded stream that broke off is not ended by an answer without "
          "events") {
  for (const std::string &Each : emptySuccesses()) {
    CAPTURE(Each);
    checkCutAfterSecondEvent(answerContinuedByNode(Each));
    checkCutAfterSecondEvent(answerOverLender(Each));
  }
}

// Guards against an error's text in a stream that a caller takes up.
TEST_CASE("a forwarded stream that a caller takes up is not answered with "
          "another success") {
  const std::string Headers = "Last-Event-Id: 2\r\n";
  for (const std::string &Each : otherAnswers()) {
    CAPTURE(Each);
    CHECK_FALSE(hasStatus(answerOverNode(Each, Headers), "2"));
    CHECK_FALSE(hasStatus(answerOverLender(Each, Headers), "2"));
  }
}

// Guards against a stream that a caller takes up and that ends as complete
// where it broke off.
TEST_CASE("a forwarded stream that a caller takes up is not ended by an answer "
          "without events") {
  const std::string Headers = "Last-Event-Id: 2\r\n";
  for (const std::string &Each : emptySuccesses()) {
    CAPTURE(Each);
    CHECK(hasStatus(answerOverNode(Each, Headers), "502"));
    CHECK(hasStatus(answerOverLender(Each, Headers), "502"));
  }
}

// Guards against forwarded streams that no longer go on.
TEST_CASE("a forwarded stream that broke off goes on where the next answer "
          "continues it") {
  const std::string Rest = chunked(event(2) + event(3)) + LastChunk;
  for (const std::string &Answer :
       {answerContinuedByNode(Rest), answerOverLender(Rest)}) {
    CAPTURE(Answer);
    CHECK(Answer.find(event(3)) != std::string::npos);
    CHECK(Answer.find(event(2)) == Answer.rfind(event(2)));
    CHECK(Answer.ends_with(LastChunk));
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
