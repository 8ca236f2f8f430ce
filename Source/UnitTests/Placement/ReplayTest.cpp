#include "Benchmarks/Placement/Replay.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

using namespace benchmarks::placement;

namespace {

/// Required factor between the moves of move-on-miss and those of placement.
constexpr uint64_t MinMoveReduction = 5;

Scenario findScenario(const std::string &Name) {
  for (const Scenario &Known : scenarios(std::chrono::hours(1)))
    if (Known.m_Name == Name)
      return Known;
  return {};
}

Outcome replayPlacement(const DeploymentSize &Size, const std::string &Name) {
  const auto Value = std::make_shared<const model::Intent>(makeIntent(Size));
  PlacementCoreFleet Engines(Value);
  return replay(findScenario(Name), *Value, Engines);
}

} // namespace

TEST_CASE("bursts are handled with fewer moves than move-on-miss") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()}) {
    CAPTURE(Size.m_Name);
    const auto Value = std::make_shared<const model::Intent>(makeIntent(Size));
    BaselineFleet OnMissFleet(BaselineKind::BusyMissLru, Value);
    BaselineFleet StaticFleet(BaselineKind::Static, Value);
    const Outcome OnMiss = replay(findScenario("day"), *Value, OnMissFleet);
    const Outcome Static = replay(findScenario("day"), *Value, StaticFleet);
    const Outcome Ours = replayPlacement(Size, "day");
    CHECK(Ours.m_Moves * MinMoveReduction <= OnMiss.m_Moves);
    CHECK(Ours.m_Attained >= OnMiss.m_Attained);
    CHECK(Ours.m_Attained >= Static.m_Attained);
    CHECK(Ours.m_UnreachableSeconds == 0);
    CHECK(Ours.m_MaxPromisedShare <= 1);
  }
}

TEST_CASE("every model answers again after a lost engine") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()}) {
    CAPTURE(Size.m_Name);
    const Outcome Ours = replayPlacement(Size, "engine-lost");
    CHECK(Ours.m_RecoverySeconds > 0);
    CHECK(Ours.m_MaxPromisedShare <= 1);
  }
}

TEST_CASE("a rollout and a takeover leave every model answering") {
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()})
    for (const char *Name : {"rollout", "takeover"}) {
      CAPTURE(Size.m_Name);
      CAPTURE(Name);
      const Outcome Ours = replayPlacement(Size, Name);
      CHECK(Ours.m_RecoverySeconds > 0);
      CHECK(Ours.m_UnreachableSeconds == 0);
      CHECK(Ours.m_MaxPromisedShare <= 1);
    }
}

} // namespace bronzepass::unit_tests::placement
