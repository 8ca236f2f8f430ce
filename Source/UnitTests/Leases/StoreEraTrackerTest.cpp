#include "Core/Leases/StoreEraTracker.h"

#include <doctest/doctest.h>

namespace bronzepass::core::leases {

namespace {

std::optional<model::StoreEra> era(uint64_t Value) {
  return model::StoreEra{Value};
}

} // namespace

TEST_CASE("the first era that is named is no restore") {
  StoreEraTracker Eras;
  CHECK_FALSE(Eras.current());
  CHECK(Eras.onAnswer(Eras.onCall(false), era(7)) == EraVerdict::Current);
  CHECK(Eras.current() == era(7));
  CHECK(Eras.restores() == 0);
}

TEST_CASE("answers that overtake each other across a restore are told apart") {
  StoreEraTracker Eras;
  Eras.onAnswer(Eras.onCall(false), era(1));
  const CallEra Early = Eras.onCall(false);
  const CallEra AlsoEarly = Eras.onCall(false);
  const CallEra Third = Eras.onCall(false);
  CHECK(Eras.onAnswer(Early, era(2)) == EraVerdict::Restored);
  CHECK(Eras.onAnswer(AlsoEarly, era(2)) == EraVerdict::InDoubt);
  CHECK(Eras.onAnswer(Third, era(1)) == EraVerdict::Outdated);
  CHECK(Eras.current() == era(2));
  CHECK(Eras.onAnswer(Eras.onCall(false), era(2)) == EraVerdict::Current);
  CHECK(Eras.restores() == 1);
}

TEST_CASE("a stale read may name the era before the restore") {
  StoreEraTracker Eras;
  Eras.onAnswer(Eras.onCall(false), era(1));
  Eras.onAnswer(Eras.onCall(false), era(2));
  CHECK(Eras.onAnswer(Eras.onCall(true), era(1)) == EraVerdict::Outdated);
  CHECK(Eras.onAnswer(Eras.onCall(false), era(1)) == EraVerdict::Fallen);
  CHECK(Eras.current() == era(2));
}

TEST_CASE("an answer without an era is used unless a restore came between") {
  StoreEraTracker Eras;
  CHECK(Eras.onAnswer(Eras.onCall(false), std::nullopt) == EraVerdict::Current);
  CHECK_FALSE(Eras.current());
  Eras.onAnswer(Eras.onCall(false), era(0));
  CHECK(Eras.current() == era(0));
  const CallEra Early = Eras.onCall(false);
  CHECK(Eras.onAnswer(Eras.onCall(false), era(1)) == EraVerdict::Restored);
  CHECK(Eras.onAnswer(Early, std::nullopt) == EraVerdict::InDoubt);
  CHECK(Eras.onAnswer(Eras.onCall(false), std::nullopt) == EraVerdict::Current);
}

} // namespace bronzepass::core::leases
