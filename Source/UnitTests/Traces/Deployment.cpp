#include "UnitTests/Traces/Deployment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bronzepass::unit_tests::traces {

using namespace core; // NOLINT: names of the code under test.

namespace {

struct DeploymentSize {
  const char *m_Name;
  uint32_t m_Nodes;
  uint32_t m_Engines;
  uint32_t m_Services;
  uint32_t m_Models;
  uint32_t m_Adapters;
  uint32_t m_Domains;
  uint32_t m_ModelsPerEngine;
  model::Duration m_DomainDelay;
  double m_SteadyRate;
};

constexpr uint32_t EngineSlots = 16;
constexpr uint32_t ServiceSlots = 8;
/// Exponent of the Zipf distribution of model popularity.
constexpr double Skew = 0.8;

model::DomainId domain(uint32_t Index, uint32_t Domains) {
  return model::DomainId("domain-" + std::to_string(Index % Domains));
}

model::PoolSpec pool(const DeploymentSize &Of, model::PoolKind Kind) {
  bool Engines = Kind == model::PoolKind::Engine;
  model::PoolSpec Pool;
  Pool.m_Name = model::PoolId(Engines ? "engines" : "service");
  Pool.m_Kind = Kind;
  Pool.m_PathPrefix = Engines ? "" : "/service";
  Pool.m_Routes = {{"/confirm", false}};
  uint32_t Count = Engines ? Of.m_Engines : Of.m_Services;
  for (uint32_t Index = 0; Index < Count; ++Index) {
    model::EndpointSpec Spec;
    Spec.m_Name = model::EndpointId((Engines ? "engine-" : "service-") +
                                    std::to_string(Index));
    Spec.m_Domain = domain(Index, Of.m_Domains);
    Spec.m_Accelerators = Engines ? 1 : 0;
    Spec.m_Slots = Engines ? EngineSlots : ServiceSlots;
    Pool.m_Endpoints.push_back(Spec);
  }
  return Pool;
}

std::vector<double> popularity(uint32_t Models) {
  std::vector<double> Shares;
  for (uint32_t Index = 0; Index < Models; ++Index)
    Shares.push_back(std::pow(Index + 1, -Skew));
  double Sum = std::accumulate(Shares.begin(), Shares.end(), 0.0);
  for (double &Share : Shares)
    Share /= Sum;
  return Shares;
}

/// Gives each model a number of copies in proportion to its popularity, at
/// least two, and places them on the least loaded engines.
std::vector<std::vector<uint32_t>>
placeCopies(const DeploymentSize &Of, const std::vector<double> &Shares) {
  std::vector<double> Load(Of.m_Engines);
  std::vector<std::vector<uint32_t>> EnginesOf(Of.m_Models);
  double TotalCopies = Of.m_Engines * Of.m_ModelsPerEngine;
  for (uint32_t Model = 0; Model < Of.m_Models; ++Model) {
    uint32_t Copies = std::clamp<uint32_t>(
        std::lround(Shares[Model] * TotalCopies), 2, Of.m_Engines);
    std::vector<uint32_t> Order(Of.m_Engines);
    std::iota(Order.begin(), Order.end(), 0);
    std::stable_sort(Order.begin(), Order.end(),
                     [&Load](uint32_t Left, uint32_t Right) {
                       return Load[Left] < Load[Right];
                     });
    Order.resize(Copies);
    for (uint32_t Engine : Order)
      Load[Engine] += Shares[Model] / Copies;
    EnginesOf[Model] = Order;
  }
  return EnginesOf;
}

void addCopies(const DeploymentSize &Of, const model::Intent &Intent,
               Deployment &Result) {
  std::vector<std::vector<uint32_t>> EnginesOf =
      placeCopies(Of, Result.m_Popularity);
  auto Add = [&Result](const model::ArtifactId &Artifact, uint32_t Engine) {
    Result.m_Inputs.m_Copies.push_back(
        {Artifact, model::EndpointId("engine-" + std::to_string(Engine)),
         model::CopyState::Serving});
  };
  for (uint32_t Model = 0; Model < Of.m_Models; ++Model) {
    const model::ModelId &Name = Intent.m_Models[Model].m_Name;
    for (uint32_t Engine : EnginesOf[Model]) {
      Add({Name, "1", model::AdapterId()}, Engine);
      for (const model::AdapterSpec &Adapter : Intent.m_Adapters) {
        if (Adapter.m_Base == Name)
          Add({Name, "1", Adapter.m_Name}, Engine);
      }
    }
  }
}

Deployment build(const DeploymentSize &Of) {
  Deployment Result;
  Result.m_Name = Of.m_Name;
  Result.m_SteadyRate = Of.m_SteadyRate;
  Result.m_Engines = Of.m_Engines;
  Result.m_Popularity = popularity(Of.m_Models);
  model::Intent Intent;
  Intent.m_Pools = {pool(Of, model::PoolKind::Engine),
                    pool(Of, model::PoolKind::Service)};
  for (uint32_t Index = 0; Index < Of.m_Models; ++Index) {
    model::ModelSpec Spec;
    Spec.m_Name = model::ModelId("model-" + std::to_string(Index));
    Spec.m_Versions = {
        {.m_Version = "1", .m_LoadTime = std::chrono::seconds(50)}};
    Intent.m_Models.push_back(Spec);
  }
  for (uint32_t Index = 0; Index < Of.m_Adapters; ++Index)
    Intent.m_Adapters.push_back(
        {.m_Name = model::AdapterId("adapter-" + std::to_string(Index)),
         .m_Base = Intent.m_Models[Index % Of.m_Models].m_Name});
  addCopies(Of, Intent, Result);
  Result.m_Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  Result.m_Inputs.m_Settings.m_DomainDelay = Of.m_DomainDelay;
  for (uint32_t Index = 0; Index < Of.m_Nodes; ++Index) {
    model::NodeInfo Node;
    Node.m_Node = model::NodeId("node-" + std::to_string(Index));
    Node.m_Domain = domain(Index, Of.m_Domains);
    Result.m_Inputs.m_Nodes.push_back(Node);
  }
  return Result;
}

} // namespace

routing::RoutingInputs Deployment::inputsOf(size_t Index) const {
  routing::RoutingInputs Inputs = m_Inputs;
  Inputs.m_Self = Inputs.m_Nodes[Index];
  return Inputs;
}

Deployment dielectrica() {
  return build({"dielectrica", 8, 12, 4, 15, 77, 4, 4,
                std::chrono::microseconds(1500), 80});
}

Deployment nile() {
  return build(
      {"nile", 6, 18, 3, 31, 98, 3, 5, std::chrono::milliseconds(1), 120});
}

} // namespace bronzepass::unit_tests::traces
