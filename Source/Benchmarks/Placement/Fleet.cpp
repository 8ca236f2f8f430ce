#include "Benchmarks/Placement/Fleet.h"

#include <algorithm>

namespace bronzepass::benchmarks::placement {

PlacementCoreFleet::PlacementCoreFleet(
    std::shared_ptr<const model::Intent> Value)
    : m_Cluster(std::move(Value), 1) {
  for (unit_tests::fakes::FakeEngine &Engine : m_Cluster.m_Engines)
    Engine.m_LoadTime = std::chrono::seconds(52);
  m_Cluster.grantLease(0);
}

void PlacementCoreFleet::step() {
  m_Cluster.step(SimulationStep);
  for (const core::placement::EngineStatus &Engine :
       m_Cluster.holder().engines())
    m_MaxPromisedShare =
        std::max(m_MaxPromisedShare,
                 double(Engine.m_PromisedBytes) / double(Engine.m_MemoryBytes));
}

std::vector<uint32_t>
PlacementCoreFleet::copies(const model::ModelId &Model) const {
  std::vector<uint32_t> Found;
  for (uint32_t I = 0; I < m_Cluster.m_Engines.size(); ++I) {
    if (!m_Cluster.m_Reachable[I])
      continue;
    for (const auto &Entry : m_Cluster.m_Engines[I].m_Copies)
      if (Entry.first.m_Model == Model && !Entry.first.isAdapter() &&
          Entry.second.m_State == model::CopyState::Serving) {
        Found.push_back(I);
        break;
      }
  }
  return Found;
}

void PlacementCoreFleet::recordDemand(const model::ModelId &Model,
                                      const model::DemandSample &Sample) {
  model::DemandSample Attributed = Sample;
  for (const model::ModelSpec &Spec : m_Cluster.m_Intent->m_Models)
    if (Spec.m_Name == Model)
      Attributed.m_Artifact = {Model, Spec.m_Versions.back().m_Version, {}};
  if (!Attributed.m_Artifact.m_Model.empty())
    m_Cluster.holder().demandReceived({Attributed}, m_Cluster.m_Now);
}

void PlacementCoreFleet::failEngine(uint32_t Engine) {
  m_Cluster.m_Engines[Engine].restart();
  m_Cluster.m_Reachable[Engine] = false;
}

void PlacementCoreFleet::changeIntent(
    std::shared_ptr<const model::Intent> Value) {
  m_Cluster.changeIntent(std::move(Value));
}

uint64_t PlacementCoreFleet::modelLoads() const {
  return m_Cluster.m_Nodes.front().m_Core->counts().m_ModelLoads;
}

uint64_t PlacementCoreFleet::adapterLoads() const {
  return m_Cluster.m_Nodes.front().m_Core->counts().m_AdapterLoads;
}

bool PlacementCoreFleet::servesAll() const {
  const core::placement::Catalog Catalog(m_Cluster.m_Intent);
  auto Answers = [this](const model::ArtifactId &Artifact) {
    for (size_t I = 0; I < m_Cluster.m_Engines.size(); ++I)
      if (m_Cluster.m_Reachable[I] && m_Cluster.m_Engines[I].serves(Artifact))
        return true;
    return false;
  };
  for (const auto &Entry : Catalog.groups()) {
    if (!Answers(Entry.first))
      return false;
    for (const core::placement::GroupAdapter &Part : Entry.second.m_Adapters)
      if (!Answers(Part.m_Artifact))
        return false;
  }
  return true;
}

BaselineFleet::BaselineFleet(BaselineKind Kind,
                             std::shared_ptr<const model::Intent> Value)
    : m_Kind(Kind), m_Intent(std::move(Value)) {
  const model::PoolSpec &Pool = m_Intent->m_Pools.front();
  m_Engines.resize(Pool.m_Endpoints.size());
  m_UsableBytes = Pool.m_Endpoints.front().m_MemoryBytes / 100 *
                  (100 - Pool.m_KvReservePercent);
  placeInitialCopies();
}

std::string BaselineFleet::name() const {
  if (m_Kind == BaselineKind::Static)
    return "static";
  return m_Kind == BaselineKind::MissLru ? "miss-lru" : "busy-miss-lru";
}

const model::ModelSpec *
BaselineFleet::findSpec(const model::ModelId &Model) const {
  for (const model::ModelSpec &Spec : m_Intent->m_Models)
    if (Spec.m_Name == Model)
      return &Spec;
  return nullptr;
}

uint64_t BaselineFleet::bytesOf(const model::ModelSpec &Spec) const {
  uint64_t Sum = Spec.m_Versions.front().m_MemoryBytes;
  for (const model::AdapterSpec &Adapter : m_Intent->m_Adapters)
    if (Adapter.m_Base == Spec.m_Name)
      Sum += Adapter.m_MemoryBytes;
  return Sum;
}

uint64_t BaselineFleet::usedBytes(const Engine &Value) const {
  uint64_t Sum = 0;
  for (const auto &Entry : Value)
    Sum += Entry.second.m_Bytes;
  return Sum;
}

uint32_t BaselineFleet::loadingCount() const {
  uint32_t Count = 0;
  for (const Engine &Value : m_Engines)
    for (const auto &Entry : Value)
      Count += Entry.second.m_ReadyAt > m_Now;
  return Count;
}

void BaselineFleet::placeInitialCopies() {
  std::vector<const model::ModelSpec *> Order;
  for (const model::ModelSpec &Spec : m_Intent->m_Models)
    Order.push_back(&Spec);
  std::stable_sort(Order.begin(), Order.end(),
                   [this](const auto *A, const auto *B) {
                     return bytesOf(*A) > bytesOf(*B);
                   });
  for (const model::ModelSpec *Spec : Order)
    place(*Spec, false, {});
  // Second copies in order of mean demand, where they fit.
  for (const model::ModelSpec &Spec : m_Intent->m_Models)
    place(Spec, false, {});
}

bool BaselineFleet::place(const model::ModelSpec &Spec, bool Evicts,
                          model::Duration Load) {
  const uint64_t Bytes = bytesOf(Spec);
  Engine *Best = nullptr;
  model::TimePoint BestUsed = model::TimePoint::max();
  for (Engine &Value : m_Engines) {
    if (Value.count(Spec.m_Name))
      continue;
    model::TimePoint LastUsed;
    bool Busy = false;
    for (const auto &Entry : Value) {
      LastUsed = std::max(LastUsed, Entry.second.m_UsedAt);
      Busy = Busy || Entry.second.m_ReadyAt > m_Now;
    }
    const bool Fits = usedBytes(Value) + Bytes <= m_UsableBytes;
    if (!Fits && (!Evicts || Busy))
      continue;
    if (Fits)
      LastUsed = model::TimePoint(model::Duration(usedBytes(Value) / GiB));
    if (LastUsed >= BestUsed)
      continue;
    Best = &Value;
    BestUsed = LastUsed;
  }
  if (!Best)
    return false;
  while (usedBytes(*Best) + Bytes > m_UsableBytes)
    Best->erase(std::min_element(Best->begin(), Best->end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.m_UsedAt < B.second.m_UsedAt;
                                 }));
  (*Best)[Spec.m_Name] = {m_Now + Load, m_Now, Bytes};
  ++m_Loads;
  m_MaxPromisedShare =
      std::max(m_MaxPromisedShare,
               0.1 + 0.9 * double(usedBytes(*Best)) / double(m_UsableBytes));
  return true;
}

void BaselineFleet::step() { m_Now += SimulationStep; }

std::vector<uint32_t> BaselineFleet::copies(const model::ModelId &Model) const {
  std::vector<uint32_t> Found;
  for (uint32_t I = 0; I < m_Engines.size(); ++I) {
    auto Known = m_Engines[I].find(Model);
    if (Known != m_Engines[I].end() && Known->second.m_ReadyAt <= m_Now)
      Found.push_back(I);
  }
  return Found;
}

void BaselineFleet::recordDemand(const model::ModelId &Model,
                                 const model::DemandSample &Sample) {
  bool Held = false;
  bool Loading = false;
  for (Engine &Value : m_Engines) {
    auto Known = Value.find(Model);
    if (Known == Value.end())
      continue;
    Held = true;
    Loading = Loading || Known->second.m_ReadyAt > m_Now;
    if (Sample.m_Arrivals > 0)
      Known->second.m_UsedAt = m_Now;
  }
  const bool Busy = m_Kind == BaselineKind::BusyMissLru && Held && !Loading &&
                    Sample.m_Waiting > 0;
  if (m_Kind != BaselineKind::Static && Sample.m_Arrivals > 0 &&
      (!Held || Busy))
    handleMiss(Model);
}

void BaselineFleet::handleMiss(const model::ModelId &Model) {
  const model::ModelSpec *Spec = findSpec(Model);
  if (Spec && loadingCount() < m_Intent->m_WeightStore.m_ConcurrentLoads)
    place(*Spec, true, std::chrono::seconds(52));
}

void BaselineFleet::failEngine(uint32_t Engine) {
  m_Engines[Engine].clear();
  // The engine never comes back: a placeholder occupies its memory.
  m_Engines[Engine][model::ModelId("-")] = {
      model::TimePoint::max(), model::TimePoint::max(), m_UsableBytes};
}

void BaselineFleet::changeIntent(std::shared_ptr<const model::Intent> Value) {
  m_Intent = std::move(Value);
}

bool BaselineFleet::servesAll() const {
  return std::all_of(m_Intent->m_Models.begin(), m_Intent->m_Models.end(),
                     [this](const model::ModelSpec &Spec) {
                       return !copies(Spec.m_Name).empty();
                     });
}

} // namespace bronzepass::benchmarks::placement
