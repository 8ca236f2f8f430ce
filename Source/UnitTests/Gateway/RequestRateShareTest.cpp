#include "Core/Gateway/RequestRateShare.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

/// Requests that one node of \p Nodes sends in \p Span if it asks all the time.
size_t sentIn(model::Duration Span, double Limit, uint32_t Nodes,
              uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  model::TimePoint Now(100s);
  RequestRateShare Share(Limit, Nodes, Now);
  size_t Sent = 0;
  for (const model::TimePoint End = Now + Span; Now < End; Now += 10ms)
    if (Share.allows(Now, Random())) {
      Share.take(Now);
      ++Sent;
    }
  return Sent;
}

} // namespace

TEST_CASE("a node that always has requests uses its even share") {
  // The first token is earned, not given.
  CHECK(sentIn(100s, 12, 6, 1) == 199);
  CHECK(sentIn(100s, 12, 1, 1) == 1199);
  size_t Sum = 0;
  for (uint64_t Seed = 0; Seed < 100; ++Seed)
    Sum += sentIn(100s, 4, 100, Seed);
  CHECK(Sum > 340);
  CHECK(Sum < 460);
}

TEST_CASE("nodes that sent nothing for long exceed the limit by two seconds of "
          "it and two requests") {
  for (const uint32_t Nodes : {1, 6, 60, 200}) {
    std::mt19937_64 Random(Nodes);
    const model::TimePoint Start(100s);
    size_t AtOnce = 0;
    constexpr int Trials = 100;
    for (int Trial = 0; Trial < Trials; ++Trial)
      for (uint32_t I = 0; I < Nodes; ++I) {
        RequestRateShare Share(4, Nodes, Start);
        while (Share.allows(Start + 1h, Random())) {
          Share.take(Start + 1h);
          ++AtOnce;
        }
      }
    CAPTURE(Nodes);
    CHECK(static_cast<double>(AtOnce) / Trials <= 4 * 2 + 2 + 0.5);
  }
}

TEST_CASE("an endpoint that takes nothing is tried once in five seconds by all "
          "nodes together") {
  CHECK(sentIn(100s, 0, 1, 1) == 19);
  size_t Sum = 0;
  for (uint64_t Seed = 0; Seed < 100; ++Seed)
    Sum += sentIn(100s, 0, 100, Seed);
  CHECK(Sum > 8);
  CHECK(Sum < 35);
}

TEST_CASE("a limit or a number of nodes that changes applies at once") {
  const model::TimePoint Now(100s);
  RequestRateShare Share(1e9, 2, Now);
  CHECK(Share.allows(Now + 1s, 0));
  CHECK(Share.limitPerSecond() == 1e9);
  Share.setLimit(2, 2, Now + 1s);
  size_t Sent = 0;
  while (Share.allows(Now + 1s, 0)) {
    Share.take(Now + 1s);
    ++Sent;
  }
  // Half of two seconds' worth and two requests.
  CHECK(Sent <= 3);
  CHECK(Share.timeToNext(Now + 1s) <= 1s);
  CHECK(Share.timeToNext(Now + 1s) > 0s);
}

} // namespace bronzepass::core::gateway
