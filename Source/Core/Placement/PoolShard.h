#ifndef BRONZEPASS_CORE_PLACEMENT_POOLSHARD_H
#define BRONZEPASS_CORE_PLACEMENT_POOLSHARD_H

#include "Core/Model/Finding.h"
#include "Core/Model/Lease.h"
#include "Core/Placement/LoadQueue.h"
#include "Core/Placement/Planner.h"
#include "Core/Placement/PoolState.h"
#include "Core/Placement/StoreCallSender.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bronzepass::core::placement {

/// Placement of one pool for as long as this node holds its lease. It lists and
/// claims the ledgers, then plans copies, records orders and sends them. After
/// the lease has expired it does nothing.
class PoolShard {
public:
  using LivenessMap = std::map<model::EndpointId, model::Liveness>;

  PoolShard(model::NodeId Self, const StoreCallSender &SendStoreCall,
            const PlacementSettings &Settings, const model::PoolId &Pool,
            const model::HeldLease &Lease, const OtherPoolMap &OtherPools,
            model::TimePoint Now);
  PoolShard(const PoolShard &) = delete;
  PoolShard &operator=(const PoolShard &) = delete;

  const model::HeldLease &lease() const { return m_Lease; }
  void leaseRenewed(const model::HeldLease &Lease) { m_Lease = Lease; }
  void intentChanged(std::shared_ptr<const Catalog> Value,
                     const LivenessMap &Liveness, model::TimePoint Now);

  void reportReceived(const model::EngineReport &Report, model::TimePoint Now,
                      ports::EffectList &Effects);
  void reportMissed(const ports::ReportFailed &Missed, model::TimePoint Now,
                    ports::EffectList &Effects);
  void livenessChanged(const model::EndpointState &State, model::TimePoint Now,
                       ports::EffectList &Effects);
  void orderAnswered(const model::OrderAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  bool storeAnswered(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  void demandReceived(const model::DemandSample &Sample, model::TimePoint Now);
  void predecessorFenced(const model::NodeId &Node, model::FencingToken Below,
                         model::TimePoint Now) {
    m_FencedNodes.acknowledged(Node, Below, Now);
  }
  void nodeGone(const model::NodeId &Node, model::TimePoint Now) {
    m_FencedNodes.nodeGone(Node, Now);
  }
  void tick(model::TimePoint Now, ports::EffectList &Effects);

  bool hasGroup(const model::ArtifactId &Base) const;
  void addMoves(std::vector<MoveStatus> &All) const;
  void addCopies(const model::ArtifactId &Artifact, model::TimePoint Now,
                 std::vector<CopyStatus> &All) const;
  void addEngines(std::vector<EngineStatus> &All) const;
  void addFindings(model::FindingList &All) const;
  void addUnfenced(std::vector<UnfencedNode> &All) const;
  void addDraining(std::vector<model::Copy> &All) const;
  MoveCounts counts() const;

private:
  /// Stands for the call that lists all ledgers in m_StoreCalls.
  static constexpr EngineIndex ListCall = UINT32_MAX;

  std::optional<EngineIndex> indexOf(const model::EndpointId &Endpoint) const;
  bool holdsLease(model::TimePoint Now) const {
    return Now < m_Lease.m_ValidUntil;
  }
  void listLedgers(model::TimePoint Now);
  void ledgersListed(const ports::StoreAnswer &Answer, model::TimePoint Now);
  /// Settles what reports prove about one engine, then sends its next order and
  /// makes its next ledger call.
  void updateEngine(EngineIndex Engine, bool Settle, model::TimePoint Now,
                    ports::EffectList &Effects);
  void plan(model::TimePoint Now, ports::EffectList &Effects);
  /// Whether enough is known about the engines to plan: a copy must not be
  /// loaded a second time just because it has not been reported yet.
  bool isReadyToPlan(model::TimePoint Now);
  /// Starts ledger calls up to the maximum number of pending calls.
  void startStoreCalls(model::TimePoint Now);
  void applyEngineSpecs(const LivenessMap &Liveness, model::TimePoint Now);
  void flushDecisions(ports::EffectList &Effects);
  MovePhase phaseOf(const LedgerController &Ledger,
                    const EntryState &State) const;

  model::NodeId m_Self;
  const StoreCallSender &m_SendStoreCall;
  model::HeldLease m_Lease;
  PoolState m_State;
  Planner m_Planner;
  LoadQueue m_LoadQueue;
  FencedNodes m_FencedNodes;
  std::map<model::EndpointId, EngineIndex> m_EngineIndices;
  std::map<model::CallId, EngineIndex> m_StoreCalls;
  bool m_LedgersListed = false;
  bool m_ListPending = false;
  bool m_ReadyToPlan = false;
  model::TimePoint m_LedgersListedAt;
  /// The engine at which startStoreCalls stopped.
  EngineIndex m_LastPolled = 0;
  model::TimePoint m_ListRetryAt;
  model::TimePoint m_ReviewAt;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_POOLSHARD_H
