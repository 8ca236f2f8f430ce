#include "Core/Membership/Overlay.h"

#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace bronzepass::core;
using bronzepass::core::membership::Overlay;

namespace bronzepass::unit_tests::membership {

namespace {

struct Member {
  model::VmId m_Vm;
  model::RegionId m_Region;
};

std::vector<Member> makeMembers(int Count) {
  std::vector<Member> Members;
  for (int I = 0; I < Count; ++I)
    Members.push_back({model::VmId("vm-" + std::to_string(I)),
                       model::RegionId("region-" + std::to_string(I % 3))});
  return Members;
}

Overlay overlayOf(const Member &Self, const std::vector<Member> &All) {
  Overlay Links(Self.m_Vm, Self.m_Region);
  for (const Member &Other : All)
    Links.put(Other.m_Vm, Other.m_Region, true);
  return Links;
}

using Graph = std::map<model::VmId, std::set<model::VmId>>;

Graph graphOf(const std::vector<Member> &All) {
  Graph Links;
  for (const Member &Self : All)
    for (const model::VmId &Next : overlayOf(Self, All).successors()) {
      Links[Self.m_Vm].insert(Next);
      Links[Next].insert(Self.m_Vm);
    }
  return Links;
}

/// The number of VMs for which \p Stays is true that are reachable from the
/// first of them.
size_t countReachable(const Graph &Links,
                      const std::function<bool(const model::VmId &)> &Stays) {
  std::vector<model::VmId> Open;
  for (const auto &[Vm, Unused] : Links)
    if (Open.empty() && Stays(Vm))
      Open.push_back(Vm);
  std::set<model::VmId> Seen(Open.begin(), Open.end());
  while (!Open.empty()) {
    const model::VmId From = Open.back();
    Open.pop_back();
    for (const model::VmId &Next : Links.at(From))
      if (Stays(Next) && Seen.insert(Next).second)
        Open.push_back(Next);
  }
  return Seen.size();
}

} // namespace

TEST_CASE("the degree is bounded and both ends agree on a link") {
  for (const int Count : {1, 2, 3, 8, 100}) {
    const std::vector<Member> All = makeMembers(Count);
    const Graph Links = graphOf(All);
    for (const Member &Self : All) {
      if (Count > 1)
        CHECK(Links.at(Self.m_Vm).size() <= Overlay::MaxDegree);
      for (const model::VmId &Before : overlayOf(Self, All).predecessors()) {
        const auto Other =
            std::find_if(All.begin(), All.end(), [&Before](const Member &P) {
              return P.m_Vm == Before;
            });
        CHECK(overlayOf(*Other, All).successors().contains(Self.m_Vm));
      }
    }
  }
}

TEST_CASE("a tenth of the nodes lost at once leaves the rest connected") {
  const std::vector<Member> All = makeMembers(200);
  const Graph Links = graphOf(All);
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::set<model::VmId> Lost;
    while (Lost.size() < 20)
      Lost.insert(All[Random() % All.size()].m_Vm);
    CHECK(countReachable(Links, [&Lost](const model::VmId &Vm) {
            return !Lost.contains(Vm);
          }) == 180);
  }
}

TEST_CASE("a region partitioned from the others stays connected") {
  const std::vector<Member> All = makeMembers(200);
  const Graph Links = graphOf(All);
  std::set<model::VmId> Region;
  for (const Member &P : All)
    if (P.m_Region.str() == "region-1")
      Region.insert(P.m_Vm);
  CHECK(countReachable(Links, [&Region](const model::VmId &Vm) {
          return Region.contains(Vm);
        }) == Region.size());
}

TEST_CASE("unreachable VMs are skipped as successors and probed") {
  const std::vector<Member> All = makeMembers(30);
  Overlay Links = overlayOf(All[0], All);
  const std::set<model::VmId> Before = Links.successors();
  const model::VmId Down = *Before.begin();
  const auto Found =
      std::find_if(All.begin(), All.end(),
                   [&Down](const auto &P) { return P.m_Vm == Down; });
  Links.put(Down, Found->m_Region, false);
  CHECK_FALSE(Links.successors().contains(Down));
  CHECK(Links.probes().contains(Down));
}

} // namespace bronzepass::unit_tests::membership
