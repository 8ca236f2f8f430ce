#include "Benchmarks/Placement/Replay.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

using namespace benchmarks::placement;

namespace {

/// The users' target: so many times fewer moves than move-on-miss.
constexpr uint64_t FewerMoves = 5;

Scenario scene(const std::string &Name) {
  for (const Scenario &Known : scenarios(std::chrono::hours(1)))
    if (Known.m_Name == Name)
      return Known;
  return {};
}

Outcome placed(const DeploymentSize &Size, const std::string &Name) {
  const auto Value = std::make_shared<const model::Intent>(makeIntent(Size));
  PlacedFleet Engines(Value);
  return replay(scene(Name), *Value, Engines);
}

} // namespace

TEST_CASE("bursts are met with fewer moves than move-on-miss") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()}) {
    CAPTURE(Size.m_Name);
    const auto Value = std::make_shared<const model::Intent>(makeIntent(Size));
    BaselineFleet Misses(BaselineKind::BusyMissLru, Value);
    BaselineFleet Packed(BaselineKind::Static, Value);
    const Outcome OnMiss = replay(scene("day"), *Value, Misses);
    const Outcome Static = replay(scene("day"), *Value, Packed);
    const Outcome Ours = placed(Size, "day");
    CHECK(Ours.m_Moves * FewerMoves <= OnMiss.m_Moves);
    CHECK(Ours.m_Attained >= OnMiss.m_Attained);
    CHECK(Ours.m_Attained >= Static.m_Attained);
    CHECK(Ours.m_UnreachableSeconds == 0);
    CHECK(Ours.m_GreatestPromise <= 1);
  }
}

TEST_CASE("every model answers again after a lost engine") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()}) {
    CAPTURE(Size.m_Name);
    const Outcome Ours = placed(Size, "engine-lost");
    CHECK(Ours.m_RecoverySeconds > 0);
    CHECK(Ours.m_GreatestPromise <= 1);
  }
}

TEST_CASE("a rollout and a takeover leave every model answering") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()})
    for (const char *Name : {"rollout", "takeover"}) {
      CAPTURE(Size.m_Name);
      CAPTURE(Name);
      const Outcome Ours = placed(Size, Name);
      CHECK(Ours.m_RecoverySeconds > 0);
      CHECK(Ours.m_UnreachableSeconds == 0);
      CHECK(Ours.m_GreatestPromise <= 1);
    }
}

} // namespace bronzepass::unit_tests::placement
