#include "Core/Resources/CallerPlaces.h"

#include <doctest/doctest.h>

namespace bronzepass::core::resources {

using namespace std::chrono_literals;

TEST_CASE("idle callers give up their places before those that stopped, the "
          "longest idle first") {
  const model::TimePoint Now = model::TimePoint{} + 100s;
  const std::vector<CallerPlace> Places = {
      {1, PlaceState::Reading, Now - 50s},
      {1, PlaceState::Idle, Now - 3s},
      {1, PlaceState::Idle, Now - 9s},
      {1, PlaceState::Answering, Now - 60s},
      {1, PlaceState::Reading, Now - 10ms}};
  CHECK(placesToGiveUp(Places, 9, Now) == std::vector<size_t>{2, 1, 0});
  CHECK(placesToGiveUp(Places, 1, Now) == std::vector<size_t>{2});
}

TEST_CASE("the address that holds the most places gives up first") {
  const model::TimePoint Now = model::TimePoint{} + 100s;
  const std::vector<CallerPlace> Places = {
      {1, PlaceState::Idle, Now - 9s},
      {2, PlaceState::Idle, Now - 3s},
      {2, PlaceState::Answering, Now - 3s}};
  CHECK(placesToGiveUp(Places, 1, Now) == std::vector<size_t>{1});
}

} // namespace bronzepass::core::resources
