#include "UnitTests/Traces/Replay.h"
#include "Core/Routing/EndpointPolicy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests::traces {

using core::routing::PolicyKind;

namespace {

constexpr const char *Folder = "Source/UnitTests/Traces/Data";
constexpr PolicyKind Baselines[] = {
    PolicyKind::RoundRobin, PolicyKind::LeastInFlight, PolicyKind::PowerOfTwo};

/// Result of a replay, cached for the life of the process.
const ReplayResult &resultOf(const Deployment &Of, const Scenario &Case,
                             PolicyKind Kind) {
  static std::map<std::pair<std::string, PolicyKind>, ReplayResult> Cached;
  std::pair<std::string, PolicyKind> Key(Of.m_Name + "/" + Case.m_Name, Kind);
  auto Found = Cached.find(Key);
  if (Found == Cached.end())
    Found =
        Cached.emplace(Key, replay(Of, Case, Folder, comparisonSettings(Kind)))
            .first;
  return Found->second;
}

/// Whether \p Left attains more than \p Right by more than two standard
/// deviations. The seeds are a sample, so the standard deviation of a loss
/// count is its square root.
bool attainsSignificantlyMore(const ReplayResult &Left,
                              const ReplayResult &Right) {
  double LeftLost = Left.m_Requests - Left.m_Attained;
  double RightLost = Right.m_Requests - Right.m_Attained;
  return RightLost - LeftLost > 2 * std::sqrt(LeftLost + RightLost);
}

void checkExactAnswers(const Deployment &Of) {
  for (const Scenario &Case : scenarios()) {
    CAPTURE(Case.m_Name);
    const ReplayResult &Result = resultOf(Of, Case, PolicyKind::Predictive);
    CHECK(Result.m_CorrectnessViolations == 0);
    CHECK(Result.m_Requests > 0);
    uint32_t Ended = Result.m_Attained + Result.m_Refused + Result.m_Broken;
    CHECK(Ended == Result.m_Requests);
  }
}

void checkNoBaselineAttainsMore(const Deployment &Of) {
  for (const Scenario &Case : scenarios()) {
    const ReplayResult &PredictiveResult =
        resultOf(Of, Case, PolicyKind::Predictive);
    for (PolicyKind Kind : Baselines) {
      CAPTURE(Case.m_Name);
      CAPTURE(std::string(core::routing::toString(Kind)));
      CAPTURE(PredictiveResult.m_Attained);
      const ReplayResult &BaselineResult = resultOf(Of, Case, Kind);
      CAPTURE(BaselineResult.m_Attained);
      CHECK(BaselineResult.m_CorrectnessViolations == 0);
      CHECK_FALSE(attainsSignificantlyMore(BaselineResult, PredictiveResult));
    }
  }
}

/// Checks that the predictive policy attains at least 10 % of all requests more
/// than each baseline.
void checkBurstTarget(const Deployment &Of, const std::string &Name) {
  constexpr double TargetShare = 0.10;
  const std::vector<Scenario> All = scenarios();
  const auto Case =
      std::find_if(All.begin(), All.end(),
                   [&](const Scenario &Each) { return Each.m_Name == Name; });
  REQUIRE(Case != All.end());
  const ReplayResult &PredictiveResult =
      resultOf(Of, *Case, PolicyKind::Predictive);
  for (PolicyKind Kind : Baselines) {
    CAPTURE(std::string(core::routing::toString(Kind)));
    const ReplayResult &BaselineResult = resultOf(Of, *Case, Kind);
    double Gain = static_cast<double>(PredictiveResult.m_Attained) -
                  BaselineResult.m_Attained;
    CHECK(Gain >= TargetShare * PredictiveResult.m_Requests);
  }
}

void checkStoreOutage(const Deployment &Of) {
  const Scenario Case = scenarios().back();
  REQUIRE(Case.m_Faults.m_StoreOutage);
  const ReplayResult &Result = resultOf(Of, Case, PolicyKind::Predictive);
  uint32_t Unkeyed = Result.m_Requests - Result.m_KeyedRequests;
  CHECK(Result.m_Attained - Result.m_KeyedAttained == Unkeyed);
  CHECK(Result.m_KeyedAttained > 0);
  CHECK(Result.m_Refused == Result.m_KeyedRequests - Result.m_KeyedAttained);
}

} // namespace

TEST_CASE("dielectrica: each request gets exactly one correct answer") {
  checkExactAnswers(dielectrica());
}

TEST_CASE("nile: each request gets exactly one correct answer") {
  checkExactAnswers(nile());
}

TEST_CASE("dielectrica: a store outage affects keyed calls only") {
  checkStoreOutage(dielectrica());
}

TEST_CASE("nile: a store outage affects keyed calls only") {
  checkStoreOutage(nile());
}

TEST_CASE("dielectrica: no baseline attains significantly more") {
  checkNoBaselineAttainsMore(dielectrica());
}

TEST_CASE("nile: no baseline attains significantly more") {
  checkNoBaselineAttainsMore(nile());
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
