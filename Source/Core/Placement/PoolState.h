#ifndef BRONZEPASS_CORE_PLACEMENT_POOLSTATE_H
#define BRONZEPASS_CORE_PLACEMENT_POOLSTATE_H

#include "Core/Model/Decision.h"
#include "Core/Model/Residency.h"
#include "Core/Placement/Catalog.h"
#include "Core/Placement/DemandTracker.h"
#include "Core/Placement/EngineHealth.h"
#include "Core/Placement/LedgerController.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::placement {

/// Position of an engine in PoolState::m_Engines.
using EngineIndex = uint32_t;

/// Serving copies from the last report of an engine whose pool's lease another
/// node holds.
struct OtherPoolCopies {
  model::TimePoint m_SeenAt;
  std::vector<model::ArtifactId> m_Serving;
};
using OtherPoolMap = std::map<model::EndpointId, OtherPoolCopies>;

/// One engine of the pool, as the planner sees it.
struct EngineInfo {
  LedgerController m_Ledger;
  EngineHealth m_Health;
  /// Whether a selector drains the engine.
  bool m_Drained = false;
  /// Whether the intent declares the engine.
  bool m_Declared = true;
  /// Memory of queued loads, which are not recorded in the ledger yet.
  int64_t m_PlannedBytes = 0;
  /// Slots in use by the demand for the groups on the engine.
  double m_UsedSlots = 0;
  /// Groups with an entry on the engine when it was last indexed.
  std::vector<model::ArtifactId> m_Groups;
  /// Hash of the entries, to detect changes.
  uint64_t m_Fingerprint = 0;
};

/// Urgency of a queued load, most urgent first.
enum class LoadUrgency { NoCopy, BelowMinCopies, Demand };

/// A load that waits for memory or for the weight store.
struct QueuedLoad {
  model::ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;
  EngineIndex m_Engine = 0;
  CopyReason m_Reason = CopyReason::Declared;
  model::TimePoint m_QueuedAt;
};

/// The copies and queued loads of a group in the pool.
struct GroupState {
  /// Engines with an entry of the group, sorted.
  std::vector<EngineIndex> m_Engines;
  std::vector<QueuedLoad> m_Queue;
  /// Engines that the group has to leave to make room for another group, once
  /// it answers on another engine.
  std::set<EngineIndex> m_EnginesToLeave;
  /// Copies beyond the minimum number that demand justifies.
  uint32_t m_ExtraCopies = 0;
  std::optional<model::TimePoint> m_SpareSince;
  /// When the group was first found missing from the intent.
  std::optional<model::TimePoint> m_UndeclaredSince;
  /// Why some artifact of the group waits; empty if none does.
  std::string m_WaitReason;
};

/// The state of one pool on which the planner decides.
struct PoolState {
  PoolState(const PlacementSettings &Settings, model::FencingToken Lease)
      : m_Settings(Settings), m_OrderTokens(Lease),
        m_Demand(Settings.m_DemandAverage) {}

  PlacementSettings m_Settings;
  model::PoolId m_Pool;
  std::shared_ptr<const Catalog> m_Catalog;
  OrderTokenAllocator m_OrderTokens;
  std::vector<EngineInfo> m_Engines;
  std::map<model::ArtifactId, GroupState> m_Groups;
  DemandTracker m_Demand;
  /// Memory of the largest group assigned to the pool, in bytes.
  uint64_t m_LargestGroup = 0;
  const OtherPoolMap *m_OtherPools = nullptr;
  /// Groups to be planned again.
  std::set<model::ArtifactId> m_DirtyGroups;
  /// Groups that wait for memory; planned again when memory is freed.
  std::set<model::ArtifactId> m_WaitingGroups;
  /// Groups with queued loads.
  std::set<model::ArtifactId> m_QueuedGroups;
  /// Engines whose ledger draft the planner changed.
  std::set<EngineIndex> m_ChangedEngines;
  std::vector<model::Decision> m_Decisions;
  MoveCounts m_Counts;

  /// The specification of a group assigned to this pool; null if it is not.
  const GroupSpec *assignedSpec(const model::ArtifactId &Base) const;
  const EntryState *entry(EngineIndex Engine,
                          const model::ArtifactId &Artifact) const;
  /// Whether new loads may go to the engine.
  bool takesLoads(EngineIndex Engine, model::TimePoint Now) const;
  /// Whether the engine is up and its ledger held; copies on others don't
  /// count.
  bool isUsable(EngineIndex Engine) const;
  bool isLeaving(EngineIndex Engine) const;
  int64_t roomOn(EngineIndex Engine) const;
  /// Whether a recent report proves that the copy serves, and no late unload
  /// can remove it.
  bool isAnswering(EngineIndex Engine, const model::ArtifactId &Artifact,
                   model::TimePoint Now) const;
  /// Number of answering copies, not counting the one on \p Except.
  uint32_t answeringCopies(const model::ArtifactId &Artifact,
                           model::TimePoint Now,
                           EngineIndex Except = UINT32_MAX) const;
  /// Whether \p Artifact is served in a pool whose lease another node holds.
  bool answersInOtherPool(const model::ArtifactId &Artifact,
                          model::TimePoint Now) const;
  /// Whether every declared artifact still answers after the unload.
  bool mayUnload(EngineIndex Engine, const model::ArtifactId &Artifact,
                 model::TimePoint Now) const;
  /// Whether another declared version answers in place of an artifact that left
  /// the intent. True if no version is declared.
  bool successorAnswers(const model::ArtifactId &Artifact,
                        model::TimePoint Now) const;
  /// Indexes the entries of an engine, and marks groups dirty if they changed.
  void reindex(EngineIndex Engine);
  void dropQueuedLoad(GroupState &Group, size_t Position);
  void queueLoad(const model::ArtifactId &Base, QueuedLoad Load);
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_POOLSTATE_H
