#include "Core/Placement/Catalog.h"

#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::core::placement {

uint64_t GroupSpec::totalBytes() const {
  uint64_t Sum = m_MemoryBytes;
  for (const GroupAdapter &Adapter : m_Adapters)
    Sum += Adapter.m_MemoryBytes;
  return Sum;
}

bool intersects(const std::vector<uint32_t> &A,
                const std::vector<uint32_t> &B) {
  return std::any_of(A.begin(), A.end(), [&B](uint32_t Member) {
    return std::find(B.begin(), B.end(), Member) != B.end();
  });
}

Catalog::Catalog(std::shared_ptr<const model::Intent> Value)
    : m_Intent(std::move(Value)) {
  for (const model::ModelSpec &Model : m_Intent->m_Models)
    addModel(Model);
  addAdapters();
  assignPools();
  collectDrained();
  countEngines();
}

void Catalog::addModel(const model::ModelSpec &Model) {
  m_Labels[Model.m_Name] = Model.m_Labels;
  GroupSpec Shared;
  Shared.m_MinCopies = std::max<uint32_t>(Model.m_MinCopies, 1);
  for (uint32_t I = 0; I < m_Intent->m_Selectors.size(); ++I) {
    const model::SelectorSpec &Selector = m_Intent->m_Selectors[I];
    if (!Selector.m_Models.matches(Model.m_Labels))
      continue;
    if (Selector.m_Action == model::SelectorAction::Together)
      Shared.m_Together.push_back(I);
    if (Selector.m_Action == model::SelectorAction::Apart)
      Shared.m_Apart.push_back(I);
    if (Selector.m_Action == model::SelectorAction::Retire)
      Shared.m_Retired = true;
  }
  for (const model::VersionSpec &Version : Model.m_Versions) {
    GroupSpec Group = Shared;
    Group.m_Base = {Model.m_Name, Version.m_Version, {}};
    Group.m_MemoryBytes = Version.m_MemoryBytes;
    Group.m_LoadTime = Version.m_LoadTime;
    m_Groups[Group.m_Base] = std::move(Group);
  }
}

void Catalog::addAdapters() {
  std::map<model::ModelId, std::vector<GroupSpec *>> ByModel;
  for (auto &Entry : m_Groups)
    ByModel[Entry.first.m_Model].push_back(&Entry.second);
  for (const model::AdapterSpec &Adapter : m_Intent->m_Adapters)
    for (GroupSpec *Group : ByModel[Adapter.m_Base])
      Group->m_Adapters.push_back(
          {{Adapter.m_Base, Group->m_Base.m_Version, Adapter.m_Name},
           Adapter.m_MemoryBytes});
  for (auto &Entry : m_Groups)
    std::sort(Entry.second.m_Adapters.begin(), Entry.second.m_Adapters.end());
}

bool Catalog::mayUsePool(const model::LabelMap &ModelLabels,
                         const model::PoolSpec &Pool) const {
  if (Pool.m_Kind != model::PoolKind::Engine)
    return false;
  bool IsRestricted = false;
  for (const model::SelectorSpec &Selector : m_Intent->m_Selectors) {
    if (Selector.m_Action != model::SelectorAction::Place ||
        !Selector.m_Models.matches(ModelLabels))
      continue;
    if (Selector.m_Pools.matches(Pool.m_Labels))
      return true;
    IsRestricted = true;
  }
  return !IsRestricted;
}

void Catalog::assignPools() {
  std::map<model::PoolId, uint64_t> Room;
  for (const model::PoolSpec &Pool : m_Intent->m_Pools)
    for (const model::EndpointSpec &Engine : Pool.m_Endpoints)
      Room[Pool.m_Name] +=
          Engine.m_MemoryBytes / 100 * (100 - Pool.m_KvReservePercent);
  std::map<model::ModelId, std::vector<GroupSpec *>> ByModel;
  for (auto &Entry : m_Groups)
    ByModel[Entry.first.m_Model].push_back(&Entry.second);

  for (auto &Entry : ByModel) {
    uint64_t Need = 0;
    for (const GroupSpec *Group : Entry.second)
      Need += Group->totalBytes() * Group->m_MinCopies;
    // Models matched by the same Together selector share a key, and so a pool.
    const std::vector<uint32_t> &Together = Entry.second.front()->m_Together;
    const std::string Key =
        Together.empty() ? Entry.first.str()
                         : m_Intent->m_Selectors[Together.front()].m_Name;
    const model::PoolSpec *Best = nullptr;
    std::pair<bool, uint64_t> BestScore;
    for (const model::PoolSpec &Pool : m_Intent->m_Pools) {
      if (!mayUsePool(m_Labels[Entry.first], Pool))
        continue;
      const std::pair<bool, uint64_t> Score(
          Room[Pool.m_Name] >= Need,
          model::rendezvousWeight(Key, Pool.m_Name.str()));
      if (Best && Score <= BestScore)
        continue;
      Best = &Pool;
      BestScore = Score;
    }
    if (!Best)
      continue;
    uint64_t &Left = Room[Best->m_Name];
    Left -= std::min(Left, Need);
    for (GroupSpec *Group : Entry.second)
      Group->m_Pool = Best->m_Name;
  }
}

void Catalog::collectDrained() {
  for (const model::SelectorSpec &Selector : m_Intent->m_Selectors) {
    if (Selector.m_Action != model::SelectorAction::Drain)
      continue;
    m_Drained.insert(Selector.m_Endpoints.begin(), Selector.m_Endpoints.end());
    if (!Selector.m_Endpoints.empty())
      continue;
    for (const model::PoolSpec &Pool : m_Intent->m_Pools)
      if (Selector.m_Pools.matches(Pool.m_Labels))
        for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints)
          m_Drained.insert(Endpoint.m_Name);
  }
}

void Catalog::countEngines() {
  for (const model::PoolSpec &Pool : m_Intent->m_Pools) {
    if (Pool.m_Kind != model::PoolKind::Engine)
      continue;
    const uint32_t Engines = static_cast<uint32_t>(Pool.m_Endpoints.size());
    m_EngineCounts[Pool.m_Name] = Engines;
    m_EngineTotal += Engines;
  }
}

uint32_t Catalog::concurrentLoads(const model::PoolId &Pool) const {
  // Shares are differences of rounded cumulative sums, so that they add up to
  // the total.
  uint64_t Before = 0;
  for (const auto &Share : m_EngineCounts) {
    const uint64_t After = Before + Share.second;
    if (Share.first != Pool) {
      Before = After;
      continue;
    }
    const uint64_t Total = m_Intent->m_WeightStore.m_ConcurrentLoads;
    const uint64_t Pools = m_EngineCounts.size();
    // Each pool gets at least one, since a pool that could load nothing would
    // leave its models without a copy. An intent with more pools than loads has
    // findings.
    const uint64_t PerPoolMin = Total >= Pools ? 1 : 0;
    const uint64_t Remaining = Total - PerPoolMin * Pools;
    return static_cast<uint32_t>(PerPoolMin +
                                 After * Remaining / m_EngineTotal -
                                 Before * Remaining / m_EngineTotal);
  }
  return 0;
}

double Catalog::loadsPerSecond(const model::PoolId &Pool) const {
  auto Found = m_EngineCounts.find(Pool);
  if (Found == m_EngineCounts.end() || m_EngineTotal == 0)
    return 0;
  return m_Intent->m_WeightStore.m_LoadsPerSecond * Found->second /
         m_EngineTotal;
}

const GroupSpec *Catalog::find(const model::ArtifactId &Base) const {
  auto Found = m_Groups.find(Base);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

bool Catalog::declares(const model::ArtifactId &Artifact) const {
  const GroupSpec *Group = find(Artifact.base());
  if (!Group || Group->m_Retired)
    return false;
  if (!Artifact.isAdapter())
    return true;
  return std::any_of(Group->m_Adapters.begin(), Group->m_Adapters.end(),
                     [&Artifact](const GroupAdapter &Adapter) {
                       return Adapter.m_Artifact == Artifact;
                     });
}

} // namespace bronzepass::core::placement
