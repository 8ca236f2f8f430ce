#include "Benchmarks/Membership/PropagationTime.h"

#include "Core/Membership/Overlay.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

using namespace bronzepass::core;

namespace bronzepass::benchmarks::membership {

namespace {

constexpr double NearSeconds = 0.0015;
constexpr double FarSeconds = 0.020;
constexpr int MessagesPerHop = 3;

model::VmId vmOf(int Node) {
  return model::VmId("vm-entry-" + std::to_string(Node));
}

int regionOf(int Node) { return Node % 7 % 3; }

std::vector<std::vector<int>> overlayLinks(int Nodes) {
  std::map<model::VmId, int> Numbers;
  for (int I = 0; I < Nodes; ++I)
    Numbers[vmOf(I)] = I;
  std::vector<std::vector<int>> Links(Nodes);
  const auto Region = [](int Node) {
    return model::RegionId("region-" + std::to_string(regionOf(Node)));
  };
  for (int Self = 0; Self < Nodes; ++Self) {
    core::membership::Overlay Overlay(vmOf(Self), Region(Self));
    for (int Other = 0; Other < Nodes; ++Other)
      Overlay.put(vmOf(Other), Region(Other), true);
    std::set<model::VmId> Near = Overlay.successors();
    Near.merge(Overlay.predecessors());
    for (const model::VmId &Vm : Near)
      Links[Self].push_back(Numbers.at(Vm));
  }
  return Links;
}

} // namespace

Propagation propagationTime(int Nodes, double AdoptSeconds) {
  const std::vector<std::vector<int>> Links = overlayLinks(Nodes);
  Propagation Result;
  std::vector<int> Hops(Nodes, -1);
  std::queue<int> Open;
  Hops[0] = 0;
  for (Open.push(0); !Open.empty(); Open.pop())
    for (const int Next : Links[Open.front()])
      if (Hops[Next] < 0) {
        Hops[Next] = Hops[Open.front()] + 1;
        Open.push(Next);
      }
  for (const int Count : Hops) {
    Result.m_MaxHops = std::max(Result.m_MaxHops, Count);
    Result.m_MeanHops += static_cast<double>(Count) / Nodes;
  }
  using Arrival = std::pair<double, int>;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> Due;
  std::vector<double> At(Nodes, std::numeric_limits<double>::infinity());
  At[0] = 0;
  for (Due.push({0, 0}); !Due.empty();) {
    const auto [Time, Node] = Due.top();
    Due.pop();
    if (Time > At[Node])
      continue;
    for (const int Next : Links[Node]) {
      const bool IsNear = regionOf(Node) == regionOf(Next);
      const double Arrives =
          Time + AdoptSeconds +
          MessagesPerHop * (IsNear ? NearSeconds : FarSeconds);
      if (Arrives < At[Next]) {
        At[Next] = Arrives;
        Due.push({Arrives, Next});
      }
    }
  }
  Result.m_LastSeconds = *std::max_element(At.begin(), At.end()) + AdoptSeconds;
  for (const std::vector<int> &Near : Links)
    Result.m_MaxDegree =
        std::max(Result.m_MaxDegree, static_cast<int>(Near.size()));
  return Result;
}

} // namespace bronzepass::benchmarks::membership
