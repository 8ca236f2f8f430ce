#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

using namespace std::chrono_literals;
using gateway::AbandonSend;
using gateway::CopyWanted;
using gateway::CutAnswer;
using gateway::PassAnswer;
using gateway::RefuseAnswer;
using gateway::SendEnd;
using gateway::SendRequest;

TEST_CASE("before the first configuration a node answers 503, never 404") {
  RelayFixture Relay;
  Relay.ask("/nowhere/");
  const std::vector<RefuseAnswer> Refused = Relay.take<RefuseAnswer>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  CHECK(Refused[0].m_RetryAfter);
}

TEST_CASE("an older configuration is not put in force") {
  RelayFixture Relay;
  Relay.configure(7);
  CHECK_FALSE(Relay.m_Core.setTable(
      std::make_shared<gateway::RouteTable>(RelayFixture::config(6))));
  CHECK(Relay.m_Core.table()->config().m_Version == 7);
}

TEST_CASE("no route is 404; nothing is sent") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/nowhere/");
  CHECK(Relay.take<RefuseAnswer>()[0].m_Status == 404);
  CHECK(Relay.take<SendRequest>().empty());
}

TEST_CASE("what must run once is not sent again after a byte has left") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/once/");
  Relay.end(Relay.take<SendRequest>()[0].m_Attempt, SendEnd::Broken, 0);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<RefuseAnswer>()[0].m_Status == 502);
}

TEST_CASE("what must run once is sent elsewhere where it did not run") {
  for (const SendEnd How :
       {SendEnd::NotSent, SendEnd::NotRun, SendEnd::Misdirected}) {
    RelayFixture Relay;
    Relay.start({"a", "b"});
    Relay.ask("/once/");
    const SendRequest First = Relay.take<SendRequest>()[0];
    Relay.end(First.m_Attempt, How, 503);
    const std::vector<SendRequest> Second = Relay.take<SendRequest>();
    REQUIRE(Second.size() == 1);
    CHECK(Second[0].m_Endpoint != First.m_Endpoint);
  }
}

TEST_CASE("a refusal says 503 only where nothing ran") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  Relay.end(Relay.take<SendRequest>()[0].m_Attempt, SendEnd::NotRun, 503);
  CHECK(Relay.take<RefuseAnswer>()[0].m_Status == 503);
}

TEST_CASE("a repeatable request is tried once more, and its failure passed on "
          "where that fails too") {
  RelayFixture Relay;
  Relay.start({"a", "b", "c"});
  Relay.ask("/again/");
  Relay.end(Relay.take<SendRequest>()[0].m_Attempt, SendEnd::Failed, 500);
  const std::vector<SendRequest> Second = Relay.take<SendRequest>();
  REQUIRE(Second.size() == 1);
  Relay.end(Second[0].m_Attempt, SendEnd::Failed, 500);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<PassAnswer>().size() == 1);
}

TEST_CASE("a caller that left has its send abandoned; what must run once is "
          "let run to its end") {
  RelayFixture Relay;
  Relay.start({"a"});
  const model::RequestId Stream = Relay.ask("/stream/");
  Relay.m_Core.callerGone(Stream, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<AbandonSend>().size() == 1);
  const model::RequestId Once = Relay.ask("/once/");
  Relay.m_Core.callerGone(Once, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<AbandonSend>().empty());
  Relay.end(Relay.take<SendRequest>().back().m_Attempt, SendEnd::Whole);
  CHECK(Relay.take<PassAnswer>().empty());
  CHECK(Relay.m_Core.live() == 0);
}

TEST_CASE("at its time's end a request is answered at once") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  Relay.pass(10s - 1ms);
  CHECK(Relay.take<RefuseAnswer>().empty());
  Relay.pass(1ms);
  CHECK(Relay.take<RefuseAnswer>()[0].m_Status == 504);
  CHECK(Relay.take<AbandonSend>().size() == 1);
}

TEST_CASE("the time left on a later send counts from the request's beginning") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/again/");
  const SendRequest First = Relay.take<SendRequest>()[0];
  CHECK(First.m_Remaining == model::Duration(10s));
  Relay.m_Now += 3s;
  Relay.end(First.m_Attempt, SendEnd::Broken, 0);
  CHECK(Relay.take<SendRequest>()[0].m_Remaining == model::Duration(7s));
}

TEST_CASE("a stream that breaks goes on elsewhere if it may, else it is cut") {
  for (const bool Resumable : {true, false}) {
    RelayFixture Relay;
    Relay.start({"a", "b"});
    const model::RequestId Request =
        Relay.ask(Resumable ? "/resume/" : "/stream/");
    const SendRequest First = Relay.take<SendRequest>()[0];
    Relay.m_Core.callerAnswered(Request);
    Relay.end(First.m_Attempt, SendEnd::Broken, 200);
    const std::vector<SendRequest> Second = Relay.take<SendRequest>();
    REQUIRE(Second.size() == (Resumable ? 1 : 0));
    if (Resumable) {
      CHECK(Second[0].m_Resume);
      CHECK(Second[0].m_Endpoint != First.m_Endpoint);
    } else {
      CHECK(Relay.take<CutAnswer>().size() == 1);
    }
  }
}

TEST_CASE("nothing is sent to an endpoint that is draining or not listed") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  gateway::EndpointEntry Leaving = RelayFixture::endpoint("a");
  Leaving.m_Draining = true;
  Relay.setEndpoints({Leaving, RelayFixture::endpoint("b")});
  for (int I = 0; I < 20; ++I)
    Relay.ask("/again/");
  for (const SendRequest &Each : Relay.take<SendRequest>())
    CHECK(Each.m_Endpoint == model::EndpointId("b"));
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>()[0].m_Endpoint == model::EndpointId("a"));
}

TEST_CASE(
    "an adapter that no engine holds is asked for and waited for; a model "
    "is refused at once") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/", "m", "a2");
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<CopyWanted>().size() == 1);
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("holder");
  Notice.m_Sequence = 1;
  Notice.m_Copies = {{model::EndpointId("a"), {"m", "a2"}, false}};
  Relay.m_Core.peerNotice(Notice, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<SendRequest>().size() == 1);
  gateway::EndpointEntry Empty = RelayFixture::endpoint("a");
  Empty.m_Models.clear();
  Relay.setEndpoints({Empty});
  Relay.pass(5s);
  Relay.ask("/stream/", "m");
  const std::vector<RefuseAnswer> Refused = Relay.take<RefuseAnswer>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  // Its load takes three seconds.
  CHECK(*Refused[0].m_RetryAfter >= model::Duration(3s));
}

TEST_CASE("names that no service declares are refused and not remembered") {
  RelayFixture Relay;
  Relay.start({"a"});
  for (int I = 0; I < 100; ++I)
    Relay.ask("/stream/", "made-up-" + std::to_string(I));
  CHECK(Relay.take<RefuseAnswer>().size() == 100);
  CHECK(Relay.m_Core.takeUses().empty());
  for (int I = 0; I < 10000; ++I)
    Relay.ask("/stream/", "m", "made-up-" + std::to_string(I));
  CHECK(Relay.m_Core.takeUses().size() <= 4096);
}

TEST_CASE("a waiting request is refused before its caller has waited long") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/", "m", "a2");
  Relay.pass(gateway::RelaySettings().m_AdapterWait);
  CHECK(Relay.take<RefuseAnswer>()[0].m_Status == 503);
}

TEST_CASE("an endpoint that refuses connections is left alone, then tried") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/again/");
  Relay.end(Relay.take<SendRequest>()[0].m_Attempt, SendEnd::NotSent);
  Relay.take<RefuseAnswer>();
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().empty());
  Relay.pass(gateway::RelaySettings().m_EjectFor);
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().size() == 1);
}

TEST_CASE("what peers have under way counts like this node's own") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("peer");
  Notice.m_Sequence = 1;
  Notice.m_Loads = {{model::EndpointId("a"), 4}};
  Relay.m_Core.peerNotice(Notice, Relay.m_Now, Relay.m_Out);
  for (int I = 0; I < 3; ++I)
    Relay.ask("/again/");
  for (const SendRequest &Each : Relay.take<SendRequest>())
    CHECK(Each.m_Endpoint == model::EndpointId("b"));
  // An old notice says nothing any more.
  Relay.pass(gateway::RelaySettings().m_PeerFreshness);
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>()[0].m_Endpoint == model::EndpointId("a"));
}

TEST_CASE("a declared service without any endpoint refuses, with a time to "
          "come back") {
  RelayFixture Relay;
  gateway::GatewayConfig Config = RelayFixture::config();
  gateway::ServiceSpec Other = Config.m_Services[0];
  Other.m_Name = "t";
  Config.m_Services.push_back(Other);
  gateway::RouteSpec Route = RelayFixture::route("/other/");
  Route.m_Services = {{"t", 1}};
  Config.m_Routes.push_back(Route);
  Relay.m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  Relay.ask("/other/", "m");
  Relay.ask("/other/");
  const std::vector<RefuseAnswer> Refused = Relay.take<RefuseAnswer>();
  REQUIRE(Refused.size() == 2);
  for (const RefuseAnswer &Each : Refused) {
    CHECK(Each.m_Status == 503);
    CHECK(Each.m_RetryAfter);
  }
}

TEST_CASE("an endpoint that was slow is asked again once that is long ago") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  const model::EndpointId Slow("a");
  for (int I = 0; I < 30; ++I) {
    Relay.ask("/once/");
    const SendRequest Sent = Relay.take<SendRequest>()[0];
    Relay.pass(Sent.m_Endpoint == Slow ? 400ms : 10ms);
    Relay.m_Core.pieceCame(Sent.m_Attempt, Relay.m_Now);
    Relay.end(Sent.m_Attempt, SendEnd::Whole);
  }
  // Of two at a time, none goes to it even beside one that is at work.
  const auto AskTwo = [&] {
    Relay.ask("/once/");
    Relay.ask("/once/");
    uint32_t ToSlow = 0;
    for (const SendRequest &Sent : Relay.take<SendRequest>()) {
      ToSlow += Sent.m_Endpoint == Slow ? 1 : 0;
      Relay.end(Sent.m_Attempt, SendEnd::Whole);
    }
    return ToSlow;
  };
  CHECK(AskTwo() == 0);
  Relay.pass(10 * gateway::RelaySettings().m_SlownessHalfLife);
  CHECK(AskTwo() == 1);
}

TEST_CASE("the end of a stream tells its first piece and its longest pause") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/");
  const SendRequest Sent = Relay.take<SendRequest>()[0];
  for (const model::Duration Pause : {30ms, 40ms, 300ms, 50ms}) {
    Relay.pass(Pause);
    Relay.m_Core.pieceCame(Sent.m_Attempt, Relay.m_Now);
  }
  Relay.take<gateway::RelayNote>();
  Relay.end(Sent.m_Attempt, SendEnd::Whole);
  const gateway::RelayNote Note = Relay.take<gateway::RelayNote>()[0];
  REQUIRE(Note.m_Pace);
  CHECK(*Note.m_Pace == gateway::AnswerPace{30ms, 300ms, 370ms});
}

TEST_CASE("an endpoint gets no more connections than it accepts from all "
          "nodes") {
  RelayFixture Relay;
  gateway::GatewayConfig Config = RelayFixture::config();
  Config.m_Services[0].m_MaxConnections = 5;
  Relay.m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("peer");
  Notice.m_Sequence = 1;
  Notice.m_Loads = {{model::EndpointId("a"), 3}};
  Relay.m_Core.peerNotice(Notice, Relay.m_Now, Relay.m_Out);
  for (int I = 0; I < 3; ++I)
    Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().size() == 2);
  const std::vector<RefuseAnswer> Refused = Relay.take<RefuseAnswer>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
}

} // namespace bronzepass::unit_tests
