#include "Core/Gateway/RetryLimiter.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace bronzepass::core::gateway {

using namespace std::chrono_literals;

TEST_CASE("all nodes together never exceed the limit in any window") {
  constexpr uint32_t Nodes = 6;
  const RetryLimits Limits{0.2, 52, 10s};
  std::mt19937_64 Random(11);
  std::vector<RetryLimiter> Limiters(Nodes, RetryLimiter(Limits));
  for (RetryLimiter &Each : Limiters)
    Each.setNodeCount(Nodes);
  std::deque<model::TimePoint> Requests;
  std::deque<model::TimePoint> Retries;
  model::TimePoint Now;
  constexpr int Steps = 60000;
  for (int I = 0; I < Steps; ++I) {
    // Alternates bursts and quiet phases, with a retry attempted at each step.
    const bool Burst = (I / 9000) % 2 == 0;
    Now += std::chrono::milliseconds(Burst ? 2 : 20);
    RetryLimiter &Node = Limiters[Random() % Nodes];
    Node.countRequest("s", Now);
    Requests.push_back(Now);
    if (Node.tryTakeRetry("s", Now))
      Retries.push_back(Now);
    while (!Requests.empty() && Requests.front() <= Now - 2 * Limits.m_Window)
      Requests.pop_front();
    while (!Retries.empty() && Retries.front() <= Now - Limits.m_Window)
      Retries.pop_front();
    // Counts the requests of this window and the one before it.
    REQUIRE(static_cast<double>(Retries.size()) <=
            Limits.m_Ratio * static_cast<double>(Requests.size()) +
                Limits.m_Slack);
  }
}

TEST_CASE("a node without requests may still retry, with a separate limit for "
          "each service") {
  RetryLimiter Limiter({0.2, 10, 10s});
  const model::TimePoint Now(1s);
  CHECK(Limiter.tryTakeRetry("a", Now));
  int Taken = 1;
  while (Limiter.tryTakeRetry("a", Now))
    ++Taken;
  CHECK(Taken <= 10);
  CHECK(Limiter.tryTakeRetry("b", Now));
  CHECK(Limiter.tryTakeRetry("a", Now + 20s));
}

} // namespace bronzepass::core::gateway
