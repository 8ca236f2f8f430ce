#ifndef BRONZEPASS_CORE_PLACEMENT_PLANNER_H
#define BRONZEPASS_CORE_PLACEMENT_PLANNER_H

#include "Core/Placement/PoolState.h"

#include <functional>
#include <optional>
#include <vector>

namespace bronzepass::core::placement {

/// Decides where copies are loaded and which are unloaded. It queues loads and
/// records unloads in the pool's state. Its cost grows with the number of
/// groups that changed.
class Planner {
public:
  explicit Planner(PoolState &Pool) : m_Pool(Pool) {}

  /// Plans every dirty group, largest first.
  void planDirty(model::TimePoint Now);
  /// Adds copies for bursts and unloads spare copies, according to demand.
  void reviewDemand(model::TimePoint Now);

private:
  /// An engine that could take a copy; a lower score is better.
  struct Candidate {
    EngineIndex m_Engine = 0;
    double m_Score = 0;
  };
  /// The groups that have to leave an engine so that a copy fits.
  struct Eviction {
    EngineIndex m_Engine = 0;
    /// Groups with a spare copy to unload; those in m_Moved have to be loaded
    /// on another engine first.
    std::vector<model::ArtifactId> m_Spare;
    std::vector<model::ArtifactId> m_Moved;
  };

  void planGroup(const model::ArtifactId &Base, model::TimePoint Now);
  void planCopies(const GroupSpec &Spec, GroupState &Group,
                  model::TimePoint Now);
  void planAdapters(const GroupSpec &Spec, GroupState &Group,
                    model::TimePoint Now);
  void planAdapter(const GroupSpec &Spec, const GroupAdapter &Adapter,
                   GroupState &Group, model::TimePoint Now);
  void planRemoval(const model::ArtifactId &Base, GroupState &Group,
                   model::TimePoint Now);
  bool holdsBase(EngineIndex Engine, const model::ArtifactId &Base) const;
  void planUnloads(const GroupSpec &Spec, GroupState &Group,
                   model::TimePoint Now);
  void dropStaleLoads(const model::ArtifactId &Base, GroupState &Group,
                      const GroupSpec *Spec, model::TimePoint Now);

  /// Engines whose copy of the base counts towards the target number.
  std::vector<EngineIndex> keptEngines(const model::ArtifactId &Base,
                                       const GroupState &Group) const;
  std::vector<EngineIndex> queuedEngines(const model::ArtifactId &Artifact,
                                         const GroupState &Group) const;
  /// Room for a copy of the group, including memory that doubts about the
  /// group's own artifacts keep promised.
  int64_t roomFor(EngineIndex Engine, const model::ArtifactId &Base) const;
  using GroupTest = std::function<bool(const model::ArtifactId &Base)>;
  /// Whether any group on the engine or queued for it passes \p Test.
  bool anyGroupOn(EngineIndex Engine, const GroupTest &Test) const;
  bool satisfiesApart(const GroupSpec &Spec, EngineIndex Engine) const;
  std::vector<Candidate> candidates(const GroupSpec &Spec, uint64_t Bytes,
                                    const std::vector<EngineIndex> &Excluded,
                                    bool NeedsRoom, model::TimePoint Now) const;
  double score(const GroupSpec &Spec, EngineIndex Engine,
               const std::vector<EngineIndex> &Excluded) const;
  bool placeCopy(const GroupSpec &Spec, GroupState &Group, CopyReason Reason,
                 uint32_t MaxMoves, model::TimePoint Now);
  void queueCopy(const GroupSpec &Spec, EngineIndex Engine, CopyReason Reason,
                 const std::vector<Candidate> &Others, model::TimePoint Now);
  std::optional<Eviction> findRoom(const GroupSpec &Spec, uint64_t Bytes,
                                   const std::vector<EngineIndex> &Excluded,
                                   uint32_t MaxMoves, bool Needed,
                                   model::TimePoint Now) const;
  std::optional<Eviction> evictionFrom(EngineIndex Engine, int64_t Need,
                                       uint32_t MaxMoves, bool Needed,
                                       model::TimePoint Now) const;
  int64_t bytesOn(EngineIndex Engine, const model::ArtifactId &Base) const;
  /// The engine with room for the largest group, if it is the only one. While
  /// this room is kept free, any group can be loaded anew before its old copy
  /// is unloaded.
  std::optional<EngineIndex> lastEngineWithRoom(model::TimePoint Now) const;
  bool mayEvict(const GroupSpec &Spec, const GroupState &Group,
                EngineIndex Engine, bool Needed, model::TimePoint Now) const;
  bool fitsElsewhere(const GroupSpec &Spec, EngineIndex Engine, int64_t Bytes,
                     model::TimePoint Now) const;
  void applyEviction(const Eviction &Plan, model::TimePoint Now);
  bool unloadFrom(EngineIndex Engine, const model::ArtifactId &Base,
                  CopyReason Reason, model::TimePoint Now);
  std::string waitReason(const GroupSpec &Spec, uint64_t Bytes,
                         model::TimePoint Now) const;

  void updateUsedSlots(model::TimePoint Now);
  void reviewGroup(const model::ArtifactId &Base, GroupState &Group,
                   model::TimePoint Now);
  void considerBurstCopy(const GroupSpec &Spec, GroupState &Group,
                         const DemandRate &Demand, model::TimePoint Now);
  void considerSpareCopy(const GroupSpec &Spec, GroupState &Group,
                         const DemandRate &Demand, model::TimePoint Now);

  PoolState &m_Pool;
  /// Set while moved groups are planned, so that they don't displace others in
  /// turn.
  bool m_MakingRoom = false;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLANNER_H
