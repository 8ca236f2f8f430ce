#include "Core/Adapters/Gateway/ForwardingHeaders.h"
#include "UnitTests/Adapters/Gateway/RelayNode.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

using http::RawConnection;
using namespace std::chrono_literals;

namespace {

uint16_t closedPort() {
  return ScriptedEndpoint([](ScriptConnection &, const std::string &, int) {})
      .port();
}

using Organisations = std::vector<core::organisations::OrganisationSpec>;

/// A node to whose endpoints no connection can be opened.
class CutOffNode : public RelayNode {
public:
  explicit CutOffNode(uint16_t PeerPort,
                      const std::optional<Organisations> &Keyed = std::nullopt,
                      const std::string &ExtraHeaders = "")
      : RelayNode({closedPort(), closedPort(), closedPort()}, std::nullopt,
                  Keyed) {
    setPeer(PeerPort);
    // Until the peer has been heard and the links are known to be lost.
    std::this_thread::sleep_for(100ms);
    answerTo(*this, onceRequest(ExtraHeaders));
  }
};

/// One organisation, "lab", with the key "secret-1".
Organisations lab() {
  core::organisations::OrganisationSpec Lab;
  Lab.m_Name = "lab";
  Lab.m_Keys = {core::organisations::digestOf("secret-1")};
  return {Lab};
}

/// A request as a node forwards it.
std::string forwardedRequest(const std::string &Terms) {
  return onceRequest(Terms);
}

std::string answerAt(uint16_t Port, const std::string &Request) {
  RawConnection From(Port);
  From.send(Request);
  From.readToEnd();
  return From.text();
}

} // namespace

// Guards against nodes that refuse their callers while another node reaches
// the engines.
TEST_CASE("a node without links to its endpoints forwards a request whole, and "
          "the answer comes back whole") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "X-Own: 1\r\nContent-Length: 2\r\n\r\nok");
  });
  RelayNode Lender({Endpoint.port()});
  CutOffNode Node(Lender.forwardingPort());
  const size_t Before = Endpoint.requests().size();
  const std::string Target = "/once/a%2Fb/../c?z=1&a=2&a=%20&&=";
  const std::string Answer = answerTo(
      Node, requestText(Target,
                        "Connection: close\r\nContent-Length: 3\r\n"
                        "Bronzepass-Runs: 99\r\nBronzepass-Endpoint: x\r\n",
                        "PATCH") +
                "abc");
  CHECK(Answer.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(Answer.find("X-Server-Seal: s") != std::string::npos);
  CHECK(Answer.find("X-Own: 1") != std::string::npos);
  CHECK(Answer.find("Bronzepass-") == std::string::npos);
  CHECK(Answer.substr(Answer.size() - 2) == "ok");
  REQUIRE(Endpoint.requests().size() == Before + 1);
  const std::string Sent = Endpoint.requests().back();
  CHECK(Sent.rfind("PATCH " + Target + " HTTP/1.1\r\n", 0) == 0);
  CHECK(Sent.substr(Sent.size() - 3) == "abc");
  CHECK(Sent.find("X-Request-Id: r1\r\n") != std::string::npos);
  CHECK(Sent.find("X-Expect-Instance: e0\r\n") != std::string::npos);
  CHECK(Sent.find("Bronzepass-") == std::string::npos);
}

TEST_CASE("an endpoint behind another node gets the organisation's name, and "
          "nothing of its key") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
  });
  // In place of the other node, so that what that one is sent can be seen.
  ScriptedEndpoint Between([](ScriptConnection &To, const std::string &, int) {
    To.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
  });
  const std::string Key = "X-Credential: secret-1\r\n";
  const std::string Caller = "x-credential: secret-1\r\nX-Tenant: mill\r\n"
                             "x-tenant: mill\r\n"
                             "Bronzepass-Organisation: mill\r\n";
  SUBCASE("at the endpoint") {
    RelayNode Lender({Endpoint.port()}, std::nullopt, lab());
    CutOffNode Node(Lender.forwardingPort(), lab(), Key);
    const size_t Before = Endpoint.requests().size();
    CHECK(answerTo(Node, onceRequest(Caller)).rfind("HTTP/1.1 200", 0) == 0);
    REQUIRE(Endpoint.requests().size() == Before + 1);
    const std::string Sent = Endpoint.requests().back();
    CHECK(Sent.find("X-Tenant: lab\r\n") != std::string::npos);
    CHECK(Sent.find("mill") == std::string::npos);
    CHECK(Sent.find("secret") == std::string::npos);
  }
  SUBCASE("between the nodes") {
    CutOffNode Node(Between.port(), lab(), Key);
    (void)answerTo(Node, onceRequest(Caller));
    REQUIRE_FALSE(Between.requests().empty());
    const std::string Sent = Between.requests().back();
    CHECK(Sent.find("Bronzepass-Organisation: lab\r\n") != std::string::npos);
    CHECK(Sent.find("mill") == std::string::npos);
    CHECK(Sent.find("secret") == std::string::npos);
    CHECK(Sent.find("Tenant") == std::string::npos);
  }
}

// Guards against a stream that goes on at another node like a new one.
TEST_CASE("the terms of a forwarded request are read as they were written") {
  namespace relayed = core::adapters::gateway;
  for (const bool HasBegun : {false, true}) {
    const core::gateway::ForwardingTerms Terms{.m_ConfigVersion = 7,
                                               .m_RunsLeft = 2,
                                               .m_RequiredVersion = "v2",
                                               .m_Organisation = "lab",
                                               .m_HasBegun = HasBegun};
    core::gateway::HeaderLines Headers;
    relayed::addTerms(Terms, Headers);
    std::string Reason;
    CHECK(relayed::readTerms(Headers, Reason) == Terms);
    relayed::removeForwardingHeaders(Headers);
    CHECK(Headers.empty());
  }
}

TEST_CASE("a caller gains nothing by the headers of forwarded requests") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
  });
  RelayNode Node({Endpoint.port()}, std::nullopt, lab());
  for (const char *const Key :
       {"", "X-Credential: secret-2\r\n", "X-Credential: \r\n",
        "X-Credential: secret-1\r\nX-Credential: secret-1\r\n"})
    CHECK(answerTo(Node,
                   onceRequest(std::string("Bronzepass-Config: 1\r\n"
                                           "Bronzepass-Runs: 1\r\n"
                                           "Bronzepass-Organisation: lab\r\n"
                                           "X-Tenant: lab\r\n") +
                               Key))
              .rfind("HTTP/1.1 401", 0) == 0);
  CHECK(Endpoint.requests().empty());
}

TEST_CASE("a request is forwarded once: a node that has lost its links, too, "
          "declines it, and the caller is refused") {
  RelayNode Other({closedPort(), closedPort(), closedPort()});
  CutOffNode Node(Other.forwardingPort());
  // The other one would forward to this one.
  Other.setPeer(Node.forwardingPort());
  answerTo(Other, onceRequest());
  const std::string Answer = answerTo(Node, onceRequest());
  CHECK(Answer.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(Answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a forwarded request with unreadable terms gets a clear error and "
          "reaches no endpoint") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
  });
  RelayNode Lender({Endpoint.port()});
  for (const char *const Terms :
       {"", "Bronzepass-Config: 1\r\n", "Bronzepass-Runs: 1\r\n",
        "Bronzepass-Config: 1x\r\nBronzepass-Runs: 1\r\n",
        "Bronzepass-Config: 1\r\nBronzepass-Runs: -1\r\n",
        "Bronzepass-Config: 1\r\nBronzepass-Runs: 99999999999\r\n"}) {
    const std::string Answer =
        answerAt(Lender.forwardingPort(), forwardedRequest(Terms));
    CAPTURE(Terms);
    CHECK(Answer.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(Answer.find("Bronzepass-") != std::string::npos);
  }
  CHECK(Endpoint.requests().empty());
}

TEST_CASE("a request that was read under another configuration is declined") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
  });
  RelayNode Lender({Endpoint.port()});
  const std::string Answer =
      answerAt(Lender.forwardingPort(),
               forwardedRequest("Bronzepass-Config: 2\r\nBronzepass-Runs: "
                                "1\r\n"));
  CHECK(Answer.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(Answer.find("Retry-After") == std::string::npos);
  CHECK(Endpoint.requests().empty());
}

TEST_CASE("an answer that breaks off behind another node is never complete, "
          "and its request runs once") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write(std::string(Sealed) + "Content-Length: 9\r\n\r\npart");
    // Lets the bytes be read before the reset discards them.
    std::this_thread::sleep_for(50ms);
    To.reset();
  });
  RelayNode Lender({Endpoint.port()});
  CutOffNode Node(Lender.forwardingPort());
  const size_t Before = Endpoint.requests().size();
  CHECK(answerTo(Node, onceRequest()).rfind("HTTP/1.1 502", 0) == 0);
  CHECK(Endpoint.requests().size() == Before + 1);
}

TEST_CASE("an endpoint's own failure comes back with its seal") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write("HTTP/1.1 500 Bad\r\nX-Request-Id: r1\r\nX-Server-Seal: s\r\n"
             "Content-Length: 2\r\n\r\nno");
  });
  RelayNode Lender({Endpoint.port()});
  CutOffNode Node(Lender.forwardingPort());
  const std::string Answer = answerTo(Node, onceRequest());
  CHECK(Answer.rfind("HTTP/1.1 500", 0) == 0);
  CHECK(Answer.find("X-Server-Seal: s") != std::string::npos);
}

TEST_CASE("events of a forwarded stream arrive one by one, and its endpoint "
          "stops when the caller leaves") {
  std::promise<bool> Closed;
  ScriptedEndpoint Endpoint(
      [&](ScriptConnection &To, const std::string &Text, int) {
        if (Text.find("/once/") != std::string::npos) {
          To.write(std::string(Sealed) + "Content-Length: 2\r\n\r\nok");
          return;
        }
        To.write(ChunkedHead + chunk(event(1)));
        Closed.set_value(To.waitForClose(2000));
      });
  RelayNode Lender({Endpoint.port()});
  CutOffNode Node(Lender.forwardingPort());
  {
    RawConnection Caller(Node.port());
    Caller.send(requestText("/live/x"));
    REQUIRE(Caller.readUntil("id: 1"));
  }
  std::future<bool> Stopped = Closed.get_future();
  REQUIRE(Stopped.wait_for(500ms) == std::future_status::ready);
  CHECK(Stopped.get());
}

// Guards against giving up an engine that goes on after a second of silence.
TEST_CASE("an endpoint that is silent for a second, before its answer and "
          "within it, is waited for") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    std::this_thread::sleep_for(1200ms);
    To.write(ChunkedHead + chunk(event(1)));
    std::this_thread::sleep_for(1200ms);
    To.write(chunk(event(2)) + "0\r\n\r\n");
  });
  RelayNode Lender({Endpoint.port()});
  CutOffNode Node(Lender.forwardingPort());
  const size_t Before = Endpoint.requests().size();
  const RelayNode *const Nodes[] = {&Lender, &Node};
  for (const RelayNode *const Asked : Nodes) {
    const std::string Answer =
        answerTo(*Asked, requestText("/live/x", "Connection: close\r\n"));
    CHECK(Answer.find("id: 1") != std::string::npos);
    CHECK(Answer.find("id: 2") != std::string::npos);
    CHECK(Answer.substr(Answer.size() - 5) == "0\r\n\r\n");
  }
  CHECK(Endpoint.requests().size() == Before + 2);
}

} // namespace bronzepass::unit_tests::adapters::gateway
