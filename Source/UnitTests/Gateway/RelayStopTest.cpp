#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::AbortAnswer;
using gateway::CancelSend;
using gateway::RejectRequest;
using gateway::SendRequest;
using gateway::SendResult;

constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// A node that begins to stop 6 s before its end; requests have 10 s.
class StopFixture : public RelayFixture {
public:
  StopFixture() { start({"a", "b"}); }

  void beginStop() { m_Core.beginStop(m_Now + 6s, m_Now, m_Out); }
};

} // namespace

// Guards against sent requests that end with the process, without an answer.
TEST_CASE("requests that are in flight when a stop ends get a final answer") {
  for (const char *const Path :
       {"/once/x", "/again/x", "/stream/x", "/resume/x"}) {
    for (const bool IsSentBefore : {false, true}) {
      CAPTURE(Path);
      CAPTURE(IsSentBefore);
      StopFixture Relay;
      if (!IsSentBefore)
        Relay.beginStop();
      Relay.ask(Path);
      if (IsSentBefore)
        Relay.beginStop();
      REQUIRE(Relay.take<SendRequest>().size() == 1);
      Relay.advance(5900ms);
      CHECK(Relay.take<RejectRequest>().empty());
      Relay.advance(100ms);
      const std::vector<RejectRequest> Rejected = Relay.take<RejectRequest>();
      REQUIRE(Rejected.size() == 1);
      CHECK(Rejected.front().m_Status == GatewayTimeout);
      CHECK(Relay.take<CancelSend>().size() == 1);
      CHECK(Relay.m_Core.activeRequestCount() == 0);
    }
  }
}

// Guards against streams that end with the process, without a line.
TEST_CASE("a stream that runs when a stop ends is cut and logged") {
  for (const char *const Path : {"/stream/x", "/resume/x"}) {
    CAPTURE(Path);
    StopFixture Relay;
    const model::RequestId Stream = Relay.ask(Path);
    const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
    Relay.m_Core.onAnswerChunk(Sent.front().m_Attempt, Relay.m_Now);
    Relay.m_Core.onAnswerForwarded(Stream, Relay.m_Now);
    Relay.beginStop();
    Relay.advance(5900ms);
    CHECK(Relay.take<AbortAnswer>().empty());
    Relay.take<gateway::RelayLogEntry>();
    Relay.advance(100ms);
    CHECK(Relay.take<AbortAnswer>().size() == 1);
    const auto Lines = Relay.take<gateway::RelayLogEntry>();
    REQUIRE(Lines.size() == 1);
    CHECK(Lines.front().m_Action == "cut");
    CHECK(Lines.front().m_Reason == "the time of this node's stop is up");
  }
}

// Guards against requests that are taken late in a stop and cut at its end.
TEST_CASE("a request whose answer is expected after the end of the stop is "
          "refused at once") {
  for (const char *const Path :
       {"/once/x", "/again/x", "/stream/x", "/resume/x"}) {
    CAPTURE(Path);
    StopFixture Relay;
    Relay.beginStop();
    // Answers take 500 ms until some were measured.
    Relay.advance(4900ms);
    Relay.ask(Path);
    CHECK(Relay.take<SendRequest>().size() == 1);
    Relay.advance(200ms);
    Relay.ask(Path);
    CHECK(Relay.take<SendRequest>().empty());
    const std::vector<RejectRequest> Rejected = Relay.take<RejectRequest>();
    REQUIRE(Rejected.size() == 1);
    CHECK(Rejected.front().m_Status == ServiceUnavailable);
    REQUIRE(Rejected.front().m_RetryAfter);
    CHECK(*Rejected.front().m_RetryAfter < 200ms);
  }
}

// Guards against engines that are given time beyond the end of a stop.
TEST_CASE("engines are told no more time than a stop leaves") {
  StopFixture Relay;
  Relay.beginStop();
  Relay.advance(2s);
  Relay.ask("/once/x");
  const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().m_Remaining == 4s);
}

// Guards against sending a request once more late in a stop.
TEST_CASE("a request that broke off late in a stop is not sent again") {
  StopFixture Relay;
  Relay.ask("/again/x");
  const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
  Relay.beginStop();
  Relay.advance(5500ms);
  Relay.finishSend(Sent.front().m_Attempt, SendResult::Broken, 0);
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<RejectRequest>().size() == 1);
}

// Guards against giving up a request that broke off while a stop has time left.
TEST_CASE("a request that broke off in a stop is sent again while its answer "
          "is expected in time") {
  StopFixture Relay;
  Relay.ask("/again/x");
  const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
  Relay.beginStop();
  Relay.advance(5300ms);
  Relay.finishSend(Sent.front().m_Attempt, SendResult::Broken, 0);
  CHECK(Relay.take<SendRequest>().size() == 1);
  CHECK(Relay.take<RejectRequest>().empty());
}

// Guards against a request that waits for an adapter until the process ends.
TEST_CASE("requests that wait are refused as not run while a stop leaves time "
          "to tell") {
  gateway::RelaySettings Settings;
  Settings.m_MaxAdapterWait = 20s;
  RelayFixture Relay(1, Settings);
  Relay.start({"a"});
  Relay.ask("/again/x", "m", "a2");
  CHECK(Relay.take<SendRequest>().empty());
  Relay.m_Core.beginStop(Relay.m_Now + 6s, Relay.m_Now, Relay.m_Out);
  CHECK(Relay.take<RejectRequest>().empty());
  Relay.advance(5100ms);
  const std::vector<RejectRequest> Rejected = Relay.take<RejectRequest>();
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected.front().m_Status == ServiceUnavailable);
  CHECK(Relay.m_Core.activeRequestCount() == 0);
}

// Guards against requests that end with the process because the loop was busy
// when the stop ended.
TEST_CASE("requests get a final answer at the end of the process though no "
          "tick came since the end of the stop") {
  StopFixture Relay;
  Relay.ask("/once/x");
  Relay.beginStop();
  Relay.take<gateway::RelayLogEntry>();
  Relay.m_Now += 6200ms;
  Relay.m_Core.onProcessEnd(Relay.m_Now, Relay.m_Out);
  const std::vector<RejectRequest> Rejected = Relay.take<RejectRequest>();
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected.front().m_Status == GatewayTimeout);
  const auto Lines = Relay.take<gateway::RelayLogEntry>();
  REQUIRE(Lines.size() == 1);
  CHECK(Lines.front().m_Action == "refuse");
}

// Guards against a request that is gone and cut, too, and a run that ends
// without a line.
TEST_CASE("a run whose caller has left ends with a line of its own") {
  for (const bool EndsWithProcess : {false, true}) {
    CAPTURE(EndsWithProcess);
    StopFixture Relay;
    Relay.m_Core.onCallerDisconnected(Relay.ask("/once/x"), Relay.m_Now,
                                      Relay.m_Out);
    Relay.beginStop();
    Relay.take<gateway::RelayLogEntry>();
    if (EndsWithProcess)
      Relay.m_Core.onProcessEnd(Relay.m_Now, Relay.m_Out);
    else
      Relay.advance(6s);
    const auto Lines = Relay.take<gateway::RelayLogEntry>();
    REQUIRE(Lines.size() == 1);
    CHECK(Lines.front().m_Action == "end");
  }
}

} // namespace bronzepass::unit_tests
