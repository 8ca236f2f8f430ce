#include "Core/Gateway/SuspensionDetector.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

using namespace std::chrono_literals;

TEST_CASE("what is received just after the process stood still may be old") {
  SuspensionDetector Detector;
  model::TimePoint Now(100s);
  CHECK_FALSE(Detector.mayLag(Now));
  for (int I = 0; I < 10; ++I) {
    Now += 20ms;
    Detector.onTick(Now);
    CHECK_FALSE(Detector.mayLag(Now));
  }
  Now += 200ms;
  CHECK_FALSE(Detector.mayLag(Now));
  Now += 2s;
  CHECK(Detector.mayLag(Now));
  for (int I = 0; I < 25; ++I) {
    Detector.onTick(Now);
    CHECK(Detector.mayLag(Now));
    Now += 20ms;
  }
  Detector.onTick(Now);
  CHECK_FALSE(Detector.mayLag(Now));
}

} // namespace bronzepass::core::gateway
