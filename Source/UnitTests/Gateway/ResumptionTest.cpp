#include "Core/Model/Hash.h"
#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::RejectRequest;
using gateway::SendRequest;
using gateway::SendResult;

gateway::EndpointEntry engine(const std::string &Id,
                              const std::string &Version) {
  gateway::EndpointEntry Entry = RelayFixture::endpoint(Id);
  Entry.m_SoftwareVersion = Version;
  return Entry;
}

/// A node of a fleet of two, at which callers take streams up.
class ResumptionNode : public RelayFixture {
public:
  ResumptionNode() {
    configure();
    m_Core.setNodeCount(2, m_Now);
    hearPeer({});
  }

  void hearPeer(const gateway::StreamNotice &Streams) {
    gateway::PeerNotice Notice;
    Notice.m_From = model::NodeId("n2");
    Notice.m_Sequence = ++m_Sequence;
    Notice.m_Streams = Streams;
    m_Core.onPeerNotice(Notice, m_Now, m_Out);
  }

  void takeUp(const std::string &FirstAttempt) {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_CallerRequestId = "again-" + std::to_string(m_Last);
    Request.m_Host = "h";
    Request.m_Path = "/resume/";
    Request.m_BeganAt = m_Now;
    Request.m_ModelRef = {"m", ""};
    Request.m_IsResumption = true;
    Request.m_FirstAttempt = FirstAttempt;
    m_Core.onRequestReceived(Request, m_Now, m_Out);
  }

  uint64_t m_Sequence = 0;
};

} // namespace

TEST_CASE("a stream that broke off goes on at another engine of its version") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1"), engine("b", "v2"), engine("c", "v2")});
  for (int I = 0; I < 20; ++I) {
    const model::RequestId Request = Node.ask("/resume/", "m");
    const SendRequest First = Node.take<SendRequest>().at(0);
    Node.m_Core.onAnswerForwarded(Request, Node.m_Now);
    Node.finishSend(First.m_Attempt, SendResult::Broken, 0);
    const std::vector<SendRequest> Next = Node.take<SendRequest>();
    if (First.m_Endpoint == model::EndpointId("a")) {
      CHECK(Next.empty());
      CHECK(Node.take<gateway::AbortAnswer>().size() == 1);
    } else if (!Next.empty()) {
      CHECK(Next[0].m_Endpoint != model::EndpointId("a"));
      Node.finishSend(Next[0].m_Attempt, SendResult::Completed);
    }
    Node.advance(5s);
    Node.hearPeer({});
  }
}

TEST_CASE("a stream that is taken up goes on at the version that a peer told, "
          "or is refused at once if no engine of it is left") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1"), engine("b", "v2"), engine("c", "v2")});
  Node.hearPeer(
      {{{model::stableHash("first"), "v1"}, {model::stableHash("gone"), "v0"}},
       {}});
  for (int I = 0; I < 10; ++I) {
    Node.takeUp("first");
    CHECK(Node.take<SendRequest>().at(0).m_Endpoint == model::EndpointId("a"));
  }
  Node.takeUp("gone");
  CHECK(Node.take<SendRequest>().empty());
  const RejectRequest Refusal = Node.take<RejectRequest>().at(0);
  CHECK(Refusal.m_Status == 503);
  CHECK_FALSE(Refusal.m_RetryAfter);
}

TEST_CASE("a stream of unknown origin is refused while versions are mixed") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1")});
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().size() == 1);
  Node.hearPeer({{}, {{"s", 10s}}});
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().empty());
  const RejectRequest Refusal = Node.take<RejectRequest>().at(0);
  CHECK(Refusal.m_Status == 503);
  CHECK(Refusal.m_RetryAfter);
}

// Guards against a node that was cut off while a new version came.
TEST_CASE("a node that hears no other asks the store before it takes up a "
          "stream, and refuses one of unknown origin without an answer") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1")});
  Node.advance(20ms);
  for (int I = 0; I < 100; ++I)
    Node.advance(20ms);
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().empty());
  CHECK(Node.take<gateway::ConfirmEndpoints>().size() == 1);
  CHECK(Node.take<RejectRequest>().empty());
  // An answer to an earlier call confirms nothing.
  Node.m_Core.onEndpointsConfirmed(Node.m_Now - 1ms, Node.m_Now, Node.m_Out);
  CHECK(Node.take<SendRequest>().empty());
  Node.m_Core.onEndpointsConfirmed(Node.m_Now, Node.m_Now, Node.m_Out);
  CHECK(Node.take<SendRequest>().size() == 1);
  Node.takeUp("unknown");
  for (int I = 0; I < 20; ++I)
    Node.advance(20ms);
  CHECK(Node.take<SendRequest>().empty());
  CHECK(Node.take<RejectRequest>().size() == 1);
  Node.hearPeer({});
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().size() == 1);
}

// Guards against notices that waited in the socket while the node stood still:
// they made it take itself for up to date.
TEST_CASE("a node that stood still while a software version joined asks the "
          "store before it takes up a stream") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1")});
  Node.advance(20ms);
  Node.m_Now += 4s;
  Node.hearPeer({});
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().empty());
  Node.advance(20ms);
  Node.hearPeer({});
  Node.takeUp("unknown");
  CHECK(Node.take<SendRequest>().empty());
  CHECK(Node.take<gateway::ConfirmEndpoints>().size() == 2);
  Node.setEndpoints({engine("a", "v1"), engine("b", "v2")});
  Node.m_Core.onEndpointsConfirmed(Node.m_Now, Node.m_Now, Node.m_Out);
  CHECK(Node.take<SendRequest>().empty());
  CHECK(Node.take<RejectRequest>().size() == 2);
}

// Guards against an engine that started again under its id as another version.
TEST_CASE("a node that stood still asks the store before it takes up a stream "
          "whose version it knows") {
  ResumptionNode Node;
  Node.setEndpoints({engine("a", "v1"), engine("b", "v2")});
  Node.hearPeer({{{model::stableHash("first"), "v1"}}, {}});
  Node.advance(20ms);
  Node.m_Now += 4s;
  Node.takeUp("first");
  CHECK(Node.take<SendRequest>().empty());
  Node.setEndpoints({engine("a", "v2"), engine("b", "v2")});
  Node.m_Core.onEndpointsConfirmed(Node.m_Now, Node.m_Now, Node.m_Out);
  CHECK(Node.take<SendRequest>().empty());
  const RejectRequest Refusal = Node.take<RejectRequest>().at(0);
  CHECK_FALSE(Refusal.m_RetryAfter);
}

} // namespace bronzepass::unit_tests
