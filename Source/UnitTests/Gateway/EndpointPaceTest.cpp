#include "Core/Gateway/EndpointPace.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace bronzepass::unit_tests {

namespace {

namespace gateway = core::gateway;
namespace model = core::model;
using namespace std::chrono_literals;
using gateway::EndpointPace;
using gateway::PaceCause;

constexpr uint32_t Slots = 16;
constexpr uint32_t FirstWindow = 4;
const model::TimePoint Start = model::TimePoint(100s);

EndpointPace::Load alone(uint32_t InFlight) {
  return {.m_Own = InFlight, .m_All = static_cast<double>(InFlight)};
}

/// The requests that the endpoint takes at once from a node that is alone.
uint32_t taken(EndpointPace &Pace, model::TimePoint Now) {
  uint32_t InFlight = 0;
  while (InFlight < 2 * Slots && Pace.allows(alone(InFlight), Now, 0))
    ++InFlight;
  return InFlight;
}

} // namespace

TEST_CASE("an endpoint that has just started gets few requests at once") {
  EndpointPace Pace(PaceCause::Start, Slots, Start);
  CHECK(taken(Pace, Start) == FirstWindow);
  CHECK_FALSE(Pace.isOver(Start));
}

TEST_CASE("an endpoint that is well at once has its full room after as many "
          "answers as it has slots") {
  EndpointPace Pace(PaceCause::Start, Slots, Start);
  for (uint32_t I = FirstWindow; I < Slots; ++I) {
    CHECK_FALSE(Pace.isOver(Start));
    Pace.onGoodAnswer(Start);
    CHECK(taken(Pace, Start) == I + 1);
  }
  CHECK(Pace.isOver(Start));
}

TEST_CASE("slow warm-up: a bad answer halves the window, and then a window's "
          "worth of answers adds one request") {
  EndpointPace Pace(PaceCause::Start, Slots, Start);
  for (int I = 0; I < 4; ++I)
    Pace.onGoodAnswer(Start);
  REQUIRE(Pace.window() == doctest::Approx(8));
  Pace.onBadAnswer(Start + 1s);
  CHECK(Pace.window() == doctest::Approx(4));
  // Those that were late together are one finding.
  Pace.onBadAnswer(Start + 1100ms);
  CHECK(Pace.window() == doctest::Approx(4));
  for (int I = 0; I < 4; ++I)
    Pace.onGoodAnswer(Start + 2s);
  CHECK(Pace.window() == doctest::Approx(4.9).epsilon(0.02));
  CHECK_FALSE(Pace.isOver(Start + 2s));
}

TEST_CASE("flapping: an endpoint that keeps failing gets one request at a "
          "time, and its pace ends after a while all the same") {
  EndpointPace Pace(PaceCause::Ejection, Slots, Start);
  model::TimePoint Now = Start;
  Pace.onSent(Now);
  for (; Now < Start + 9s; Now += 300ms) {
    Pace.onBadAnswer(Now);
    CHECK(taken(Pace, Now) == (Now == Start ? FirstWindow / 2 : 1));
    CHECK_FALSE(Pace.isOver(Now));
  }
  CHECK(Pace.isOver(Start + 10s));
}

TEST_CASE("a silent endpoint gets one request at a time until it answers") {
  EndpointPace Pace(PaceCause::Silence, Slots, Start);
  Pace.onSent(Start);
  Pace.onGoodAnswer(Start);
  CHECK(taken(Pace, Start + 30s) == 1);
  CHECK_FALSE(Pace.isOver(Start + 30s));
  Pace.onSilenceEnded(Start + 30s);
  CHECK(taken(Pace, Start + 30s) == FirstWindow);
  CHECK_FALSE(Pace.isOver(Start + 30s));
}

TEST_CASE("what peers had of an endpoint counts once, also after lost "
          "notices and a new pace") {
  EndpointPace Pace(PaceCause::Start, Slots, Start);
  const model::NodeId Peer("n1");
  Pace.onReport(Peer, {model::EndpointId("e"), 2, 0}, 1, Start);
  Pace.onReport(Peer, {model::EndpointId("e"), 2, 0}, 1, Start);
  CHECK(Pace.window() == doctest::Approx(6));
  Pace.onReport(Peer, {model::EndpointId("e"), 5, 0}, 1, Start);
  CHECK(Pace.window() == doctest::Approx(9));
  Pace.onReport(Peer, {model::EndpointId("e"), 1, 0}, 1, Start);
  CHECK(Pace.window() == doctest::Approx(10));
  Pace.onReport(Peer, {model::EndpointId("e"), 1, 1}, 1, Start);
  CHECK(Pace.window() == doctest::Approx(5));
}

// Guards against a flood of as many requests as there are nodes.
TEST_CASE("nodes that can't know of each other yet send no more than twice "
          "the window until loads are told") {
  for (const uint32_t Nodes : {6U, 81U, 195U}) {
    CAPTURE(Nodes);
    std::mt19937_64 Random(1);
    double Sent = 0;
    constexpr int Fleets = 40;
    for (int Fleet = 0; Fleet < Fleets; ++Fleet) {
      std::vector<EndpointPace> Paces(
          Nodes, EndpointPace(PaceCause::Start, Slots, Start));
      std::vector<uint32_t> Own(Nodes);
      // Every node has a request to send each 10 ms, and hears nothing new.
      for (model::TimePoint Now = Start; Now < Start + 200ms; Now += 10ms)
        for (uint32_t I = 0; I < Nodes; ++I)
          if (Paces[I].allows({Own[I], static_cast<double>(Own[I]), Nodes, 0},
                              Now, Random())) {
            ++Own[I];
            Paces[I].onSent(Now);
            ++Sent;
          }
    }
    CHECK(Sent / Fleets <= 2 * FirstWindow);
    CHECK(Sent / Fleets > 1);
  }
}

TEST_CASE("a node that alone has ejected an endpoint finds its room alone") {
  EndpointPace Pace(PaceCause::Ejection, Slots, Start);
  const EndpointPace::Load Seen{
      .m_Own = 0, .m_All = 12, .m_Nodes = 81, .m_PeersHeard = 24};
  CHECK_FALSE(Pace.allows(Seen, Start + 100ms, 0));
  CHECK(Pace.allows(Seen, Start + 600ms, 0));
}

} // namespace bronzepass::unit_tests
