// Measures what deciding whose a request is costs a node: 10,000 keys of 1,000
// organisations.

#include "Benchmarks/Routing/AllocationCounter.h"
#include "Core/Organisations/AccessControl.h"

#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

namespace bronzepass::benchmarks::organisations {

using namespace core::organisations; // NOLINT: names of the measured code.

namespace {

constexpr size_t Organisations = 1000;
constexpr size_t KeysEach = 10;

std::string keyText(size_t Number) {
  return "key-" + std::to_string(Number) + "-of-a-usual-length";
}

OrganisationTable largeTable() {
  std::vector<OrganisationSpec> All(Organisations);
  for (size_t I = 0; I < Organisations; ++I) {
    All[I].m_Name = "organisation-" + std::to_string(I);
    for (size_t Key = 0; Key < KeysEach; ++Key)
      All[I].m_Keys.push_back(digestOf(keyText(I * KeysEach + Key)));
  }
  return OrganisationTable(std::move(All));
}

/// Argument: 0 for keys that organisations hold, 1 for others.
void keyToOrganisation(benchmark::State &State) {
  const OrganisationTable Table = largeTable();
  const AccessControl Access{core::model::Duration(0)};
  std::vector<std::string> Keys;
  const size_t First = State.range(0) == 0 ? 0 : Organisations * KeysEach;
  for (size_t I = 0; I < Organisations * KeysEach; ++I)
    Keys.push_back(keyText(First + I));
  size_t Next = 0;
  const uint64_t Before = routing::allocationCount();
  for (auto Step : State) {
    const Credential Read{Credential::State::Present, digestOf(Keys[Next])};
    benchmark::DoNotOptimize(
        Access.decide(&Table, false, Read, core::model::TimePoint()));
    Next = Next + 1 < Keys.size() ? Next + 1 : 0;
  }
  State.counters["allocations"] =
      static_cast<double>(routing::allocationCount() - Before);
}
BENCHMARK(keyToOrganisation)->Arg(0)->Arg(1);

} // namespace

} // namespace bronzepass::benchmarks::organisations
