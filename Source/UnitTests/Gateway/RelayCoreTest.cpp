#include "UnitTests/Gateway/RelayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

using namespace std::chrono_literals;
using gateway::AbortAnswer;
using gateway::CancelSend;
using gateway::CopyRequest;
using gateway::ForwardAnswer;
using gateway::RejectRequest;
using gateway::SendRequest;
using gateway::SendResult;

namespace {

/// The service answers in \p AnswerTime.
void measureAnswers(RelayFixture &Relay, model::Duration AnswerTime = 60ms) {
  constexpr int Answers = 50;
  for (int I = 0; I < Answers; ++I) {
    Relay.ask("/once/");
    const model::AttemptId Attempt = Relay.take<SendRequest>().back().m_Attempt;
    Relay.advance(AnswerTime);
    Relay.m_Core.onAnswerChunk(Attempt, Relay.m_Now);
    Relay.finishSend(Attempt, SendResult::Completed);
  }
}

} // namespace

TEST_CASE("before the first configuration a node answers 503, never 404") {
  RelayFixture Relay;
  Relay.ask("/nowhere/");
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  CHECK(Refused[0].m_RetryAfter);
}

TEST_CASE("a refusal before the start is complete names what is missing") {
  RelayFixture Relay;
  Relay.ask("/once/");
  CHECK(Relay.take<RejectRequest>()[0].m_Reason ==
        "no configuration is known yet");
  Relay.configure();
  Relay.ask("/once/");
  CHECK(Relay.take<RejectRequest>()[0].m_Reason == "no endpoint is known yet");
}

TEST_CASE("an older configuration is ignored") {
  RelayFixture Relay;
  Relay.configure(7);
  CHECK_FALSE(Relay.m_Core.setTable(
      std::make_shared<gateway::RouteTable>(RelayFixture::config(6))));
  CHECK(Relay.m_Core.table()->config().m_Version == 7);
}

TEST_CASE("a request without a route is answered 404 and not sent") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/nowhere/");
  CHECK(Relay.take<RejectRequest>()[0].m_Status == 404);
  CHECK(Relay.take<SendRequest>().empty());
}

TEST_CASE("a non-repeatable request is not sent again after a byte was sent") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/once/");
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::Broken,
                   0);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<RejectRequest>()[0].m_Status == 502);
}

TEST_CASE("a non-repeatable request is sent to another endpoint if it did not "
          "run") {
  for (const SendResult Result :
       {SendResult::NotSent, SendResult::NotRun, SendResult::Misdirected}) {
    RelayFixture Relay;
    Relay.start({"a", "b"});
    Relay.ask("/once/");
    const SendRequest First = Relay.take<SendRequest>()[0];
    Relay.finishSend(First.m_Attempt, Result, 503);
    const std::vector<SendRequest> Second = Relay.take<SendRequest>();
    REQUIRE(Second.size() == 1);
    CHECK(Second[0].m_Endpoint != First.m_Endpoint);
  }
}

TEST_CASE("a request that did not run is refused with 503") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::NotRun,
                   503);
  CHECK(Relay.take<RejectRequest>()[0].m_Status == 503);
}

TEST_CASE("a repeatable request is retried once, and its failure forwarded if "
          "the retry fails too") {
  RelayFixture Relay;
  Relay.start({"a", "b", "c"});
  Relay.ask("/again/");
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::Failed,
                   500);
  const std::vector<SendRequest> Second = Relay.take<SendRequest>();
  REQUIRE(Second.size() == 1);
  Relay.finishSend(Second[0].m_Attempt, SendResult::Failed, 500);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<ForwardAnswer>().size() == 1);
}

// Guards against a send that counts against an endpoint which never got it, and
// against a quota that is spent for nothing.
TEST_CASE("a send that is taken back ends its request and leaves its endpoint "
          "usable") {
  RelayFixture Relay;
  Relay.start({"a"});
  for (const bool HasLeftBefore : {false, true}) {
    CAPTURE(HasLeftBefore);
    const model::RequestId Once = Relay.ask("/once/");
    const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
    REQUIRE(Sent.size() == 1);
    if (HasLeftBefore) {
      Relay.m_Core.onCallerDisconnected(Once, Relay.m_Now, Relay.m_Out);
      CHECK(Relay.take<gateway::WithdrawSend>().size() == 1);
    }
    Relay.take<gateway::RelayLogEntry>();
    Relay.m_Core.onSendWithdrawn(Sent[0].m_Attempt, false, Relay.m_Now,
                                 Relay.m_Out);
    const std::vector<gateway::RelayLogEntry> Lines =
        Relay.take<gateway::RelayLogEntry>();
    REQUIRE(Lines.size() == 1);
    CHECK(Lines[0].m_Action == (HasLeftBefore ? "end" : "gone"));
    CHECK(Relay.m_Core.activeRequestCount() == 0);
  }
  Relay.ask("/once/");
  CHECK(Relay.take<SendRequest>().size() == 1);
}

// Guards against requests that an endpoint reads when it goes on, long after
// their callers have left.
TEST_CASE("a request that was left to finish is taken back from an endpoint "
          "that stands still") {
  for (const bool IsHeard : {false, true}) {
    CAPTURE(IsHeard);
    RelayFixture Relay;
    Relay.start({"a"});
    measureAnswers(Relay);
    const model::RequestId Once = Relay.ask("/once/");
    const model::RequestId Beside = Relay.ask("/stream/");
    CHECK(Beside != Once);
    const model::AttemptId Other = Relay.take<SendRequest>().back().m_Attempt;
    Relay.m_Core.onCallerDisconnected(Once, Relay.m_Now, Relay.m_Out);
    for (int I = 0; I < 25; ++I) {
      Relay.advance(20ms);
      if (IsHeard)
        Relay.m_Core.onAnswerChunk(Other, Relay.m_Now);
    }
    CHECK(Relay.take<CancelSend>().size() == (IsHeard ? 0 : 1));
  }
}

// Guards against the same where a service's answers take longer than 100 ms.
TEST_CASE("a request is taken back half a second after its caller has left at "
          "the latest, while silence of that length is no usual answer") {
  for (const model::Duration AnswerTime : {20ms, 60ms, 130ms, 190ms, 300ms})
    for (const bool IsHeard : {false, true}) {
      CAPTURE(AnswerTime.count());
      CAPTURE(IsHeard);
      RelayFixture Relay;
      Relay.start({"a"});
      measureAnswers(Relay, AnswerTime);
      const model::RequestId Once = Relay.ask("/once/");
      Relay.ask("/stream/");
      const model::AttemptId Other = Relay.take<SendRequest>().back().m_Attempt;
      Relay.m_Core.onCallerDisconnected(Once, Relay.m_Now, Relay.m_Out);
      for (int I = 0; I < 25; ++I) {
        Relay.advance(20ms);
        if (IsHeard)
          Relay.m_Core.onAnswerChunk(Other, Relay.m_Now);
      }
      const bool IsTakenBack = !IsHeard && AnswerTime < 200ms;
      CHECK(Relay.take<CancelSend>().size() == (IsTakenBack ? 1 : 0));
    }
}

// Guards against links that count as lost, and requests that are taken back,
// since the node itself stood still while the answers arrived.
TEST_CASE("endpoints do not count as silent for a time in which the node stood "
          "still") {
  for (const bool Stalls : {true, false}) {
    CAPTURE(Stalls);
    RelayFixture Relay;
    Relay.start({"a", "b", "c"});
    measureAnswers(Relay);
    Relay.take<SendRequest>();
    const model::RequestId Left = Relay.ask("/once/");
    for (int I = 0; I < 5; ++I)
      Relay.ask("/stream/");
    Relay.m_Core.onCallerDisconnected(Left, Relay.m_Now, Relay.m_Out);
    const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
    Relay.advance(20ms);
    for (int I = 0; I < (Stalls ? 1 : 50); ++I)
      Relay.advance(Stalls ? 1000ms : 20ms);
    // What had arrived meanwhile is read in the next turn.
    for (const SendRequest &Each : Sent)
      Relay.m_Core.onAnswerChunk(Each.m_Attempt, Relay.m_Now);
    Relay.advance(20ms);
    const std::vector<gateway::LinksChange> Changes =
        Relay.take<gateway::LinksChange>();
    const bool WereLost =
        std::any_of(Changes.begin(), Changes.end(),
                    [](const auto &Each) { return Each.m_IsLost; });
    CHECK(WereLost == !Stalls);
    CHECK(Relay.take<CancelSend>().size() == (Stalls ? 0 : 1));
  }
}

TEST_CASE(
    "the send of a disconnected caller is cancelled, but a non-repeatable "
    "request is left to finish") {
  RelayFixture Relay;
  Relay.start({"a"});
  const model::RequestId Stream = Relay.ask("/stream/");
  Relay.m_Core.onCallerDisconnected(Stream, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<CancelSend>().size() == 1);
  const model::RequestId Once = Relay.ask("/once/");
  Relay.m_Core.onCallerDisconnected(Once, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<CancelSend>().empty());
  Relay.finishSend(Relay.take<SendRequest>().back().m_Attempt,
                   SendResult::Completed);
  CHECK(Relay.take<ForwardAnswer>().empty());
  CHECK(Relay.m_Core.activeRequestCount() == 0);
}

TEST_CASE("lines after a send that broke off name the content of the request") {
  RelayFixture Relay;
  Relay.start({"a"});
  gateway::RelayRequest Request;
  Request.m_Number = {1};
  Request.m_Host = "h";
  Request.m_Path = "/stream/";
  Request.m_BeganAt = Relay.m_Now;
  Request.m_ModelRef = {"m", ""};
  Request.m_Prompt = {{7, 100}, {8, 50}};
  Request.m_Fingerprint = 9;
  Relay.m_Core.onRequestReceived(Request, Relay.m_Now, Relay.m_Out);
  CHECK_FALSE(Relay.take<gateway::RelayLogEntry>().back().m_Content);
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::Broken,
                   0);
  CHECK(Relay.take<gateway::RelayLogEntry>().back().m_Content ==
        gateway::RelayLogEntry::Content{9, "/stream/", {7, 8}});
}

// Guards against choosing the endpoint that turns most requests away, because
// it has the least load.
TEST_CASE("fewer than one in ten sends are turned away where one of two "
          "endpoints turns nine in ten away") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  int Sends = 0;
  int Rejected = 0;
  std::vector<SendRequest> Running;
  for (int I = 0; I < 1000; ++I) {
    Relay.ask("/once/");
    for (std::vector<SendRequest> New = Relay.take<SendRequest>(); !New.empty();
         New = Relay.take<SendRequest>())
      for (const SendRequest &Each : New) {
        ++Sends;
        const bool Rejects = Each.m_Endpoint.str() == "a" && I % 10 != 0;
        Rejected += Rejects ? 1 : 0;
        if (Rejects)
          Relay.finishSend(Each.m_Attempt, SendResult::NotRun, 503);
        else
          Running.push_back(Each);
      }
    // The sound endpoint is half full all the time.
    if (Running.size() > 2) {
      Relay.finishSend(Running.front().m_Attempt, SendResult::Completed);
      Running.erase(Running.begin());
    }
    Relay.advance(20ms);
  }
  CHECK(Rejected * 10 < Sends);
}

// Guards against joining a part of one answer with another answer.
TEST_CASE("a repeatable request whose answer broke off while it was forwarded "
          "is not sent again") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  const model::RequestId Request = Relay.ask("/again/");
  Relay.m_Core.onAnswerForwarded(Request, Relay.m_Now);
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::Broken);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<AbortAnswer>().size() == 1);
}

TEST_CASE("a request is refused as soon as its deadline passes") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  Relay.advance(10s - 1ms);
  CHECK(Relay.take<RejectRequest>().empty());
  Relay.advance(1ms);
  CHECK(Relay.take<RejectRequest>()[0].m_Status == 504);
  CHECK(Relay.take<CancelSend>().size() == 1);
}

TEST_CASE("the time left on a retry counts from the request's start") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/again/");
  const SendRequest First = Relay.take<SendRequest>()[0];
  CHECK(First.m_Remaining == model::Duration(10s));
  Relay.m_Now += 3s;
  Relay.finishSend(First.m_Attempt, SendResult::Broken, 0);
  CHECK(Relay.take<SendRequest>()[0].m_Remaining == model::Duration(7s));
}

TEST_CASE("a broken stream is resumed at another endpoint if its route allows, "
          "otherwise aborted") {
  for (const bool Resumable : {true, false}) {
    RelayFixture Relay;
    Relay.start({"a", "b"});
    const model::RequestId Request =
        Relay.ask(Resumable ? "/resume/" : "/stream/");
    const SendRequest First = Relay.take<SendRequest>()[0];
    Relay.m_Core.onAnswerForwarded(Request, Relay.m_Now);
    Relay.finishSend(First.m_Attempt, SendResult::Broken, 200);
    const std::vector<SendRequest> Second = Relay.take<SendRequest>();
    REQUIRE(Second.size() == (Resumable ? 1 : 0));
    if (Resumable) {
      CHECK(Second[0].m_Resume);
      CHECK(Second[0].m_Endpoint != First.m_Endpoint);
    } else {
      CHECK(Relay.take<AbortAnswer>().size() == 1);
    }
  }
}

TEST_CASE("nothing is sent to an endpoint that is draining or not registered") {
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
    "a request waits for an adapter that no engine holds; one for a model "
    "that no engine holds is refused at once") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/", "m", "a2");
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<CopyRequest>().size() == 1);
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("holder");
  Notice.m_Sequence = 1;
  Notice.m_CopyChanges = {{model::EndpointId("a"), {"m", "a2"}, false}};
  Relay.m_Core.onPeerNotice(Notice, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<SendRequest>().size() == 1);
  gateway::EndpointEntry Empty = RelayFixture::endpoint("a");
  Empty.m_Models.clear();
  Relay.setEndpoints({Empty});
  Relay.advance(5s);
  Relay.ask("/stream/", "m");
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
  // Loading the model takes three seconds.
  CHECK(*Refused[0].m_RetryAfter >= model::Duration(3s));
}

TEST_CASE("undeclared model names are refused and not counted") {
  RelayFixture Relay;
  Relay.start({"a"});
  for (int I = 0; I < 100; ++I)
    Relay.ask("/stream/", "made-up-" + std::to_string(I));
  CHECK(Relay.take<RejectRequest>().size() == 100);
  CHECK(Relay.m_Core.takeUsageCounters().empty());
  for (int I = 0; I < 10000; ++I)
    Relay.ask("/stream/", "m", "made-up-" + std::to_string(I));
  CHECK(Relay.m_Core.takeUsageCounters().size() <= 4096);
}

TEST_CASE("a request that waits for an adapter is refused after the maximum "
          "wait") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/", "m", "a2");
  Relay.advance(gateway::RelaySettings().m_MaxAdapterWait);
  CHECK(Relay.take<RejectRequest>()[0].m_Status == 503);
}

TEST_CASE("an endpoint that refuses connections is ejected, then tried again") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/again/");
  Relay.finishSend(Relay.take<SendRequest>()[0].m_Attempt, SendResult::NotSent);
  Relay.take<RejectRequest>();
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().empty());
  Relay.advance(gateway::RelaySettings().m_BaseEjectionTime);
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().size() == 1);
}

TEST_CASE("the load from peers counts like this node's own") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("peer");
  Notice.m_Sequence = 1;
  Notice.m_Loads = {{model::EndpointId("a"), 4}};
  Relay.m_Core.onPeerNotice(Notice, Relay.m_Now, Relay.m_Out);
  for (int I = 0; I < 3; ++I)
    Relay.ask("/again/");
  for (const SendRequest &Each : Relay.take<SendRequest>())
    CHECK(Each.m_Endpoint == model::EndpointId("b"));
  // An expired notice no longer counts.
  Relay.advance(gateway::RelaySettings().m_MaxPeerLoadAge);
  Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>()[0].m_Endpoint == model::EndpointId("a"));
}

TEST_CASE("requests for a service without endpoints are refused with a retry "
          "time") {
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
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 2);
  for (const RejectRequest &Each : Refused) {
    CHECK(Each.m_Status == 503);
    CHECK(Each.m_RetryAfter);
  }
}

TEST_CASE("a slow endpoint is tried again after its slowness has decayed") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  const model::EndpointId Slow("a");
  for (int I = 0; I < 30; ++I) {
    Relay.ask("/once/");
    const SendRequest Sent = Relay.take<SendRequest>()[0];
    Relay.advance(Sent.m_Endpoint == Slow ? 400ms : 10ms);
    Relay.m_Core.onAnswerChunk(Sent.m_Attempt, Relay.m_Now);
    Relay.finishSend(Sent.m_Attempt, SendResult::Completed);
  }
  // Of two concurrent requests, neither goes to the slow endpoint, although the
  // other one is busy.
  const auto SendTwo = [&] {
    Relay.ask("/once/");
    Relay.ask("/once/");
    uint32_t SentToSlow = 0;
    for (const SendRequest &Sent : Relay.take<SendRequest>()) {
      SentToSlow += Sent.m_Endpoint == Slow ? 1 : 0;
      Relay.finishSend(Sent.m_Attempt, SendResult::Completed);
    }
    return SentToSlow;
  };
  CHECK(SendTwo() == 0);
  Relay.advance(10 * gateway::RelaySettings().m_SlownessHalfLife);
  CHECK(SendTwo() == 1);
}

TEST_CASE("the last log entry of a stream has the time to its first chunk and "
          "its longest pause") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/stream/");
  const SendRequest Sent = Relay.take<SendRequest>()[0];
  for (const model::Duration Pause : {30ms, 40ms, 300ms, 50ms}) {
    Relay.advance(Pause);
    Relay.m_Core.onAnswerChunk(Sent.m_Attempt, Relay.m_Now);
  }
  Relay.take<gateway::RelayLogEntry>();
  Relay.finishSend(Sent.m_Attempt, SendResult::Completed);
  const gateway::RelayLogEntry Note = Relay.take<gateway::RelayLogEntry>()[0];
  REQUIRE(Note.m_Timing);
  CHECK(*Note.m_Timing == gateway::AnswerTiming{30ms, 300ms, 370ms});
}

TEST_CASE("an endpoint gets no more connections than it accepts from all nodes "
          "together") {
  RelayFixture Relay;
  gateway::GatewayConfig Config = RelayFixture::config();
  Config.m_Services[0].m_MaxConnections = 5;
  Relay.m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("peer");
  Notice.m_Sequence = 1;
  Notice.m_Loads = {{model::EndpointId("a"), 3}};
  Relay.m_Core.onPeerNotice(Notice, Relay.m_Now, Relay.m_Out);
  for (int I = 0; I < 3; ++I)
    Relay.ask("/again/");
  CHECK(Relay.take<SendRequest>().size() == 2);
  const std::vector<RejectRequest> Refused = Relay.take<RejectRequest>();
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].m_Status == 503);
}

} // namespace bronzepass::unit_tests
