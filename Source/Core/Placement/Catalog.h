#ifndef BRONZEPASS_CORE_PLACEMENT_CATALOG_H
#define BRONZEPASS_CORE_PLACEMENT_CATALOG_H

#include "Core/Model/Intent.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bronzepass::core::placement {

/// An adapter as it is loaded beside one model version.
struct GroupAdapter {
  model::ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;

  friend auto operator<=>(const GroupAdapter &, const GroupAdapter &) = default;
};

/// What is placed together: one model version and its adapters.
struct GroupSpec {
  model::ArtifactId m_Base;
  /// The pool that is to hold it; empty where no engine pool may.
  model::PoolId m_Pool;
  uint64_t m_MemoryBytes = 0;
  model::Duration m_LoadTime{0};
  std::vector<GroupAdapter> m_Adapters;
  uint32_t m_MinCopies = 1;
  bool m_Retired = false;
  /// Positions of the Together and Apart selectors that match it.
  std::vector<uint32_t> m_Together;
  std::vector<uint32_t> m_Apart;

  /// Memory of a copy with all adapters, bytes.
  uint64_t totalBytes() const;
  friend auto operator<=>(const GroupSpec &, const GroupSpec &) = default;
};

/// Whether \p A and \p B have a member in common.
bool intersects(const std::vector<uint32_t> &A, const std::vector<uint32_t> &B);

/// An intent as placement reads it. Which pool a model belongs to follows from
/// the intent alone, so that all nodes agree on it.
class Catalog {
public:
  explicit Catalog(std::shared_ptr<const model::Intent> Value);

  const model::Intent &intent() const { return *m_Intent; }
  /// All groups, retired ones too, by their base artifact.
  const std::map<model::ArtifactId, GroupSpec> &groups() const {
    return m_Groups;
  }
  const GroupSpec *find(const model::ArtifactId &Base) const;
  /// The declared artifact's memory; nothing where it is not declared.
  bool declares(const model::ArtifactId &Artifact) const;
  /// Whether a selector asks that the endpoint be emptied.
  bool drains(const model::EndpointId &Endpoint) const {
    return m_Drained.count(Endpoint) != 0;
  }
  /// Part of the weight store's concurrent loads that \p Pool may use.
  uint32_t concurrentLoads(const model::PoolId &Pool) const;
  /// Part of the weight store's rate that \p Pool may use, loads per second.
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
