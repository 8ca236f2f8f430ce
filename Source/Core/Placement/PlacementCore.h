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

/// Duty of the lease under which a pool is placed: "pool/<name>".
model::LeaseName poolLease(const model::PoolId &Pool);

/// Decides which artifact lives on which engine, for the pools whose lease this
/// node holds. A deterministic state machine: each input carries the time and
/// appends its effects; ledger calls leave through the gateway.
class PlacementCore {
public:
  PlacementCore(model::NodeId Self, StoreCallSender SendStoreCall,
                PlacementSettings Settings = {});

  /// A newer generation is in force.
  void intentChanged(std::shared_ptr<const model::Intent> Value,
                     model::TimePoint Now, ports::EffectList &Effects);
  /// The lease of a pool was gained or renewed; others are passed over.
  void leaseHeld(const model::HeldLease &Lease, model::TimePoint Now,
                 ports::EffectList &Effects);
  void leaseLost(const model::LeaseName &Name);

  void reportReceived(const model::EngineReport &Report, model::TimePoint Now,
                      ports::EffectList &Effects);
  void reportMissed(const ports::ReportMissed &Missed, model::TimePoint Now,
                    ports::EffectList &Effects);
  void livenessChanged(const model::EndpointState &State, model::TimePoint Now,
                       ports::EffectList &Effects);
  void orderAnswered(const model::OrderAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  /// Returns whether the call was placement's.
  bool storeAnswered(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Effects);
  void demandReceived(const std::vector<model::DemandSample> &Samples,
                      model::TimePoint Now);

  /// \p Node has acknowledged that the lease's token is \p Token or higher, and
  /// sends no order under a lower one any more.
  void predecessorFenced(const model::LeaseName &Lease,
                         const model::NodeId &Node, model::FencingToken Token,
                         model::TimePoint Now, ports::EffectList &Effects);
  /// The VM of \p Node is gone from the platform's list.
  void nodeGone(const model::NodeId &Node, model::TimePoint Now,
                ports::EffectList &Effects);

  /// Time has passed; call it at least once a second.
  void tick(model::TimePoint Now, ports::EffectList &Effects);

  /// Loads and unloads under way or planned.
  std::vector<MoveStatus> moves() const;
  /// Where \p Artifact is and why, in the pools held here.
  std::vector<CopyStatus> explain(const model::ArtifactId &Artifact,
                                  model::TimePoint Now) const;
  std::vector<EngineStatus> engines() const;
  /// What waits, and why.
  model::FindingList findings() const;
  MoveCounts counts() const;
  /// Former lease holders to be asked for an acknowledgement.
  std::vector<UnfencedNode> unfencedNodes() const;
  /// Copies that routing is to send nothing new: an unload is recorded.
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
