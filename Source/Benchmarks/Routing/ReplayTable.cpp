// Replays every recorded trace under every policy and prints what was attained:
// ReplayTable [<scenario>]. Virtual time: the figures don't depend on the
// machine.

#include "Core/Routing/EndpointPolicy.h"
#include "UnitTests/Traces/Replay.h"

#include <cstdio>
#include <string>

using namespace bronzepass::unit_tests::traces; // NOLINT: a program's own file.
using bronzepass::core::routing::PolicyKind;

namespace {

constexpr const char *Folder = "Source/UnitTests/Traces/Data";

void printLine(const Deployment &Of, const Scenario &What, PolicyKind Kind) {
  ReplayResult Result = replay(Of, What, Folder, comparisonSettings(Kind));
  std::printf("| %-11s | %-12s | %-15s | %8u | %8u | %5.1f | %7.1f | %7u | "
              "%5u | %6u | %5u |\n",
              Of.m_Name.c_str(), What.m_Name.c_str(), toString(Kind),
              Result.m_Requests, Result.m_Attained,
              100.0 * Result.m_Attained / Result.m_Requests,
              Result.m_AttainedPerAccelerator, Result.m_Refused,
              Result.m_RefusedAfterDeadline, Result.m_Broken,
              Result.m_CorrectnessViolations);
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Only = Count > 1 ? Arguments[1] : "";
  std::printf("| deployment  | scenario     | policy          | requests | "
              "attained | in %%  | per acc | refused | late  | broken | wrong "
              "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Deployment &Of : {dielectrica(), nile()}) {
    for (const Scenario &What : scenarios()) {
      if (!Only.empty() && Only != What.m_Name)
        continue;
      for (PolicyKind Kind : {PolicyKind::RoundRobin, PolicyKind::LeastInFlight,
                              PolicyKind::PowerOfTwo, PolicyKind::Predictive})
        printLine(Of, What, Kind);
    }
  }
  return 0;
}
