#include "UnitTests/Fuzz/FuzzBodies.h"
#include "UnitTests/Fuzz/Mutator.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::fuzz {

namespace {

constexpr uint64_t Seed = 20'261'203;
constexpr int Inputs = 20'000;

} // namespace

TEST_CASE("no parser crashes on mutated input") {
  for (const FuzzTarget &Target : fuzzTargets()) {
    CAPTURE(Target.m_Name);
    for (const std::string &ValidInput : Target.m_Seeds)
      CHECK_MESSAGE(Target.m_Body(ValidInput), ValidInput);
    Mutator Mutations(Seed);
    int Accepted = 0;
    for (int I = 0; I < Inputs; ++I)
      Accepted += Target.m_Body(Mutations.next(Target.m_Seeds));
    // Some mutated inputs must get past the parser and some must be rejected.
    CHECK(Accepted > 0);
    CHECK(Accepted < Inputs);
  }
}

} // namespace bronzepass::unit_tests::fuzz
