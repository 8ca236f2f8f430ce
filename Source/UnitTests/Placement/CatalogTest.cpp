#include "Core/Placement/Catalog.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::placement {

using namespace core;

TEST_CASE("every pool may load, however small its share of the engines is, and "
          "all pools together load no more than the weight store allows") {
  auto Value = std::make_shared<model::Intent>();
  Value->m_WeightStore.m_ConcurrentLoads = 8;
  const char *Pools[] = {"c-large", "b-middle", "a-small"};
  const int Engines[] = {60, 20, 1};
  for (int P = 0; P < 3; ++P) {
    const model::LabelMap Label = {{"pool", Pools[P]}};
    model::PoolSpec Pool{.m_Name = model::PoolId(Pools[P]), .m_Labels = Label};
    for (int E = 0; E < Engines[P]; ++E)
      Pool.m_Endpoints.push_back(
          {.m_Name = model::EndpointId(Pools[P] + std::to_string(E)),
           .m_MemoryBytes = 100ULL << 30});
    Value->m_Pools.push_back(Pool);
    Value->m_Models.push_back(
        {.m_Name = model::ModelId(Pools[P]),
         .m_Labels = Label,
         .m_Versions = {{.m_Version = "1", .m_MemoryBytes = 1ULL << 30}}});
    Value->m_Selectors.push_back({.m_Name = Pools[P],
                                  .m_Action = model::SelectorAction::Place,
                                  .m_Models = {Label},
                                  .m_Pools = {Label}});
  }
  const core::placement::Catalog Catalog(Value);
  uint32_t Sum = 0;
  for (const char *Pool : Pools) {
    CHECK(Catalog.concurrentLoads(model::PoolId(Pool)) >= 1);
    Sum += Catalog.concurrentLoads(model::PoolId(Pool));
  }
  CHECK(Sum <= 8);
}

} // namespace bronzepass::unit_tests::placement
