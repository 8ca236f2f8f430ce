#include "UnitTests/Gateway/RelayFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr uint32_t Slots = 12;
constexpr size_t Engines = 12;
constexpr model::Duration AnswerTime = 400ms;
/// Requests a second that all engines can run.
constexpr double Capacity = Engines * Slots / 0.4;

/// Callers ask all nodes for a share of what the engines can run.
class PacedFleet {
public:
  PacedFleet(uint64_t Seed, size_t Nodes, double Load)
      : m_Fleet(Seed, {.m_Nodes = Nodes,
                       .m_Engines = Engines,
                       .m_RestartTime = 2s,
                       .m_AnswerTime = AnswerTime,
                       .m_Slots = Slots}),
        m_Load(Load) {
    run(3s);
  }

  void run(model::Duration Span) {
    const model::TimePoint End = m_Fleet.now() + Span;
    while (m_Fleet.now() < End) {
      for (m_Due += m_Load * Capacity / 100; m_Due >= 1; m_Due -= 1)
        m_Fleet.askFor(m_Fleet.randomNode(), {.m_Path = "/again/"});
      m_Fleet.run(10ms);
    }
  }
  /// Most requests that ran at once at \p Engine from \p From to \p To.
  size_t mostAtOnce(const model::EndpointId &Engine, model::TimePoint From,
                    model::TimePoint To) const {
    std::vector<model::TimePoint> Running;
    size_t Most = 0;
    for (const RelayFleet::Arrival &Each : m_Fleet.arrivals()) {
      if (Each.m_Engine != Engine || Each.m_At < From || Each.m_At >= To)
        continue;
      std::erase_if(Running, [&](model::TimePoint At) {
        return At + AnswerTime <= Each.m_At;
      });
      Running.push_back(Each.m_At);
      Most = std::max(Most, Running.size());
    }
    return Most;
  }
  /// What \p Engine got of an even share of the requests.
  double share(const model::EndpointId &Engine, model::TimePoint From,
               model::TimePoint To) const {
    double All = 0;
    double Own = 0;
    for (const RelayFleet::Arrival &Each : m_Fleet.arrivals()) {
      if (Each.m_At < From || Each.m_At >= To)
        continue;
      ++All;
      Own += Each.m_Engine == Engine ? 1 : 0;
    }
    return Own / All * Engines;
  }

  RelayFleet m_Fleet;

private:
  double m_Load;
  double m_Due = 0;
};

} // namespace

// Guards against a server that gets all that the others have no room for at
// the moment in which it is back, and against one that is left idle.
TEST_CASE("an engine that is back after a crash under full demand is neither "
          "flooded nor left idle") {
  for (const size_t Nodes : {6, 81, 195}) {
    CAPTURE(Nodes);
    double Share = 0;
    constexpr uint64_t Seeds = 3;
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Seed);
      PacedFleet Day(Seed, Nodes, 0.8);
      Day.m_Fleet.crash(Day.m_Fleet.engines()[3]);
      Day.run(2s);
      const std::vector<model::EndpointId> Now = Day.m_Fleet.engines();
      const model::EndpointId Back("e13");
      REQUIRE(std::find(Now.begin(), Now.end(), Back) != Now.end());
      const model::TimePoint At = Day.m_Fleet.now();
      Day.run(3500ms);
      CHECK(Day.mostAtOnce(Back, At, At + 1s) <= Slots);
      Share += Day.share(Back, At + 1500ms, At + 3500ms) / Seeds;
    }
    CHECK(Share >= 0.75);
  }
}

// Guards against a pace that acts where nothing is known of any engine.
TEST_CASE("a first start of all nodes and engines under full demand is served "
          "whole") {
  for (const size_t Nodes : {6, 81}) {
    CAPTURE(Nodes);
    PacedFleet Day(1, Nodes, 0.8);
    Day.run(2s);
    CHECK(Day.m_Fleet.node(0).pacedEndpointCount() == 0);
    const size_t Asked = Day.m_Fleet.asked().size();
    Day.m_Fleet.run(2s);
    size_t Served = 0;
    for (const RelayFleet::Asked &Each : Day.m_Fleet.asked())
      Served += Each.m_Served ? 1 : 0;
    CHECK(Served == Asked);
  }
}

// Guards against requests that are refused since every engine is new.
TEST_CASE("where all engines crash and come back together, nothing is refused "
          "for their pace") {
  PacedFleet Day(1, 81, 0.8);
  for (const model::EndpointId &Each : Day.m_Fleet.engines())
    Day.m_Fleet.crash(Each);
  Day.run(2500ms);
  REQUIRE(Day.m_Fleet.engines().size() == Engines);
  const size_t First = Day.m_Fleet.asked().size();
  Day.run(3s);
  const size_t End = Day.m_Fleet.asked().size();
  Day.m_Fleet.run(3s);
  size_t Refused = 0;
  for (size_t I = First; I < End; ++I)
    Refused += Day.m_Fleet.asked()[I].m_Refused ? 1 : 0;
  CHECK(Refused == 0);
}

// Guards against a flood from every node at the moment in which an ejection
// ends.
TEST_CASE("an endpoint that is back from ejection gets few requests at once, "
          "and its full share after some answers") {
  using gateway::SendRequest;
  using gateway::SendResult;
  for (const uint32_t Nodes : {1U, 6U, 81U, 195U}) {
    CAPTURE(Nodes);
    RelayFixture Relay;
    Relay.start({"a"});
    Relay.m_Core.setNodeCount(Nodes, Relay.m_Now);
    const model::EndpointId Back("a");
    Relay.ask("/again/");
    Relay.finishSend(Relay.take<SendRequest>().at(0).m_Attempt,
                     SendResult::NotSent);
    Relay.setEndpoints(
        {RelayFixture::endpoint("a"), RelayFixture::endpoint("b")});
    CHECK(Relay.m_Core.pacedEndpointCount() == 1);
    Relay.advance(700ms);
    for (int I = 0; I < 6; ++I)
      Relay.ask("/again/");
    const std::vector<SendRequest> Sent = Relay.take<SendRequest>();
    REQUIRE(Sent.size() == 6);
    const auto ToBack =
        std::count_if(Sent.begin(), Sent.end(), [&](const SendRequest &Each) {
          return Each.m_Endpoint == Back;
        });
    CHECK(ToBack <= 2);
    for (const SendRequest &Each : Sent) {
      Relay.m_Core.onAnswerChunk(Each.m_Attempt, Relay.m_Now + 20ms);
      Relay.finishSend(Each.m_Attempt, SendResult::Completed);
    }
    // The only one with a copy takes all, whatever its pace.
    Relay.setEndpoints({RelayFixture::endpoint("a")});
    for (int I = 0; I < 6; ++I)
      Relay.ask("/again/");
    const std::vector<SendRequest> All = Relay.take<SendRequest>();
    REQUIRE(All.size() == 6);
    for (const SendRequest &Each : All) {
      Relay.m_Core.onAnswerChunk(Each.m_Attempt, Relay.m_Now + 20ms);
      Relay.finishSend(Each.m_Attempt, SendResult::Completed);
    }
    Relay.advance(100ms);
    CHECK(Relay.m_Core.pacedEndpointCount() == 0);
  }
}

// Guards against an endpoint that gets its full room again each time that it
// is back for a moment.
TEST_CASE("flapping: an endpoint that turns requests away or refuses "
          "connections by turns stays under its pace") {
  using gateway::SendRequest;
  using gateway::SendResult;
  RelayFixture Relay;
  Relay.start({"a", "b"});
  size_t Most = 0;
  for (int Turn = 0; Turn < 8; ++Turn) {
    for (int I = 0; I < 6; ++I)
      Relay.ask("/again/");
    size_t Flapping = 0;
    std::vector<SendRequest> Sent = Relay.take<SendRequest>();
    for (size_t I = 0; I < Sent.size(); ++I) {
      const model::AttemptId Attempt = Sent[I].m_Attempt;
      const bool IsFlapping = Sent[I].m_Endpoint == model::EndpointId("a");
      Flapping += IsFlapping ? 1 : 0;
      if (!IsFlapping)
        Relay.m_Core.onAnswerChunk(Attempt, Relay.m_Now + 20ms);
      const SendResult Flap =
          Turn % 2 == 0 ? SendResult::NotSent : SendResult::NotRun;
      Relay.finishSend(Attempt, IsFlapping ? Flap : SendResult::Completed);
      for (const SendRequest &Retry : Relay.take<SendRequest>())
        Sent.push_back(Retry);
    }
    if (Turn > 0)
      Most = std::max(Most, Flapping);
    Relay.advance(4100ms);
  }
  CHECK(Most <= 2);
}

} // namespace bronzepass::unit_tests
