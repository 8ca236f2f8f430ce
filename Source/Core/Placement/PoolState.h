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

/// What engines of pools not held here last reported: their serving copies.
struct OtherPoolCopies {
  model::TimePoint m_SeenAt;
  std::vector<model::ArtifactId> m_Serving;
};
using OtherPoolMap = std::map<model::EndpointId, OtherPoolCopies>;

/// One engine of the pool.
struct EngineInfo {
  LedgerController m_Ledger;
  EngineHealth m_Health;
  /// Asked to be emptied by a selector, or no longer in the intent.
  bool m_Drained = false;
  bool m_Declared = true;
  /// Memory of queued loads, which are not in the ledger yet.
  int64_t m_PlannedBytes = 0;
  /// Slots in use by the demand of the groups on it.
  double m_Load = 0;
  /// Groups with an entry on it, as indexed last.
  std::vector<model::ArtifactId> m_Groups;
  /// Of the entries, to see whether they changed.
  uint64_t m_Fingerprint = 0;
};

/// Order of urgency in the load queue.
enum class LoadUrgency { NoCopy, BelowMinCopies, Demand };

/// A load that waits for room or for the weight store.
struct QueuedLoad {
  model::ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;
  EngineIndex m_Engine = 0;
  CopyReason m_Reason = CopyReason::Declared;
  model::TimePoint m_QueuedAt;
};

/// A model version with its adapters, as it stands in the pool.
struct GroupState {
  /// Engines with an entry of the base, in order.
  std::vector<EngineIndex> m_Engines;
  std::vector<QueuedLoad> m_Queue;
  /// Engines it is to leave for another group's sake, once it answers
  /// elsewhere.
  std::set<EngineIndex> m_EnginesToLeave;
  /// Copies beyond the least number that demand asked for.
  uint32_t m_ExtraCopies = 0;
  std::optional<model::TimePoint> m_SpareSince;
  /// When the current intent first left it out.
  std::optional<model::TimePoint> m_UndeclaredSince;
  /// Why part of it waits; empty where none does.
  std::string m_WaitReason;
};

/// All that the planner of one pool decides on.
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
  /// Memory of the largest group that the pool is to hold, bytes.
  uint64_t m_LargestGroup = 0;
  const OtherPoolMap *m_OtherPools = nullptr;
  /// Groups to be planned anew.
  std::set<model::ArtifactId> m_DirtyGroups;
  /// Groups that wait for room; planned anew when some is freed.
  std::set<model::ArtifactId> m_WaitingGroups;
  /// Groups with queued loads.
  std::set<model::ArtifactId> m_QueuedGroups;
  /// Engines whose ledger draft the planner changed.
  std::set<EngineIndex> m_ChangedEngines;
  std::vector<model::Decision> m_Decisions;
  MoveCounts m_Counts;

  /// The group as this pool is to hold it; null where it is not to.
  const GroupSpec *assignedSpec(const model::ArtifactId &Base) const;
  const EntryState *entry(EngineIndex Engine,
                          const model::ArtifactId &Artifact) const;
  /// Whether new loads may go to the engine.
  bool takesLoads(EngineIndex Engine, model::TimePoint Now) const;
  /// Whether copies on the engine count at all.
  bool isUsable(EngineIndex Engine) const;
  bool isLeaving(EngineIndex Engine) const;
  int64_t roomOn(EngineIndex Engine) const;
  /// Whether the copy surely answers requests now and is to stay.
  bool isAnswering(EngineIndex Engine, const model::ArtifactId &Artifact,
                   model::TimePoint Now) const;
  /// Answering copies but for the one on \p Except.
  uint32_t answeringCopies(const model::ArtifactId &Artifact,
                           model::TimePoint Now,
                           EngineIndex Except = UINT32_MAX) const;
  /// Whether a pool not held here answers for \p Artifact.
  bool answersInOtherPool(const model::ArtifactId &Artifact,
                          model::TimePoint Now) const;
  /// Whether an unload leaves every declared artifact answering.
  bool mayUnload(EngineIndex Engine, const model::ArtifactId &Artifact,
                 model::TimePoint Now) const;
  /// Whether another declared version answers in the place of an artifact that
  /// left the intent; also where none is declared.
  bool successorAnswers(const model::ArtifactId &Artifact,
                        model::TimePoint Now) const;
  /// Indexes an engine's entries; marks the groups dirty that changed.
  void reindex(EngineIndex Engine);
  void dropQueuedLoad(GroupState &Group, size_t Position);
  void queueLoad(const model::ArtifactId &Base, QueuedLoad Load);
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_POOLSTATE_H
