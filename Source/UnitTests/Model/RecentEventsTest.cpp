#include "Core/Model/RecentEvents.h"

#include <doctest/doctest.h>

namespace bronzepass::core::model {

TEST_CASE("events are forgotten after their lifetime, and their memory freed") {
  using namespace std::chrono_literals;
  RecentEvents<int> Events(10s);
  const TimePoint Start(100s);
  for (int Key = 0; Key < 1000; ++Key) {
    const TimePoint Now = Start + Key * 1s;
    Events.record(Key, Now);
    Events.forgetOld(Now);
    CHECK(Events.size() <= 10);
  }
  const TimePoint End = Start + 999s;
  CHECK(Events.find(999, End) == End);
  CHECK(Events.find(990, End) == Start + 990s);
  CHECK_FALSE(Events.find(989, End));
  CHECK_FALSE(Events.find(999, End + 10s));
  Events.record(999, End + 10s);
  CHECK(Events.find(999, End + 19s) == End + 10s);
}

} // namespace bronzepass::core::model
