#ifndef BRONZEPASS_CORE_PLACEMENT_CATALOG_H
#define BRONZEPASS_CORE_PLACEMENT_CATALOG_H

#include "Core/Model/Intent.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bronzepass::core::placement {

/// An adapter that is loaded with one model version.
struct GroupAdapter {
  model::ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;

  friend auto operator<=>(const GroupAdapter &, const GroupAdapter &) = default;
};

/// One model version and its adapters, which are placed together.
struct GroupSpec {
  model::ArtifactId m_Base;
  /// The pool that holds the group; empty if no engine pool may.
  model::PoolId m_Pool;
  uint64_t m_MemoryBytes = 0;
  model::Duration m_LoadTime{0};
  std::vector<GroupAdapter> m_Adapters;
  uint32_t m_MinCopies = 1;
  bool m_Retired = false;
  /// Indices of the Together and Apart selectors that match the group.
  std::vector<uint32_t> m_Together;
  std::vector<uint32_t> m_Apart;

  /// Memory of a copy with all its adapters, in bytes.
  uint64_t totalBytes() const;
  friend auto operator<=>(const GroupSpec &, const GroupSpec &) = default;
};

/// Whether \p A and \p B have an element in common.
bool intersects(const std::vector<uint32_t> &A, const std::vector<uint32_t> &B);

/// The placement view of an intent: groups, their pools, drained engines and
/// weight store limits. The assignment of models to pools follows from the
/// intent alone, so that all nodes agree on it.
class Catalog {
public:
  explicit Catalog(std::shared_ptr<const model::Intent> Value);

  const model::Intent &intent() const { return *m_Intent; }
  /// All groups by their base artifact, including retired ones.
  const std::map<model::ArtifactId, GroupSpec> &groups() const {
    return m_Groups;
  }
  const GroupSpec *find(const model::ArtifactId &Base) const;
  /// Whether the intent declares the artifact and does not retire it.
  bool declares(const model::ArtifactId &Artifact) const;
  /// Whether a selector drains the endpoint.
  bool drains(const model::EndpointId &Endpoint) const {
    return m_Drained.count(Endpoint) != 0;
  }
  /// The share of the weight store's concurrent loads that \p Pool may use.
  uint32_t concurrentLoads(const model::PoolId &Pool) const;
  /// The share of the weight store's load rate that \p Pool may use, in loads
  /// per second.
  double loadsPerSecond(const model::PoolId &Pool) const;

private:
  void addModel(const model::ModelSpec &Model);
  void addAdapters();
  void assignPools();
  void collectDrained();
  void countEngines();
  bool mayUsePool(const model::LabelMap &ModelLabels,
                  const model::PoolSpec &Pool) const;

  std::shared_ptr<const model::Intent> m_Intent;
  std::map<model::ArtifactId, GroupSpec> m_Groups;
  std::map<model::ModelId, model::LabelMap> m_Labels;
  std::set<model::EndpointId> m_Drained;
  std::map<model::PoolId, uint32_t> m_EngineCounts;
  uint32_t m_EngineTotal = 0;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_CATALOG_H
