#include "Core/Organisations/ConfigProof.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace model = core::model;
using core::organisations::ConfigProof;
using namespace std::chrono_literals;

TEST_CASE("a proof holds between half of the revocation time and all of it") {
  const model::TimePoint Start(100s);
  ConfigProof Proof(5s);
  CHECK(Proof.isNeeded());
  CHECK_FALSE(Proof.holds(Start));
  CHECK_FALSE(Proof.age(Start));
  Proof.onConfirmed(Start);
  CHECK(Proof.holds(Start + 2500ms));
  CHECK_FALSE(Proof.holds(Start + 5s));
  CHECK(Proof.age(Start + 2s) == 2s);
}

TEST_CASE("an answer that comes late does not take a newer proof back") {
  const model::TimePoint Start(100s);
  ConfigProof Proof(5s);
  Proof.onConfirmed(Start + 1s);
  Proof.onConfirmed(Start);
  CHECK(Proof.age(Start + 2s) == 1s);
}

TEST_CASE("without a revocation time no proof is needed") {
  const ConfigProof Proof(0s);
  CHECK_FALSE(Proof.isNeeded());
  CHECK(Proof.holds(model::TimePoint(100s)));
}

} // namespace bronzepass::unit_tests
