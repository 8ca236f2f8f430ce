// Replays all scenarios at the sizes of both deployments and prints one line
// for each policy.
#include "Benchmarks/Placement/Replay.h"

#include <cstdio>
#include <cstdlib>

namespace bronzepass::benchmarks::placement {

namespace {

void print(const std::string &Deployment, const std::string &Name,
           const std::string &Policy, const Outcome &Value) {
  std::printf("%-12s %-12s %-14s %8.4f %10.1f %6lu %8lu %11.0f %9.0f %8.3f\n",
              Deployment.c_str(), Name.c_str(), Policy.c_str(),
              Value.m_Attained, Value.m_InTimePerAccelerator,
              static_cast<unsigned long>(Value.m_Moves),
              static_cast<unsigned long>(Value.m_AdapterLoads),
              Value.m_UnreachableSeconds, Value.m_RecoverySeconds,
              Value.m_MaxPromisedShare);
  std::fflush(stdout);
}

int runAll(double Hours) {
  const model::Duration Day = std::chrono::duration_cast<model::Duration>(
      std::chrono::duration<double, std::ratio<3600>>(Hours));
  const std::vector<Scenario> Scenarios = scenarios(Day);
  std::printf("%-12s %-12s %-14s %8s %10s %6s %8s %11s %9s %8s\n", "deployment",
              "scenario", "policy", "attained", "intime/acc", "moves",
              "adapters", "unreachable", "recovery", "promised");
  for (const DeploymentSize &Size : {dielectrica(), nileBulkyHaul()})
    for (const Scenario &Played : Scenarios) {
      const auto Value =
          std::make_shared<const model::Intent>(makeIntent(Size));
      for (const std::unique_ptr<Fleet> &Engines : fleets(Value)) {
        // The baselines don't support versions.
        if (Played.m_Name == "rollout" && Engines->name() != "bronzepass")
          continue;
        print(Size.m_Name, Played.m_Name, Engines->name(),
              replay(Played, *Value, *Engines));
      }
    }
  return 0;
}

} // namespace

} // namespace bronzepass::benchmarks::placement

/// Usage: PlacementReplay [hours of the day's replay, 24]
int main(int Count, char **Arguments) {
  const double Hours = Count > 1 ? std::atof(Arguments[1]) : 24;
  return bronzepass::benchmarks::placement::runAll(Hours);
}
