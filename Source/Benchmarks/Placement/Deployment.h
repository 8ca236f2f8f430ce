#ifndef BRONZEPASS_BENCHMARKS_PLACEMENT_DEPLOYMENT_H
#define BRONZEPASS_BENCHMARKS_PLACEMENT_DEPLOYMENT_H

#include "Core/Model/Intent.h"

#include <array>
#include <string>

namespace bronzepass::benchmarks::placement {

namespace model = core::model;

constexpr uint64_t GiB = uint64_t(1) << 30;

/// Size of a deployment, from which an intent is generated.
struct DeploymentSize {
  std::string m_Name;
  uint32_t m_Engines = 0;
  uint32_t m_Domains = 1;
  uint32_t m_Models = 0;
  uint32_t m_Adapters = 0;
  double m_LoadsPerSecond = 2;
  uint32_t m_ConcurrentLoads = 8;
  double m_MoveWeight = 1;
};

inline DeploymentSize dielectrica() {
  return {"dielectrica", 12, 4, 15, 77, 2, 8, 100};
}
inline DeploymentSize nileBulkyHaul() {
  return {"nile", 18, 3, 31, 98, 3, 10, 20};
}

inline std::string numbered(const std::string &Prefix, uint32_t Number) {
  return Prefix + std::to_string(Number);
}

/// Generates an intent of that size: 80 GiB engines, models of 14 to 58 GiB
/// that load in 35 to 70 s, adapters of 0.25 to 0.5 GiB.
inline model::Intent makeIntent(const DeploymentSize &Size) {
  constexpr std::array<uint64_t, 8> Sizes = {58, 14, 30, 46, 16, 38, 28, 32};
  model::Intent Value{.m_Generation = {1}, .m_Name = Size.m_Name};
  model::PoolSpec Pool{.m_Name = model::PoolId("engines")};
  for (uint32_t I = 0; I < Size.m_Engines; ++I)
    Pool.m_Endpoints.push_back(
        {.m_Name = model::EndpointId(numbered("e", 1000 + I)),
         .m_Domain = model::DomainId(numbered("d", I % Size.m_Domains)),
         .m_MemoryBytes = 80 * GiB,
         .m_Accelerators = 2,
         .m_Slots = 16});
  Value.m_Pools.push_back(std::move(Pool));
  for (uint32_t I = 0; I < Size.m_Models; ++I)
    Value.m_Models.push_back(
        {.m_Name = model::ModelId(numbered("m", 1000 + I)),
         .m_Versions = {
             {.m_Version = "v1",
              .m_MemoryBytes = Sizes[I % Sizes.size()] * GiB,
              .m_LoadTime = std::chrono::seconds(35 + I * 7 % 36)}}});
  for (uint32_t I = 0; I < Size.m_Adapters; ++I)
    Value.m_Adapters.push_back(
        {.m_Name = model::AdapterId(numbered("a", I)),
         .m_Base = model::ModelId(numbered("m", 1000 + I % Size.m_Models)),
         .m_MemoryBytes = GiB / (2 + I % 3),
         .m_LoadTime = std::chrono::seconds(5)});
  Value.m_WeightStore = {Size.m_LoadsPerSecond, Size.m_ConcurrentLoads};
  Value.m_Weights = {1, Size.m_MoveWeight};
  return Value;
}

} // namespace bronzepass::benchmarks::placement

#endif // BRONZEPASS_BENCHMARKS_PLACEMENT_DEPLOYMENT_H
