#include "Core/Gateway/WatchTimes.h"

#include <chrono>
#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

using namespace std::chrono_literals;

// Guards against nodes that learn late of a leaving endpoint since two faults
// follow each other.
TEST_CASE(
    "an endpoint's leaving reaches every node within the leave notice, also "
    "where its watcher loses the store and is lost before it notices") {
  // The call to the store that follows, and reading what it brings.
  constexpr model::Duration Rest = 150ms;
  for (const model::Duration LeaveNotice : {2s, 3s, 4s, 10s}) {
    CAPTURE(LeaveNotice.count());
    const WatchTimes Times =
        endpointWatchTimes(LeaveNotice, LeaveNotice + 1s, true);
    CHECK(Times.m_BatchDelay +
              2 * (Times.m_WatchTimeout + Times.m_AnswerTimeout) + Rest <
          LeaveNotice);
  }
}

} // namespace bronzepass::core::gateway
