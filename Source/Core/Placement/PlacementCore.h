#ifndef BRONZEPASS_CORE_PLACEMENT_PLACEMENTCORE_H
#define BRONZEPASS_CORE_PLACEMENT_PLACEMENTCORE_H

#include "Core/Model/Demand.h"
#include "Core/Model/Finding.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Lease.h"
#include "Core/Placement/Catalog.h"
#include "Core/Placement/PlacementSettings.h"
#include "Core/Placement/PlacementStatus.h"
#include "Core/Placement/PoolShard.h"
#include "Core/Placement/StoreCallSender.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"

#include <map>
#include <memory>
#include <vector>

namespace bronzepass::core::placement {

/// Name of the lease that a node must hold to place models in a pool:
/// "pool/<name>".
model::LeaseName poolLease(const model::PoolId &Pool);

/// Decides which artifacts are loaded on which engines, for the pools whose
/// lease this node holds. A deterministic state machine: each input carries the
/// current time and appends its effects; ledger calls go out through the
/// StoreCallSender.
class PlacementCore {
public:
  PlacementCore(model::NodeId Self, StoreCallSender SendStoreCall,
                PlacementSettings Settings = {});

  /// A new generation of the intent is in force; older ones are ignored.
  void intentChanged(std::shared_ptr<const model::Intent> Value,
                     model::TimePoint Now, ports::EffectList &Effects);
  /// A lease was acquired or renewed; leases other than those of pools are
  /// ignored.
  void leaseHeld(const model::HeldLease &Lease, model::TimePoint Now,
                 ports::EffectList &Effects);
  void leaseLost(const model::LeaseName &Name);

  void reportReceived(const model::EngineReport &Report, model::TimePoint Now,
                      ports::EffectList &Effects);
  void reportMissed(const ports::ReportFailed &Missed, model::TimePoint Now,
                    ports::EffectList &Effects);
  void livenessChanged(const model::EndpointState &State, model::TimePoint Now,
                       ports::EffectList &Effects);
  void orderAnswered(const model::OrderAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  /// Returns whether placement made the call.
  bool storeAnswered(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  void demandReceived(const std::vector<model::DemandSample> &Samples,
                      model::TimePoint Now);

  /// \p Node has acknowledged that the lease's token is \p Token or higher, and
  /// sends no more orders under a lower one.
  void predecessorFenced(const model::LeaseName &Lease,
                         const model::NodeId &Node, model::FencingToken Token,
                         model::TimePoint Now, ports::EffectList &Effects);
  /// The VM of \p Node is no longer in the platform's list.
  void nodeGone(const model::NodeId &Node, model::TimePoint Now,
                ports::EffectList &Effects);

  /// Does the work that is due; must be called at least once a second.
  void tick(model::TimePoint Now, ports::EffectList &Effects);

  /// Loads and unloads that are planned or in progress.
  std::vector<MoveStatus> moves() const;
  /// The copies of \p Artifact and their reasons, in the pools whose lease this
  /// node holds.
  std::vector<CopyStatus> explain(const model::ArtifactId &Artifact,
                                  model::TimePoint Now) const;
  std::vector<EngineStatus> engines() const;
  /// What waits and why, and engines that hold more than their memory allows.
  model::FindingList findings() const;
  MoveCounts counts() const;
  /// Former lease holders that have to be asked for an acknowledgement.
  std::vector<UnfencedNode> unfencedNodes() const;
  /// Copies with a recorded unload, to which routing must send no new requests.
  std::vector<model::Copy> drainingCopies() const;

private:
  PoolShard *shardOf(const model::EndpointId &Endpoint);

  model::NodeId m_Self;
  StoreCallSender m_SendStoreCall;
  PlacementSettings m_Settings;
  std::shared_ptr<const model::Intent> m_Intent;
  std::shared_ptr<const Catalog> m_Catalog;
  std::map<model::PoolId, PoolShard> m_Shards;
  std::map<model::EndpointId, model::PoolId> m_PoolByEngine;
  std::map<model::EndpointId, model::Liveness> m_Liveness;
  OtherPoolMap m_OtherPools;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_PLACEMENTCORE_H
