#include "UnitTests/Routing/AttemptWorld.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

namespace bronzepass::unit_tests::routing {

TEST_CASE("every request ends once and truly, whatever happens in what order") {
  constexpr int Interleavings = 10000;
  rc::detail::TestMetadata About;
  About.id = "attempts";
  rc::detail::TestParams Params;
  Params.seed = 20261203;
  Params.maxSuccess = Interleavings;
  Params.maxSize = 200;
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      [](const std::vector<uint32_t> &Numbers) {
        AttemptWorld World;
        for (uint32_t Number : Numbers)
          World.step(Number);
        World.finish();
        if (!World.firstFault().empty())
          RC_FAIL(World.firstFault());
      },
      About, Params);
  rc::detail::printResultMessage(Result, std::cerr);
  CHECK(Result.is<rc::detail::SuccessResult>());
}

} // namespace bronzepass::unit_tests::routing
