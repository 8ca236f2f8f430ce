// Measures the cost of the control core on one node for systems of increasing
// size. Prints a table, and writes CSV to the file named by the first argument.
// A second argument runs only the trials with that number of nodes.

#include "Benchmarks/Membership/NodeHarness.h"
#include "Benchmarks/Membership/PropagationTime.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <memory>

using namespace std::chrono_literals;
using namespace bronzepass::benchmarks::membership;

namespace {

/// One size of the system with one rate of changes.
struct Trial {
  const char *m_Name;
  Workload m_Workload;
};

std::vector<Trial> trials() {
  std::vector<Trial> Trials;
  for (const auto &[Nodes, Engines, Models] :
       {std::tuple{8, 24, 60}, std::tuple{32, 70, 120},
        std::tuple{96, 212, 240}, std::tuple{190, 420, 480},
        std::tuple{380, 840, 720}}) {
    Workload Rest{Nodes, Engines, Models};
    Rest.m_ChangesPerDay = 0;
    Rest.m_ReplacementsPerHour = 0;
    Rest.m_MovesPerEnginePerHour = 0;
    Trials.push_back({"rest", Rest});
    Trials.push_back({"day", Workload{Nodes, Engines, Models}});
    // Every node is replaced within the hour.
    Workload Churn{Nodes, Engines, Models};
    Churn.m_ReplacementsPerHour = Nodes;
    Trials.push_back({"churn", Churn});
    // Every engine changes its copies once a minute.
    Workload Moves{Nodes, Engines, Models};
    Moves.m_MovesPerEnginePerHour = 60;
    Trials.push_back({"moves", Moves});
  }
  return Trials;
}

void print(std::ostream &Csv, const Trial &Each) {
  const size_t Before = mallinfo2().uordblks;
  auto Node = std::make_unique<NodeHarness>(Each.m_Workload);
  Node->warmUp();
  const Costs Spent = Node->run(10min);
  const double Megabytes =
      static_cast<double>(mallinfo2().uordblks - Before) / 1e6;
  const double Seconds = Spent.m_VirtualSeconds;
  const double OutRate = static_cast<double>(Spent.bytesOut()) / Seconds;
  const double InRate = static_cast<double>(Spent.m_BytesIn) / Seconds;
  const double Calls = static_cast<double>(Spent.storeCalls()) / Seconds;
  const double CpuPercent = Spent.m_CpuSeconds / Seconds * 100;
  std::printf("%-6s %5d %7d %6lu %9.0f %9.0f %8.3f %8.2f %8.1f %9.1f\n",
              Each.m_Name, Each.m_Workload.m_Nodes, Each.m_Workload.m_Engines,
              Spent.m_Links, OutRate, InRate, CpuPercent, Calls, Megabytes,
              Spent.m_WorstEventSeconds * 1000);
  std::fflush(stdout);
  const auto Row = [&](const std::string &Measure, double Value) {
    Csv << Each.m_Name << ',' << Each.m_Workload.m_Nodes << ','
        << Each.m_Workload.m_Engines << ',' << Each.m_Workload.m_Models << ','
        << Measure << ',' << Value << '\n';
  };
  Row("bytes_out_per_s", OutRate);
  Row("bytes_in_per_s", InRate);
  Row("cpu_percent", CpuPercent);
  Row("store_calls_per_s", Calls);
  Row("memory_mb", Megabytes);
  Row("worst_event_ms", Spent.m_WorstEventSeconds * 1000);
  for (const auto &[Type, Bytes] : Spent.m_BytesOut)
    Row("bytes_out_per_s_" + Type, static_cast<double>(Bytes) / Seconds);
  for (const auto &[Verb, Count] : Spent.m_StoreCalls)
    Row("store_calls_per_s_" + Verb, static_cast<double>(Count) / Seconds);
}

/// Prints how long a generation takes to spread from one node to all.
void printPropagation(std::ostream &Csv) {
  std::printf("one generation from one node to all\n%5s %6s %8s %9s %s\n",
              "nodes", "degree", "max hops", "mean hops",
              "last node, s, at 50 / 200 ms to adopt");
  for (const int Nodes : {8, 32, 96, 190, 380}) {
    const Propagation Fast = propagationTime(Nodes, 0.05);
    const Propagation Slow = propagationTime(Nodes, 0.2);
    std::printf("%5d %6d %8d %9.2f %.2f / %.2f\n", Nodes, Fast.m_MaxDegree,
                Fast.m_MaxHops, Fast.m_MeanHops, Fast.m_LastSeconds,
                Slow.m_LastSeconds);
    Csv << "reach," << Nodes << ",0,0,last_node_s_at_200ms,"
        << Slow.m_LastSeconds << '\n';
  }
}

} // namespace

int main(int ArgCount, char **Args) {
  std::ofstream Csv(ArgCount > 1 ? Args[1] : "/dev/null");
  const int OnlyNodes = ArgCount > 2 ? std::atoi(Args[2]) : 0; // NOLINT
  Csv << "trial,nodes,engines,models,measure,value\n";
  printPropagation(Csv);
  std::printf("\n10 min of virtual time on one control core; memory includes "
              "the played object API\n%-6s %5s %7s %6s %9s %9s %8s %8s %8s "
              "%9s\n",
              "trial", "nodes", "engines", "links", "B/s out", "B/s in",
              "cpu %", "calls/s", "MB", "worst ms");
  std::fflush(stdout);
  for (const Trial &Each : trials())
    if (OnlyNodes == 0 || Each.m_Workload.m_Nodes == OnlyNodes)
      print(Csv, Each);
  return 0;
}
