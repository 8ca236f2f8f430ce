// Measures the cost of routing at the size expected within two years: 380
// nodes, 840 engines and 720 models.

#include "Benchmarks/Routing/AllocationCounter.h"
#include "Core/Routing/TrafficCore.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

namespace bronzepass::benchmarks::routing {

using namespace core;          // NOLINT: names of the measured code.
using namespace core::routing; // NOLINT

namespace {

constexpr uint32_t Engines = 840;
constexpr uint32_t Models = 720;
constexpr uint32_t Nodes = 380;
constexpr uint32_t Domains = 7;
constexpr uint32_t CopiesPerModel = 4;
constexpr uint32_t Callers = 200;
constexpr uint32_t PrefixBlocks = 8;
constexpr model::TimePoint StartTime{std::chrono::hours(1)};

class SeededRandom final : public ports::Random {
public:
  uint64_t next() override { return m_Engine(); }

private:
  std::mt19937_64 m_Engine{1};
};

model::Intent largeIntent(uint32_t EngineCount, uint32_t ModelCount) {
  model::Intent Intent;
  model::PoolSpec Pool;
  Pool.m_Name = model::PoolId("engines");
  for (uint32_t Index = 0; Index < EngineCount; ++Index)
    Pool.m_Endpoints.push_back(
        {.m_Name = model::EndpointId("engine-" + std::to_string(Index)),
         .m_Address = {"10.0.0.1", 8000},
         .m_Domain = model::DomainId("d" + std::to_string(Index % Domains)),
         .m_Slots = 16});
  Intent.m_Pools.push_back(Pool);
  for (uint32_t Index = 0; Index < ModelCount; ++Index) {
    model::ModelSpec Spec;
    Spec.m_Name = model::ModelId("model-" + std::to_string(Index));
    Spec.m_Labels = {{"use", Index % 2 == 0 ? "gas" : "booking"}};
    Spec.m_Versions.push_back({.m_Version = "1"});
    Intent.m_Models.push_back(Spec);
  }
  for (uint32_t Index = 0; Index < Callers; ++Index)
    Intent.m_Callers.push_back(
        {.m_Name = model::CallerId("caller-" + std::to_string(Index)),
         .m_Labels = {{"team", "crew"}}});
  return Intent;
}

RoutingInputs largeInputs(uint32_t EngineCount, uint32_t ModelCount) {
  RoutingInputs Inputs;
  Inputs.m_Intent =
      std::make_shared<model::Intent>(largeIntent(EngineCount, ModelCount));
  for (uint32_t Model = 0; Model < ModelCount; ++Model) {
    for (uint32_t Copy = 0; Copy < CopiesPerModel; ++Copy) {
      uint32_t Engine = (Model * 7 + Copy * 211) % EngineCount;
      Inputs.m_Copies.push_back(
          {{Inputs.m_Intent->m_Models[Model].m_Name, "1", model::AdapterId()},
           Inputs.m_Intent->m_Pools[0].m_Endpoints[Engine].m_Name,
           model::CopyState::Serving});
    }
  }
  for (uint32_t Index = 0; Index < Nodes; ++Index) {
    model::NodeInfo Node;
    Node.m_Node = model::NodeId("node-" + std::to_string(Index));
    Node.m_Domain = model::DomainId("d" + std::to_string(Index % Domains));
    Inputs.m_Nodes.push_back(Node);
  }
  Inputs.m_Self = Inputs.m_Nodes[0];
  return Inputs;
}

model::Request request(uint64_t Id, const model::Intent &Intent) {
  model::Request Request;
  Request.m_Id = {Id};
  Request.m_Caller = Intent.m_Callers[Id % Callers].m_Name;
  Request.m_Model = Intent.m_Models[Id % Intent.m_Models.size()].m_Name;
  Request.m_Deadline = StartTime + std::chrono::hours(1);
  Request.m_PromptTokens = 512;
  Request.m_MaxTokens = 200;
  for (uint64_t Block = 0; Block < PrefixBlocks; ++Block)
    Request.m_PrefixHashes.push_back(Id % 1000 * 977 + Block);
  return Request;
}

/// Routes a request up to the choice of its endpoint.
void chooseEndpoint(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  SeededRandom RandomSource;
  TrafficCore Core(TrafficSettings(), RandomSource, Inputs.m_Self);
  TrafficEffectList Out;
  Core.handle(TableChanged{RoutingTable::build(Inputs)}, StartTime, Out);
  std::vector<model::Request> Requests;
  std::vector<model::ArtifactId> Artifacts;
  for (uint64_t Id = 0; Id < Models; ++Id) {
    Requests.push_back(request(Id, *Inputs.m_Intent));
    Artifacts.push_back({Requests.back().m_Model, "1", model::AdapterId()});
    Core.preview(Requests.back(), Artifacts.back(), StartTime);
  }
  size_t Next = 0;
  uint64_t Before = allocationCount();
  for (auto _ : State) {
    std::optional<EndpointIndex> Chosen =
        Core.preview(Requests[Next], Artifacts[Next], StartTime);
    benchmark::DoNotOptimize(Chosen);
    Next = (Next + 1) % Requests.size();
  }
  State.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocationCount() - Before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(chooseEndpoint);

/// Handles all events of a request, without (0) or with (1) the log line of its
/// routing decision.
void wholeRequest(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  SeededRandom RandomSource;
  TrafficSettings Settings;
  Settings.m_LogDecisions = State.range(0) != 0;
  TrafficCore Core(Settings, RandomSource, Inputs.m_Self);
  TrafficEffectList Out;
  Core.handle(TableChanged{RoutingTable::build(Inputs)}, StartTime, Out);
  uint64_t Id = 0;
  uint64_t Attempt = 0;
  for (auto _ : State) {
    Out.clear();
    Core.handle(RequestArrived{request(++Id, *Inputs.m_Intent)}, StartTime,
                Out);
    Core.handle(AttemptHead{{++Attempt}, 200}, StartTime, Out);
    Core.handle(AttemptChunk{{Attempt}, 0, 100, 20}, StartTime, Out);
    Core.handle(AttemptEnded{{Attempt}, AttemptOutcome::Complete, 200, ""},
                StartTime, Out);
    benchmark::DoNotOptimize(Out.data());
  }
}
BENCHMARK(wholeRequest)->Arg(0)->Arg(1);

void buildTable(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  for (auto _ : State) {
    std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
    benchmark::DoNotOptimize(Table.get());
  }
}
BENCHMARK(buildTable)->Unit(benchmark::kMillisecond);

/// Rebuilds the table from a previous one with the same nodes.
void rebuildTable(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  for (auto _ : State) {
    Table = RoutingTable::build(Inputs, Table.get());
    benchmark::DoNotOptimize(Table.get());
  }
}
BENCHMARK(rebuildTable)->Unit(benchmark::kMillisecond);

/// How many engines a node connects to directly, and how often a request
/// arrives at a node that has no direct connection to a copy of its model.
void driverSpread(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  std::vector<uint32_t> DirectEndpoints(Nodes);
  uint64_t Hops = 0;
  for (auto _ : State) {
    std::fill(DirectEndpoints.begin(), DirectEndpoints.end(), 0);
    Hops = 0;
    for (const TableEndpoint &Endpoint : Table->endpoints()) {
      for (uint32_t Node : Endpoint.m_DirectNodes)
        ++DirectEndpoints[Node];
    }
    for (const model::ModelSpec &Spec : Inputs.m_Intent->m_Models) {
      const TableModel *Model = Table->findModel(Spec.m_Name);
      std::set<uint32_t> DirectNodes;
      for (EndpointIndex Index : Model->m_Versions[0].m_Copies.m_Serving) {
        const TableEndpoint &Endpoint = Table->endpoints()[Index];
        DirectNodes.insert(Endpoint.m_DirectNodes.begin(),
                           Endpoint.m_DirectNodes.end());
      }
      Hops += Nodes - DirectNodes.size();
    }
  }
  State.counters["driven_mean"] =
      static_cast<double>(
          std::accumulate(DirectEndpoints.begin(), DirectEndpoints.end(), 0U)) /
      Nodes;
  State.counters["driven_max"] =
      *std::max_element(DirectEndpoints.begin(), DirectEndpoints.end());
  State.counters["hop_share"] =
      static_cast<double>(Hops) / (static_cast<double>(Nodes) * Models);
}
BENCHMARK(driverSpread)->Unit(benchmark::kMillisecond);

int64_t tableBytes(uint32_t EngineCount, uint32_t ModelCount) {
  RoutingInputs Inputs = largeInputs(EngineCount, ModelCount);
  int64_t Before = allocatedBytes();
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  return allocatedBytes() - Before;
}

/// Memory of the table in all, and per additional engine and model.
void tableMemory(benchmark::State &State) {
  int64_t Whole = 0;
  for (auto _ : State)
    Whole = tableBytes(Engines, Models);
  State.counters["table_bytes"] = static_cast<double>(Whole);
  State.counters["bytes_per_engine"] =
      static_cast<double>(Whole - tableBytes(Engines / 2, Models)) /
      (Engines / 2.0);
  State.counters["bytes_per_model"] =
      static_cast<double>(Whole - tableBytes(Engines, Models / 2)) /
      (Models / 2.0);
}
BENCHMARK(tableMemory)->Unit(benchmark::kMillisecond);

/// Memory of a traffic core with every engine in its table.
void coreMemory(benchmark::State &State) {
  RoutingInputs Inputs = largeInputs(Engines, Models);
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  for (auto _ : State) {
    int64_t Before = allocatedBytes();
    SeededRandom RandomSource;
    TrafficCore Core(TrafficSettings(), RandomSource, Inputs.m_Self);
    TrafficEffectList Out;
    Core.handle(TableChanged{Table}, StartTime, Out);
    State.counters["core_bytes"] =
        static_cast<double>(allocatedBytes() - Before);
  }
}
BENCHMARK(coreMemory)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace bronzepass::benchmarks::routing
