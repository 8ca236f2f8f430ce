#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>
#include <set>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::EndpointStatement;
using gateway::RejectRequest;
using gateway::SendRequest;
using gateway::SendResult;

constexpr EndpointStatement Leaving{.m_IsLeaving = true};

/// A node that has sent one request, whose answer's head says \p Statement.
struct ToldNode {
  explicit ToldNode(const EndpointStatement &Statement,
                    const std::vector<std::string> &Endpoints = {"a", "b"}) {
    m_Relay.start(Endpoints);
    m_Relay.ask("/once/");
    m_Told = m_Relay.take<SendRequest>()[0];
    m_Relay.m_Core.onAnswerHead(m_Told.m_Attempt, Statement, m_Relay.m_Now,
                                m_Relay.m_Out);
  }

  /// Endpoints that the next requests are sent to.
  std::set<std::string> chosen(const std::string &Path, int Requests = 20) {
    std::set<std::string> Ids;
    for (int I = 0; I < Requests; ++I) {
      m_Relay.ask(Path);
      for (const SendRequest &Each : m_Relay.take<SendRequest>()) {
        Ids.insert(Each.m_Endpoint.str());
        m_Relay.finishSend(Each.m_Attempt, SendResult::Completed);
      }
    }
    return Ids;
  }

  RelayFixture m_Relay;
  SendRequest m_Told;
};

} // namespace

// Guards against sending to an endpoint that has said it is leaving, while the
// store doesn't say so yet.
TEST_CASE("no new request is sent to an endpoint that says it is leaving, from "
          "the head of the answer on") {
  ToldNode Node(Leaving);
  for (const char *const Path : {"/once/", "/again/", "/stream/", "/resume/"})
    CHECK_FALSE(Node.chosen(Path).contains(Node.m_Told.m_Endpoint.str()));
  // Not after the answer's end, nor after a later answer that does not say so.
  Node.m_Relay.m_Core.onAnswerHead(Node.m_Told.m_Attempt, {},
                                   Node.m_Relay.m_Now, Node.m_Relay.m_Out);
  Node.m_Relay.finishSend(Node.m_Told.m_Attempt, SendResult::Completed);
  CHECK_FALSE(Node.chosen("/once/").contains(Node.m_Told.m_Endpoint.str()));
}

TEST_CASE("a retry and a resumed stream go to an endpoint that is not leaving, "
          "or to none") {
  for (const char *const Path : {"/again/", "/resume/"}) {
    ToldNode Node(Leaving);
    Node.m_Relay.ask(Path);
    const SendRequest Other = Node.m_Relay.take<SendRequest>()[0];
    CHECK(Other.m_Endpoint != Node.m_Told.m_Endpoint);
    Node.m_Relay.finishSend(Other.m_Attempt, SendResult::Broken, 0);
    CHECK(Node.m_Relay.take<SendRequest>().empty());
  }
}

TEST_CASE("an endpoint that starts anew is no longer leaving") {
  ToldNode Node(Leaving, {"a"});
  CHECK(Node.chosen("/once/").empty());
  gateway::EndpointEntry Entry = RelayFixture::endpoint("a");
  Entry.m_StartedAtMs = 1;
  Node.m_Relay.setEndpoints({Entry});
  CHECK(Node.chosen("/once/") == std::set<std::string>{"a"});
}

TEST_CASE("a node learns from its peers that an endpoint is leaving") {
  ToldNode Node(Leaving, {"a"});
  gateway::PeerNotice Notice = Node.m_Relay.m_Core.notice(Node.m_Relay.m_Now);
  Notice.m_From = model::NodeId("n1");
  Notice.m_Sequence = 1;
  RelayFixture Peer;
  Peer.start({"a"});
  Peer.m_Core.onPeerNotice(Notice, Peer.m_Now, Peer.m_Out);
  Peer.ask("/once/");
  CHECK(Peer.take<SendRequest>().empty());
  CHECK(Peer.take<RejectRequest>().size() == 1);
}

// Guards against sending on to an endpoint that has just asked for nothing.
TEST_CASE("nothing is sent to a paused endpoint until its time is over, and "
          "the request that it turned away goes to another one") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/once/");
  const SendRequest Told = Relay.take<SendRequest>()[0];
  Relay.m_Core.onEndpointPaused(Told.m_Attempt, 2s, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<gateway::PauseBegun>().size() == 1);
  Relay.finishSend(Told.m_Attempt, SendResult::NotRun, 503);
  const std::vector<SendRequest> Second = Relay.take<SendRequest>();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].m_Endpoint != Told.m_Endpoint);
  const model::TimePoint End = Relay.m_Now + 2s;
  bool IsBack = false;
  while (Relay.m_Now < End + 1s) {
    for (const char *const Path : {"/once/", "/again/", "/stream/", "/resume/"})
      Relay.ask(Path);
    for (const SendRequest &Each : Relay.take<SendRequest>()) {
      CHECK((Each.m_Endpoint != Told.m_Endpoint || Relay.m_Now >= End));
      IsBack = IsBack || Each.m_Endpoint == Told.m_Endpoint;
      Relay.finishSend(Each.m_Attempt, SendResult::Completed);
    }
    Relay.advance(50ms);
  }
  CHECK(IsBack);
}

TEST_CASE("a request that only a paused endpoint could run is refused at once "
          "with the time that is left, at most a third of its own") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  const SendRequest Told = Relay.take<SendRequest>()[0];
  Relay.m_Core.onEndpointPaused(Told.m_Attempt, 1s, Relay.m_Now, Relay.m_Out);
  Relay.ask("/once/");
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  REQUIRE(Refused[0].m_RetryAfter);
  CHECK(*Refused[0].m_RetryAfter >= 500ms);
  CHECK(*Refused[0].m_RetryAfter <= 10s / 3);
}

TEST_CASE("requests beyond an endpoint's limit wait for their turn, the most "
          "urgent first, if it comes within their latency target") {
  RelayFixture Relay;
  gateway::GatewayConfig Config = RelayFixture::config();
  for (gateway::RouteSpec &Each : Config.m_Routes)
    Each.m_LatencyTarget = 600ms;
  Config.m_Routes[0].m_Priority = 1;
  Relay.m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  Relay.ask("/once/");
  const SendRequest Told = Relay.take<SendRequest>()[0];
  Relay.m_Core.onAnswerHead(Told.m_Attempt, {false, 4.0}, Relay.m_Now,
                            Relay.m_Out);
  Relay.finishSend(Told.m_Attempt, SendResult::Completed);
  const model::RequestId Patient = Relay.ask("/once/");
  const model::RequestId Urgent = Relay.ask("/again/");
  CHECK(Relay.take<RejectRequest>().empty());
  // The third could not begin in time.
  Relay.ask("/once/");
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  CHECK(Refused[0].m_RetryAfter >= 150ms);
  std::vector<model::RequestId> Sent;
  for (int I = 0; I < 30; ++I) {
    Relay.advance(20ms);
    for (const SendRequest &Each : Relay.take<SendRequest>())
      Sent.push_back(Each.m_Request);
  }
  CHECK(Sent == std::vector<model::RequestId>{Urgent, Patient});
}

TEST_CASE("a change of what an endpoint says of itself is logged once") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/");
  const model::AttemptId Attempt = Relay.take<SendRequest>()[0].m_Attempt;
  for (int I = 0; I < 3; ++I)
    Relay.m_Core.onAnswerHead(Attempt, {false, 4.0}, Relay.m_Now, Relay.m_Out);
  Relay.m_Core.onAnswerHead(Attempt, {}, Relay.m_Now, Relay.m_Out);
  const std::vector<gateway::StatementChange> Changes =
      Relay.take<gateway::StatementChange>();
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0].m_Statement.m_RequestsPerSecond == 4.0);
  CHECK_FALSE(Changes[1].m_Statement.m_RequestsPerSecond);
}

} // namespace bronzepass::unit_tests
