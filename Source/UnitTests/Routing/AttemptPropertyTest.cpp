#include "UnitTests/Routing/AttemptSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

namespace bronzepass::unit_tests::routing {

TEST_CASE("every request ends exactly once and reports its run state correctly "
          "for any sequence of events") {
  constexpr int EventSequences = 10000;
  rc::detail::TestMetadata Metadata;
  Metadata.id = "attempts";
  rc::detail::TestParams Params;
  Params.seed = 20261203;
  Params.maxSuccess = EventSequences;
  Params.maxSize = 200;
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      [](const std::vector<uint32_t> &Numbers) {
        AttemptSimulation Simulation;
        for (uint32_t Number : Numbers)
          Simulation.step(Number);
        Simulation.finish();
        if (!Simulation.firstViolation().empty())
          RC_FAIL(Simulation.firstViolation());
      },
      Metadata, Params);
  rc::detail::printResultMessage(Result, std::cerr);
  CHECK(Result.is<rc::detail::SuccessResult>());
}

} // namespace bronzepass::unit_tests::routing
