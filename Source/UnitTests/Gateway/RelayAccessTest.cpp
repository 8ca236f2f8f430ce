#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace organisations = core::organisations;
using gateway::SendResult;
using organisations::Credential;

namespace {

constexpr int Unauthorised = 401;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr model::Duration RevocationTime = std::chrono::seconds(5);

class AccessFixture : public RelayFixture {
public:
  explicit AccessFixture(model::Duration Revocation = model::Duration(0))
      : RelayFixture(1, settings(Revocation)) {}

  static gateway::RelaySettings settings(model::Duration Revocation) {
    gateway::RelaySettings Settings;
    Settings.m_KeyRevocationTime = Revocation;
    return Settings;
  }

  /// "lab" holds key-1 and is the most urgent; "mill" holds key-2.
  static gateway::GatewayConfig
  keyedConfig(uint64_t Version, const std::vector<std::string> &LabKeys) {
    gateway::GatewayConfig Config = config(Version);
    organisations::OrganisationSpec Lab;
    Lab.m_Name = "lab";
    Lab.m_Priority = 0;
    for (const std::string &Each : LabKeys)
      Lab.m_Keys.push_back(organisations::digestOf(Each));
    organisations::OrganisationSpec Mill;
    Mill.m_Name = "mill";
    Mill.m_Keys = {organisations::digestOf("key-2")};
    Config.m_Organisations = {{Lab, Mill}};
    for (gateway::RouteSpec &Each : Config.m_Routes)
      Each.m_Priority = 5;
    gateway::RouteSpec Open = route("/open/");
    Open.m_IsOpen = true;
    Config.m_Routes.push_back(Open);
    return Config;
  }

  void startKeyed(const std::vector<std::string> &Ids) {
    start(Ids);
    setKeys(2, {"key-1"});
  }
  void setKeys(uint64_t Version, const std::vector<std::string> &LabKeys) {
    m_Core.setTable(
        std::make_shared<gateway::RouteTable>(keyedConfig(Version, LabKeys)));
  }
  void prove() { m_Core.onConfigProven(m_Now, m_Now, m_Out); }

  gateway::RelayRequest request(const std::string &Path, const char *Key) {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_Host = "h";
    Request.m_Path = Path;
    Request.m_BeganAt = m_Now;
    if (Key)
      Request.m_Credential = {Credential::State::Present,
                              organisations::digestOf(Key)};
    return Request;
  }
  void receive(const gateway::RelayRequest &Request) {
    m_Core.onRequestReceived(Request, m_Now, m_Out);
  }
  void ask(const std::string &Path, const char *Key) {
    receive(request(Path, Key));
  }

  /// The status of the one refusal since the last call.
  int refusal() {
    const std::vector<gateway::RejectRequest> Rejected =
        take<gateway::RejectRequest>();
    return Rejected.size() == 1 ? Rejected[0].m_Status : 0;
  }
  gateway::SendRequest sent() {
    const std::vector<gateway::SendRequest> Sent = take<gateway::SendRequest>();
    REQUIRE(Sent.size() == 1);
    return Sent[0];
  }
  bool sentNothing() { return take<gateway::SendRequest>().empty(); }
};

} // namespace

TEST_CASE("Without organisations, keys and proofs mean nothing") {
  AccessFixture Node(RevocationTime);
  Node.start({"a"});
  Node.ask("/again/", "key-9");
  const gateway::SendRequest Send = Node.sent();
  CHECK_FALSE(Send.m_Organisation);
  CHECK(Node.refusal() == 0);
}

TEST_CASE("A request is sent for the organisation that holds its key") {
  AccessFixture Node;
  Node.startKeyed({"a"});
  Node.ask("/again/", "key-1");
  const gateway::SendRequest Lab = Node.sent();
  CHECK(Lab.m_Organisation == "lab");
  CHECK(Lab.m_Priority == 0);
  Node.ask("/again/", "key-2");
  const gateway::SendRequest Mill = Node.sent();
  CHECK(Mill.m_Organisation == "mill");
  CHECK(Mill.m_Priority == 5);
  Node.ask("/open/", nullptr);
  CHECK(Node.sent().m_Organisation == "");
  Node.ask("/open/", "key-1");
  CHECK(Node.sent().m_Organisation == "lab");
}

// Guards against a route that a node denies by a configuration that has long
// been replaced: its caller would not ask elsewhere.
TEST_CASE("A node that can't prove its configuration denies no route") {
  AccessFixture Node(RevocationTime);
  Node.startKeyed({"a"});
  for (const char *const Key : {"key-1", static_cast<const char *>(nullptr)}) {
    CAPTURE(Key);
    Node.ask("/gone/", Key);
    CHECK(Node.refusal() == ServiceUnavailable);
  }
  Node.prove();
  Node.ask("/gone/", "key-1");
  CHECK(Node.refusal() == NotFound);
  Node.m_Now += RevocationTime * 4 / 5;
  Node.ask("/gone/", "key-1");
  CHECK(Node.refusal() == ServiceUnavailable);
}

TEST_CASE("Without a key that an organisation holds, nothing is sent") {
  AccessFixture Node;
  Node.startKeyed({"a"});
  for (const char *Key : {static_cast<const char *>(nullptr), "key-9"}) {
    Node.ask("/again/", Key);
    CHECK(Node.refusal() == Unauthorised);
  }
  gateway::RelayRequest Odd = Node.request("/again/", "key-1");
  Odd.m_Credential.m_State = Credential::State::Unreadable;
  Node.receive(Odd);
  CHECK(Node.refusal() == Unauthorised);
  CHECK(Node.sentNothing());
  CHECK(Node.m_Core.activeRequestCount() == 0);
}

TEST_CASE("Before the first configuration a key is not judged") {
  AccessFixture Node(RevocationTime);
  Node.ask("/again/", "key-9");
  CHECK(Node.refusal() == ServiceUnavailable);
}

TEST_CASE("A request is not sent again after its key was taken away") {
  AccessFixture Node;
  Node.startKeyed({"a", "b"});
  Node.ask("/again/", "key-1");
  const gateway::SendRequest First = Node.sent();
  Node.setKeys(3, {"key-3"});
  SUBCASE("nothing ran") {
    Node.finishSend(First.m_Attempt, SendResult::NotRun, ServiceUnavailable);
    CHECK(Node.refusal() == Unauthorised);
  }
  SUBCASE("it may have run") {
    Node.finishSend(First.m_Attempt, SendResult::Broken);
    CHECK(Node.refusal() == BadGateway);
  }
  CHECK(Node.sentNothing());
}

TEST_CASE("A stream is not taken up elsewhere after its key was taken away") {
  AccessFixture Node;
  Node.startKeyed({"a", "b"});
  Node.ask("/resume/", "key-1");
  const gateway::SendRequest First = Node.sent();
  Node.m_Core.onAnswerForwarded(First.m_Request, Node.m_Now);
  SUBCASE("it is while the key holds") {
    Node.finishSend(First.m_Attempt, SendResult::Broken);
    const gateway::SendRequest Next = Node.sent();
    CHECK(Next.m_Resume);
    CHECK(Next.m_Organisation == "lab");
    CHECK(Next.m_Priority == 0);
  }
  SUBCASE("it is cut after that") {
    Node.setKeys(3, {});
    Node.finishSend(First.m_Attempt, SendResult::Broken);
    CHECK(Node.take<gateway::AbortAnswer>().size() == 1);
    CHECK(Node.sentNothing());
  }
}

TEST_CASE("A waiting request whose key is taken away is refused") {
  AccessFixture Node;
  Node.startKeyed({"a"});
  gateway::RelayRequest Waiting = Node.request("/again/", "key-1");
  Waiting.m_ModelRef = {"m", "a2"};
  Node.receive(Waiting);
  CHECK(Node.sentNothing());
  CHECK(Node.m_Core.activeRequestCount() == 1);
  Node.setKeys(3, {});
  Node.advance(std::chrono::milliseconds(20));
  CHECK(Node.refusal() == Unauthorised);
  CHECK(Node.sentNothing());
}

TEST_CASE("A key that moves to another organisation is sent as that one's") {
  AccessFixture Node;
  Node.startKeyed({"a", "b"});
  Node.ask("/again/", "key-2");
  const gateway::SendRequest First = Node.sent();
  gateway::GatewayConfig Moved = AccessFixture::keyedConfig(3, {"key-2"});
  Moved.m_Organisations->back().m_Keys.clear();
  Node.m_Core.setTable(std::make_shared<gateway::RouteTable>(Moved));
  Node.finishSend(First.m_Attempt, SendResult::NotRun, ServiceUnavailable);
  const gateway::SendRequest Next = Node.sent();
  CHECK(Next.m_Organisation == "lab");
  CHECK(Next.m_Priority == 0);
}

TEST_CASE("Without the needed proof, requests with a key are refused") {
  AccessFixture Node(RevocationTime);
  Node.startKeyed({"a", "b"});
  Node.ask("/again/", "key-1");
  CHECK(Node.refusal() == ServiceUnavailable);
  // It may be the key of a newer configuration.
  Node.ask("/again/", "key-9");
  CHECK(Node.refusal() == ServiceUnavailable);
  CHECK(Node.sentNothing());
  Node.ask("/open/", nullptr);
  CHECK(Node.sent().m_Organisation == "");
  Node.prove();
  const std::vector<gateway::ProofChange> Gained =
      Node.take<gateway::ProofChange>();
  REQUIRE(Gained.size() == 1);
  CHECK(Gained[0].m_Holds);
  Node.ask("/again/", "key-1");
  const gateway::SendRequest First = Node.sent();
  Node.ask("/again/", "key-9");
  CHECK(Node.refusal() == Unauthorised);
  Node.advance(std::chrono::milliseconds(4000));
  const std::vector<gateway::ProofChange> Lost =
      Node.take<gateway::ProofChange>();
  REQUIRE(Lost.size() == 1);
  CHECK_FALSE(Lost[0].m_Holds);
  CHECK(Lost[0].m_Age == std::chrono::seconds(4));
  SUBCASE("a retry") {
    Node.finishSend(First.m_Attempt, SendResult::NotRun, ServiceUnavailable);
    const std::vector<gateway::RejectRequest> Rejected =
        Node.take<gateway::RejectRequest>();
    REQUIRE(Rejected.size() == 1);
    CHECK(Rejected[0].m_Status == ServiceUnavailable);
    CHECK(Rejected[0].m_RetryAfter);
  }
  SUBCASE("a retry of what may have run") {
    Node.finishSend(First.m_Attempt, SendResult::Broken);
    CHECK(Node.refusal() == BadGateway);
  }
  CHECK(Node.sentNothing());
}

TEST_CASE("A forwarded request is sent by the same configuration only") {
  AccessFixture Node(RevocationTime);
  Node.startKeyed({"a", "b"});
  Node.prove();
  gateway::RelayRequest Forwarded = Node.request("/again/", nullptr);
  Forwarded.m_Forwarded = gateway::ForwardingTerms{2, 2, std::nullopt, "lab"};
  SUBCASE("the same") {
    Node.receive(Forwarded);
    const gateway::SendRequest First = Node.sent();
    CHECK(First.m_Organisation == "lab");
    CHECK(First.m_Priority == 0);
    Node.setKeys(3, {"key-1"});
    Node.finishSend(First.m_Attempt, SendResult::NotRun, ServiceUnavailable);
    CHECK(Node.refusal() == ServiceUnavailable);
  }
  SUBCASE("an organisation that is not known") {
    Forwarded.m_Forwarded->m_Organisation = "other";
    Node.receive(Forwarded);
    CHECK(Node.refusal() == ServiceUnavailable);
  }
  SUBCASE("a node that needs no keys") {
    Forwarded.m_Forwarded->m_Organisation.reset();
    Node.receive(Forwarded);
    CHECK(Node.refusal() == ServiceUnavailable);
  }
  SUBCASE("without a proof of its own") {
    Node.advance(RevocationTime);
    Node.receive(Forwarded);
    const std::vector<gateway::RejectRequest> Rejected =
        Node.take<gateway::RejectRequest>();
    REQUIRE(Rejected.size() == 1);
    CHECK(Rejected[0].m_Status == ServiceUnavailable);
    // The first node decides whether another one is asked.
    CHECK_FALSE(Rejected[0].m_RetryAfter);
  }
  CHECK(Node.sentNothing());
}

TEST_CASE("Log lines name the organisation") {
  AccessFixture Node;
  Node.startKeyed({"a"});
  Node.take<gateway::RelayLogEntry>();
  Node.ask("/again/", "key-2");
  const std::vector<gateway::RelayLogEntry> Lines =
      Node.take<gateway::RelayLogEntry>();
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0].m_Organisation == "mill");
}

} // namespace bronzepass::unit_tests
