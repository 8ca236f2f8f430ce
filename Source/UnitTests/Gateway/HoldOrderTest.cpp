#include "UnitTests/Gateway/RelayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

using namespace std::chrono_literals;
using gateway::RejectRequest;
using gateway::SendRequest;

namespace {

/// A RelayCore whose highest rank is patient, with an urgent and a queued route
/// of one lower rank, and engines of four slots.
class PatientRankFixture : public RelayFixture {
public:
  PatientRankFixture() : RelayFixture(1, settings()) {
    gateway::GatewayConfig Config = config();
    Config.m_Routes = {streamRoute("/digest/", 0, 2s, 3s),
                       streamRoute("/chat/", 1, 500ms, 12s),
                       streamRoute("/queued/", 1, 6s, 20s)};
    Config.m_Services[0].m_Engine->m_Models.push_back(
        {"other", 10, std::chrono::seconds(3), 4, 1});
    m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  }

  static gateway::RelaySettings settings() {
    gateway::RelaySettings Settings;
    Settings.m_OrdersBySlack = true;
    return Settings;
  }
  static gateway::RouteSpec streamRoute(const char *Prefix, uint32_t Priority,
                                        model::Duration Target,
                                        model::Duration Timeout) {
    gateway::RouteSpec Route = route(Prefix);
    Route.m_Stream = true;
    Route.m_Priority = Priority;
    Route.m_LatencyTarget = Target;
    Route.m_EventGapTarget = 300ms;
    Route.m_Timeout = Timeout;
    return Route;
  }
  static gateway::EndpointEntry engine(const char *Id, const char *Model,
                                       uint32_t Slots = 4) {
    gateway::EndpointEntry Entry = endpoint(Id);
    Entry.m_Slots = Slots;
    Entry.m_Models = {{Model, {}}};
    return Entry;
  }

  model::RequestId askFor(const char *Path, const char *Model = "m",
                          uint32_t PromptTokens = 0) {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_Host = "h";
    Request.m_Path = Path;
    Request.m_BeganAt = m_Now;
    Request.m_ModelRef = {Model, ""};
    Request.m_PromptTokens = PromptTokens;
    Request.m_Fingerprint = m_Last;
    m_Core.onRequestReceived(Request, m_Now, m_Out);
    return {m_Last};
  }
  /// Takes all places of the engine, and those that may wait at it.
  std::vector<SendRequest> fill(const char *Path, const char *Model = "m") {
    std::vector<SendRequest> Sent;
    for (bool IsFull = false; !IsFull;) {
      askFor(Path, Model);
      const std::vector<SendRequest> Next = take<SendRequest>();
      IsFull = Next.empty();
      Sent.insert(Sent.end(), Next.begin(), Next.end());
    }
    m_Core.onCallerDisconnected({m_Last}, m_Now, m_Out);
    return Sent;
  }
  void finish(const SendRequest &Send) {
    m_Core.onAnswerChunk(Send.m_Attempt, m_Now);
    finishSend(Send.m_Attempt, gateway::SendResult::Completed);
  }
  /// Ends a send and returns the requests that then go.
  std::vector<model::RequestId> goAfter(const SendRequest &Ended) {
    finish(Ended);
    advance(1ms);
    std::vector<model::RequestId> Numbers;
    for (const SendRequest &Each : take<SendRequest>())
      Numbers.push_back(Each.m_Request);
    return Numbers;
  }
};

} // namespace

TEST_CASE("short room with patient ranks above urgent ones: the urgent ones go "
          "first") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  const std::vector<SendRequest> Running = Relay.fill("/chat/");
  REQUIRE(Running.size() >= 4);
  Relay.askFor("/digest/");
  const model::RequestId Chat = Relay.askFor("/chat/");
  CHECK(Relay.take<SendRequest>().empty());
  CHECK(Relay.take<RejectRequest>().empty());
  const std::vector<model::RequestId> Gone = Relay.goAfter(Running[0]);
  REQUIRE(Gone.size() == 1);
  CHECK(Gone[0] == Chat);
}

TEST_CASE("queued requests of the same rank beside urgent ones: the urgent one "
          "that comes later goes first") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  const std::vector<SendRequest> Running = Relay.fill("/chat/");
  const model::RequestId Queued = Relay.askFor("/queued/");
  const model::RequestId Chat = Relay.askFor("/chat/");
  const std::vector<model::RequestId> First = Relay.goAfter(Running[0]);
  REQUIRE(First.size() == 1);
  CHECK(First[0] == Chat);
  const std::vector<model::RequestId> Second = Relay.goAfter(Running[1]);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0] == Queued);
}

TEST_CASE("short room: a patient request isn't overtaken beyond its own time") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  std::vector<SendRequest> Running = Relay.fill("/chat/");
  const model::RequestId Digest = Relay.askFor("/digest/");
  const model::TimePoint AskedAt = Relay.m_Now;
  bool IsSent = false;
  // Urgent ones at twice what the engine's four slots serve.
  for (int I = 0; I < 40 && !IsSent; ++I) {
    Relay.askFor("/chat/");
    Relay.askFor("/chat/");
    Relay.advance(100ms);
    if (!Running.empty()) {
      Relay.finish(Running.front());
      Running.erase(Running.begin());
    }
    Relay.advance(1ms);
    for (const SendRequest &Each : Relay.take<SendRequest>()) {
      IsSent = IsSent || Each.m_Request == Digest;
      Running.push_back(Each);
    }
  }
  CHECK(IsSent);
  CHECK(Relay.m_Now - AskedAt <= 2s);
}

TEST_CASE("room free again while late requests wait: they are served late") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  const std::vector<SendRequest> Running = Relay.fill("/chat/");
  const model::RequestId Chat = Relay.askFor("/chat/");
  for (int I = 0; I < 40; ++I)
    Relay.advance(20ms);
  CHECK(Relay.take<RejectRequest>().empty());
  for (const SendRequest &Each : Running)
    Relay.finish(Each);
  Relay.advance(20ms);
  const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].m_Request == Chat);
}

TEST_CASE("no room for seconds: a late request leaves after a part of its "
          "caller's time, with a time to come back") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  const std::vector<SendRequest> Running = Relay.fill("/chat/");
  Relay.take<RejectRequest>();
  Relay.askFor("/chat/");
  model::Duration Waited{0};
  std::vector<RejectRequest> Refused;
  while (Refused.empty() && Waited < 12s) {
    // The engine goes on with what it runs.
    for (const SendRequest &Each : Running)
      Relay.m_Core.onAnswerChunk(Each.m_Attempt, Relay.m_Now);
    Relay.advance(20ms);
    Waited += 20ms;
    Refused = Relay.take<RejectRequest>();
  }
  REQUIRE(Refused.size() == 1);
  CHECK(Waited > 500ms);
  CHECK(Waited < 5s);
  REQUIRE(Refused[0].m_RetryAfter);
  CHECK(*Refused[0].m_RetryAfter >= 150ms);
  CHECK(*Refused[0].m_RetryAfter <= (12s - Waited) / 2);
}

TEST_CASE("a request that can be served neither in time nor late is refused at "
          "once") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m")});
  Relay.fill("/chat/");
  Relay.take<RejectRequest>();
  bool IsRefused = false;
  for (int I = 0; I < 200 && !IsRefused; ++I) {
    Relay.askFor("/digest/");
    IsRefused = !Relay.take<RejectRequest>().empty();
  }
  CHECK(IsRefused);
}

TEST_CASE("a model with no room beside one with room: the requests of the one "
          "don't delay those of the other") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m"),
                      PatientRankFixture::engine("b", "other")});
  Relay.fill("/chat/");
  for (int I = 0; I < 30; ++I)
    Relay.askFor("/queued/");
  const std::vector<SendRequest> Other = Relay.fill("/chat/", "other");
  CHECK(Other.size() >= 4);
  const model::RequestId Held = Relay.askFor("/chat/", "other");
  CHECK(Relay.take<SendRequest>().empty());
  const std::vector<model::RequestId> Gone = Relay.goAfter(Other[0]);
  REQUIRE(Gone.size() == 1);
  CHECK(Gone[0] == Held);
}

TEST_CASE("many requests wait for an engine that is free again: all that it "
          "takes go") {
  PatientRankFixture Relay;
  Relay.setEndpoints({PatientRankFixture::engine("a", "m", 32)});
  const std::vector<SendRequest> Running = Relay.fill("/chat/");
  for (int I = 0; I < 30; ++I)
    Relay.askFor("/queued/");
  for (const SendRequest &Each : Running)
    Relay.finish(Each);
  Relay.advance(20ms);
  CHECK(Relay.take<SendRequest>().size() == 30);
}

} // namespace bronzepass::unit_tests
