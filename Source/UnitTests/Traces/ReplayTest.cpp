#include "UnitTests/Traces/Replay.h"
#include "Core/Routing/EndpointPolicy.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <utility>

namespace bronzepass::unit_tests::traces {

using core::routing::PolicyKind;

namespace {

constexpr const char *Folder = "Source/UnitTests/Traces/Data";
constexpr PolicyKind Baselines[] = {
    PolicyKind::RoundRobin, PolicyKind::LeastInFlight, PolicyKind::PowerOfTwo};

/// One replay's result, computed once in this process.
const ReplayResult &resultOf(const Deployment &Of, const Scenario &What,
                             PolicyKind Kind) {
  static std::map<std::pair<std::string, PolicyKind>, ReplayResult> Known;
  std::pair<std::string, PolicyKind> Key(Of.m_Name + "/" + What.m_Name, Kind);
  auto Found = Known.find(Key);
  if (Found == Known.end())
    Found =
        Known.emplace(Key, replay(Of, What, Folder, settingsOf(Kind))).first;
  return Found->second;
}

/// Whether \p Left attains more than \p Right by more than chance: the seeds
/// are a sample, so losses scatter by the root of their number.
bool isAhead(const ReplayResult &Left, const ReplayResult &Right) {
  double LeftLost = Left.m_Requests - Left.m_Attained;
  double RightLost = Right.m_Requests - Right.m_Attained;
  return RightLost - LeftLost > 2 * std::sqrt(LeftLost + RightLost);
}

void checkExactAnswers(const Deployment &Of) {
  for (const Scenario &What : scenarios()) {
    CAPTURE(What.m_Name);
    const ReplayResult &Result = resultOf(Of, What, PolicyKind::Predictive);
    CHECK(Result.m_Wrong == 0);
    CHECK(Result.m_Requests > 0);
    uint32_t Ended = Result.m_Attained + Result.m_Refused + Result.m_Broken;
    CHECK(Ended == Result.m_Requests);
  }
}

void checkNoBaselineAhead(const Deployment &Of) {
  for (const Scenario &What : scenarios()) {
    const ReplayResult &Ours = resultOf(Of, What, PolicyKind::Predictive);
    for (PolicyKind Kind : Baselines) {
      CAPTURE(What.m_Name);
      CAPTURE(std::string(core::routing::toString(Kind)));
      CAPTURE(Ours.m_Attained);
      const ReplayResult &Theirs = resultOf(Of, What, Kind);
      CAPTURE(Theirs.m_Attained);
      CHECK(Theirs.m_Wrong == 0);
      CHECK_FALSE(isAhead(Theirs, Ours));
    }
  }
}

/// Ten requests in a hundred more than each baseline.
void checkBurstTarget(const Deployment &Of, const std::string &Name) {
  constexpr double TargetShare = 0.10;
  for (const Scenario &What : scenarios()) {
    if (What.m_Name != Name)
      continue;
    const ReplayResult &Ours = resultOf(Of, What, PolicyKind::Predictive);
    for (PolicyKind Kind : Baselines) {
      CAPTURE(std::string(core::routing::toString(Kind)));
      const ReplayResult &Theirs = resultOf(Of, What, Kind);
      double Gain = static_cast<double>(Ours.m_Attained) - Theirs.m_Attained;
      CHECK(Gain >= TargetShare * Ours.m_Requests);
    }
  }
}

void checkStoreOutage(const Deployment &Of) {
  const Scenario What = scenarios().back();
  REQUIRE(What.m_Faults.m_StoreOut);
  const ReplayResult &Result = resultOf(Of, What, PolicyKind::Predictive);
  uint32_t Unkeyed = Result.m_Requests - Result.m_KeyedRequests;
  CHECK(Result.m_Attained - Result.m_KeyedAttained == Unkeyed);
  CHECK(Result.m_KeyedAttained > 0);
  CHECK(Result.m_Refused == Result.m_KeyedRequests - Result.m_KeyedAttained);
}

} // namespace

TEST_CASE("dielectrica: every answer is whole, own and single") {
  checkExactAnswers(dielectrica());
}

TEST_CASE("nile: every answer is whole, own and single") {
  checkExactAnswers(nile());
}

TEST_CASE("dielectrica: an outage of the store touches keyed calls alone") {
  checkStoreOutage(dielectrica());
}

TEST_CASE("nile: an outage of the store touches keyed calls alone") {
  checkStoreOutage(nile());
}

TEST_CASE("dielectrica: no baseline is ahead on any trace") {
  checkNoBaselineAhead(dielectrica());
}

TEST_CASE("nile: no baseline is ahead on any trace") {
  checkNoBaselineAhead(nile());
}

TEST_CASE("target: dielectrica attains ten in 100 more on a burst") {
  checkBurstTarget(dielectrica(), "burst");
}

TEST_CASE("target: dielectrica attains ten in 100 more on bursts in turn") {
  checkBurstTarget(dielectrica(), "turns");
}

TEST_CASE("target: nile attains ten in 100 more on a burst") {
  checkBurstTarget(nile(), "burst");
}

TEST_CASE("target: nile attains ten in 100 more on bursts in turn") {
  checkBurstTarget(nile(), "turns");
}

} // namespace bronzepass::unit_tests::traces
