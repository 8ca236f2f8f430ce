#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace organisations = core::organisations;

namespace {

constexpr int TooManyRequests = 429;

/// One organisation with a quota of 10 requests a second.
class QuotaFixture : public RelayFixture {
public:
  QuotaFixture() {
    start({"a", "b"});
    gateway::GatewayConfig Config = config(2);
    organisations::OrganisationSpec Lab;
    Lab.m_Name = "lab";
    Lab.m_Keys = {organisations::digestOf("key")};
    Lab.m_Quota = organisations::QuotaSpec{
        organisations::QuotaSpec::Unit::Requests, 10, 10, 0};
    Config.m_Organisations = {{Lab}};
    Config.m_Routes[2].m_IsOpen = true;
    m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
    m_Organisation = organisations::quotaKeyOf(Lab);
  }

  void askWithKey(const std::string &Path = "/again/x",
                  const gateway::ModelRef &Model = {}) {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_Host = "h";
    Request.m_Path = Path;
    Request.m_ModelRef = Model;
    Request.m_BeganAt = m_Now;
    Request.m_Credential = {organisations::Credential::State::Present,
                            organisations::digestOf("key")};
    m_Core.onRequestReceived(Request, m_Now, m_Out);
  }
  /// The holder grants \p Tokens of what is asked now.
  void grant(uint64_t Tokens) {
    const std::optional<organisations::QuotaNotice> Asked =
        m_Core.quotas().takeAsk(m_Now);
    REQUIRE(Asked);
    organisations::QuotaNotice Answer;
    Answer.m_AskedAt = Asked->m_AskedAt;
    Answer.m_Answers = {
        {m_Organisation, Tokens, Tokens > 0 ? 0 : 300000, 0, false}};
    m_Core.onQuotaAnswer(Answer, m_Now, m_Out);
  }
  template <typename T> size_t count() const {
    size_t Count = 0;
    for (const gateway::RelayEffect &Each : m_Out)
      Count += std::holds_alternative<T>(Each) ? 1 : 0;
    return Count;
  }
  const gateway::RejectRequest *rejection() const {
    for (const gateway::RelayEffect &Each : m_Out)
      if (const auto *Found = std::get_if<gateway::RejectRequest>(&Each))
        return Found;
    return nullptr;
  }

private:
  uint64_t m_Organisation = 0;
};

/// Its request has waited for an adapter, which is there now, and waits for the
/// holder of quotas.
class TwofoldWaitFixture : public QuotaFixture {
public:
  TwofoldWaitFixture() {
    askWithKey("/once/x", {"m", "a2"});
    REQUIRE(count<gateway::CopyRequest>() == 1);
    listEndpointsAgain();
    REQUIRE(count<gateway::AskQuotas>() == 1);
    REQUIRE(count<gateway::SendRequest>() == 0);
  }

  void listEndpointsAgain() {
    for (gateway::EndpointEntry &Each : m_Entries)
      Each.m_Models = {{"m", {"a1", "a2"}}};
    setEndpoints(m_Entries);
  }
};

} // namespace

// Guards against a second send of a request that still counts as waiting.
TEST_CASE("a request that waits twofold is sent once when a configuration "
          "takes its quota away") {
  TwofoldWaitFixture Fixture;
  Fixture.configure(3);
  Fixture.listEndpointsAgain();
  CHECK(Fixture.count<gateway::SendRequest>() == 1);
  Fixture.advance(std::chrono::milliseconds(20));
  CHECK(Fixture.count<gateway::SendRequest>() == 1);
}

// Guards against a second node for a request that still counts as waiting.
TEST_CASE("a request that waits twofold is forwarded once when links are "
          "lost") {
  TwofoldWaitFixture Fixture;
  for (const char *const Peer : {"p", "q"}) {
    gateway::PeerNotice Notice;
    Notice.m_From = model::NodeId(Peer);
    Notice.m_Start = 1;
    Notice.m_Sequence = 1;
    Notice.m_ForwardingPort = 1;
    Notice.m_SenderIp = "10.0.0.2";
    Fixture.m_Core.onPeerNotice(Notice, Fixture.m_Now, Fixture.m_Out);
  }
  // Connections to neither endpoint can be opened.
  for (int Probe = 0; Probe < 8; ++Probe) {
    Fixture.ask("/stream/x");
    for (const gateway::SendRequest &Each :
         Fixture.take<gateway::SendRequest>())
      Fixture.finishSend(Each.m_Attempt, gateway::SendResult::NotSent, 0);
  }
  Fixture.take<gateway::SendRequest>();
  Fixture.listEndpointsAgain();
  const size_t Sends = Fixture.count<gateway::SendRequest>();
  CHECK(Sends == 1);
  Fixture.advance(std::chrono::milliseconds(20));
  CHECK(Fixture.count<gateway::SendRequest>() == Sends);
}

// Guards against cutting a stream that its organisation has paid for.
TEST_CASE("a stream that broke off goes on though the quota is spent") {
  QuotaFixture Fixture;
  Fixture.askWithKey("/resume/x");
  Fixture.grant(1);
  const std::vector<gateway::SendRequest> Sent =
      Fixture.take<gateway::SendRequest>();
  REQUIRE(Sent.size() == 1);
  const model::AttemptId Attempt = Sent.front().m_Attempt;
  Fixture.m_Core.onAnswerChunk(Attempt, Fixture.m_Now);
  Fixture.m_Core.onAnswerForwarded({Fixture.m_Last}, Fixture.m_Now);
  Fixture.finishSend(Attempt, gateway::SendResult::Broken, 0);
  const std::vector<gateway::SendRequest> Resumed =
      Fixture.take<gateway::SendRequest>();
  REQUIRE(Resumed.size() == 1);
  CHECK(Resumed.front().m_Resume);
  Fixture.advance(std::chrono::milliseconds(80));
  CHECK(Fixture.count<gateway::AbortAnswer>() == 0);
}

// Guards against cutting a stream that another node continues here.
TEST_CASE("a stream that another node's caller has begun takes no quota "
          "again") {
  QuotaFixture Fixture;
  gateway::RelayRequest Request;
  Request.m_Number = {++Fixture.m_Last};
  Request.m_Host = "h";
  Request.m_Path = "/resume/x";
  Request.m_BeganAt = Fixture.m_Now;
  Request.m_IsResumption = true;
  Request.m_Forwarded = gateway::ForwardingTerms{.m_ConfigVersion = 2,
                                                 .m_RunsLeft = 1,
                                                 .m_RequiredVersion = "",
                                                 .m_Organisation = "lab",
                                                 .m_HasBegun = true};
  Fixture.m_Core.onRequestReceived(Request, Fixture.m_Now, Fixture.m_Out);
  CHECK(Fixture.count<gateway::SendRequest>() == 1);
  Fixture.advance(std::chrono::milliseconds(80));
  CHECK(Fixture.count<gateway::RejectRequest>() == 0);
}

TEST_CASE("a request of an organisation with a quota waits for a grant") {
  QuotaFixture Fixture;
  Fixture.askWithKey();
  CHECK(Fixture.count<gateway::AskQuotas>() == 1);
  CHECK(Fixture.count<gateway::SendRequest>() == 0);
  Fixture.grant(1);
  CHECK(Fixture.count<gateway::SendRequest>() == 1);
}

TEST_CASE("a request beyond the quota is refused with the time to come back") {
  QuotaFixture Fixture;
  Fixture.askWithKey();
  Fixture.grant(0);
  CHECK(Fixture.count<gateway::SendRequest>() == 0);
  REQUIRE(Fixture.rejection());
  CHECK(Fixture.rejection()->m_Status == TooManyRequests);
  CHECK(Fixture.rejection()->m_RetryAfter);
}

TEST_CASE("a request is refused if the holder of quotas does not answer") {
  QuotaFixture Fixture;
  Fixture.askWithKey();
  Fixture.m_Now += std::chrono::milliseconds(80);
  Fixture.m_Core.tick(Fixture.m_Now, Fixture.m_Out);
  CHECK(Fixture.count<gateway::SendRequest>() == 0);
  REQUIRE(Fixture.rejection());
  CHECK(Fixture.rejection()->m_Status == TooManyRequests);
}

TEST_CASE("what a send that never ran had taken is taken again") {
  QuotaFixture Fixture;
  Fixture.askWithKey();
  Fixture.grant(1);
  REQUIRE(Fixture.count<gateway::SendRequest>() == 1);
  model::AttemptId Attempt;
  for (const gateway::RelayEffect &Each : Fixture.m_Out)
    if (const auto *Found = std::get_if<gateway::SendRequest>(&Each))
      Attempt = Found->m_Attempt;
  Fixture.m_Core.onSendFinished(Attempt,
                                {gateway::SendResult::NotSent, 0, false, ""},
                                Fixture.m_Now, Fixture.m_Out);
  // The retry needs no other grant.
  CHECK(Fixture.count<gateway::SendRequest>() == 2);
}

} // namespace bronzepass::unit_tests
