#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr int ServiceUnavailable = 503;
constexpr model::Duration Window = 100ms;

/// A node with two endpoints.
class DeadlineFixture : public RelayFixture {
public:
  DeadlineFixture() { start({"a", "b"}); }

  /// No connection to an endpoint can be opened, and a peer has its links.
  void loseLinks() {
    gateway::PeerNotice Notice;
    Notice.m_From = model::NodeId("p");
    Notice.m_Start = 1;
    Notice.m_Sequence = 1;
    Notice.m_ForwardingPort = 1;
    Notice.m_SenderIp = "10.0.0.2";
    m_Core.onPeerNotice(Notice, m_Now, m_Out);
    for (int Probe = 0; Probe < 8; ++Probe) {
      ask("/stream/x");
      for (const gateway::SendRequest &Each : take<gateway::SendRequest>())
        finishSend(Each.m_Attempt, gateway::SendResult::NotSent, 0);
    }
    take<gateway::SendRequest>();
    take<gateway::RejectRequest>();
  }
  void askSince(model::TimePoint BeganAt) {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_Host = "h";
    Request.m_Path = "/once/x";
    Request.m_BeganAt = BeganAt;
    Request.m_Window = Window;
    m_Core.onRequestReceived(Request, m_Now, m_Out);
  }
  void checkRefusedUnsent() {
    CHECK(take<gateway::SendRequest>().empty());
    const std::vector<gateway::RejectRequest> Refusals =
        take<gateway::RejectRequest>();
    REQUIRE(Refusals.size() == 1);
    CHECK(Refusals.front().m_Status == ServiceUnavailable);
  }
};

} // namespace

// Guards against a send without time, when the body took all of it.
TEST_CASE("a request whose time is up when it is received is not sent") {
  DeadlineFixture Relay;
  Relay.askSince(Relay.m_Now - Window);
  Relay.checkRefusedUnsent();
}

// Guards against another node that is given less than no time.
TEST_CASE("a request whose time is up when it is received is not forwarded") {
  DeadlineFixture Relay;
  Relay.loseLinks();
  Relay.askSince(Relay.m_Now - 2 * Window);
  Relay.checkRefusedUnsent();
}

} // namespace bronzepass::unit_tests
