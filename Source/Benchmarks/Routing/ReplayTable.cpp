// Replays every recorded trace under every policy and prints how many requests
// met their deadline: ReplayTable [<scenario>]. It runs in virtual time, so the
// figures don't depend on the machine.

#include "Core/Routing/EndpointPolicy.h"
#include "UnitTests/Traces/Replay.h"

#include <cstdio>
#include <string>

using namespace bronzepass::unit_tests::traces; // NOLINT: a program's own file.
using bronzepass::core::routing::PolicyKind;

namespace {

constexpr const char *Folder = "Source/UnitTests/Traces/Data";

void printLine(const Deployment &Target, const Scenario &Workload,
               PolicyKind Kind) {
  ReplayResult Result =
      replay(Target, Workload, Folder, comparisonSettings(Kind));
  std::printf("| %-11s | %-12s | %-15s | %8u | %8u | %5.1f | %7.1f | %7u | "
              "%5u | %6u | %5u |\n",
              Target.m_Name.c_str(), Workload.m_Name.c_str(), toString(Kind),
              Result.m_Requests, Result.m_Attained,
              100.0 * Result.m_Attained / Result.m_Requests,
              Result.m_AttainedPerAccelerator, Result.m_Refused,
              Result.m_RefusedAfterDeadline, Result.m_Broken,
              Result.m_CorrectnessViolations);
}

} // namespace

int main(int Count, char **Arguments) {
  std::string OnlyScenario = Count > 1 ? Arguments[1] : "";
  std::printf("| deployment  | scenario     | policy          | requests | "
              "attained | in %%  | per acc | refused | late  | broken | wrong "
              "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Deployment &Target : {dielectrica(), nile()}) {
    for (const Scenario &Workload : scenarios()) {
      if (!OnlyScenario.empty() && OnlyScenario != Workload.m_Name)
        continue;
      for (PolicyKind Kind : {PolicyKind::RoundRobin, PolicyKind::LeastInFlight,
                              PolicyKind::PowerOfTwo, PolicyKind::Predictive})
        printLine(Target, Workload, Kind);
    }
  }
  return 0;
}
