#include "UnitTests/Fuzz/FuzzBodies.h"
#include "UnitTests/Fuzz/Mutator.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::fuzz {

namespace {

constexpr uint64_t Seed = 20'261'203;
constexpr int Inputs = 20'000;

} // namespace

TEST_CASE("damaged input of every kind is survived") {
  for (const FuzzTarget &Target : fuzzTargets()) {
    CAPTURE(Target.m_Name);
    for (const std::string &Whole : Target.m_Seeds)
      CHECK_MESSAGE(Target.m_Body(Whole), Whole);
    Mutator Damage(Seed);
    int Taken = 0;
    for (int I = 0; I < Inputs; ++I)
      Taken += Target.m_Body(Damage.next(Target.m_Seeds));
    // Damage must neither always be noticed at the surface nor never.
    CHECK(Taken > 0);
    CHECK(Taken < Inputs);
  }
}

} // namespace bronzepass::unit_tests::fuzz
