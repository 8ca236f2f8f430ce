#include "UnitTests/Gateway/RelayChangeSimulation.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

// Guards against requests that a change of the configuration, of endpoints, of
// quotas or of links loses, sends twice, or ends with an untrue status.
TEST_CASE("each request ends exactly once, truthfully, whatever changes while "
          "it waits or is in flight") {
  constexpr uint64_t Seeds = 1500;
  std::map<std::string, uint64_t> Seen;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RelayChangeSimulation Simulation(Seed);
    Simulation.run();
    for (const std::string &Each : Simulation.broken())
      FAIL_CHECK(Each);
    for (const auto &Each : Simulation.seen())
      Seen[Each.first] += Each.second;
  }
  for (const std::string Each :
       {"send", "retry", "forward", "resume", "cancel", "answer", "cut",
        "refuse 401", "refuse 404", "refuse 429", "refuse 502", "refuse 503",
        "refuse 504", "ask for quota", "wait: an adapter is being loaded"}) {
    CAPTURE(Each);
    CHECK(Seen[Each] >= Seeds / 10);
  }
  const auto Waits =
      std::count_if(Seen.begin(), Seen.end(), [](const auto &Each) {
        return Each.first.starts_with("wait: ");
      });
  // An adapter, the store, prefill queues, limits; in time, or late.
  CHECK(Waits == 6);
}

} // namespace bronzepass::unit_tests
