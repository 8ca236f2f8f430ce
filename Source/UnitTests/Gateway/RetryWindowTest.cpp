#include "Core/Gateway/RetryWindow.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace bronzepass::core::gateway {

using namespace std::chrono_literals;

TEST_CASE("nodes together never go beyond the limit in any window") {
  constexpr uint32_t Nodes = 6;
  const RetryLimits Limits{0.2, 52, 10s};
  std::mt19937_64 Random(11);
  std::vector<RetryWindow> Windows(Nodes, RetryWindow(Limits));
  for (RetryWindow &Each : Windows)
    Each.setNodeCount(Nodes);
  std::deque<model::TimePoint> Requests;
  std::deque<model::TimePoint> Extra;
  model::TimePoint Now;
  constexpr int Steps = 60000;
  for (int I = 0; I < Steps; ++I) {
    // Bursts and lulls, and retries wanted all the time.
    const bool Burst = (I / 9000) % 2 == 0;
    Now += std::chrono::milliseconds(Burst ? 2 : 20);
    RetryWindow &Node = Windows[Random() % Nodes];
    Node.noteRequest("s", Now);
    Requests.push_back(Now);
    if (Node.take("s", Now))
      Extra.push_back(Now);
    while (!Requests.empty() && Requests.front() <= Now - 2 * Limits.m_Window)
      Requests.pop_front();
    while (!Extra.empty() && Extra.front() <= Now - Limits.m_Window)
      Extra.pop_front();
    // Counted are the requests of the window or the one before it.
    REQUIRE(static_cast<double>(Extra.size()) <=
            Limits.m_Ratio * static_cast<double>(Requests.size()) +
                Limits.m_Slack);
  }
}

TEST_CASE("a quiet node may still retry, and each service for itself") {
  RetryWindow Window({0.2, 10, 10s});
  const model::TimePoint Now(1s);
  CHECK(Window.take("a", Now));
  int Taken = 1;
  while (Window.take("a", Now))
    ++Taken;
  CHECK(Taken <= 10);
  CHECK(Window.take("b", Now));
  CHECK(Window.take("a", Now + 20s));
}

} // namespace bronzepass::core::gateway
