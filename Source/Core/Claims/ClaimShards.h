#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMSHARDS_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMSHARDS_H

#include "Core/Claims/ClaimClient.h"
#include "Core/Claims/ClaimSettings.h"
#include "Core/Claims/ClaimShard.h"
#include "Core/Claims/ShardCandidates.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::claims {

/// Makes requests with an idempotency key run at most once. Claims the keys of
/// this node's own requests at the owners of their shards, and owns the shards
/// for which this node ranks first among the live nodes. Makes no calls and
/// sends no messages while no request with a key is in progress.
class ClaimShards {
public:
  /// \p Governor and \p Source must outlive this object.
  ClaimShards(const ClaimSettings &Settings, const model::NodeId &Self,
              leases::StoreGovernor &Governor, ports::Random &Source);
  ClaimShards(const ClaimShards &) = delete;
  ClaimShards &operator=(const ClaimShards &) = delete;

  /// The live nodes, this one included; call again when they change.
  void setNodes(const std::vector<model::NodeId> &Nodes, model::TimePoint Now,
                ports::EffectList &Out);

  void onClaimRequested(const ports::ClaimRequested &Requested,
                        model::TimePoint Now, ports::EffectList &Out);
  void onClaimEnded(const ports::ClaimEnded &Ended, model::TimePoint Now,
                    ports::EffectList &Out);
  void onClaimRequest(const model::NodeId &From,
                      const ports::ClaimRequest &Request, model::TimePoint Now,
                      ports::EffectList &Out);
  void onClaimReply(const model::NodeId &From, const ports::ClaimReply &Reply,
                    model::TimePoint Now, ports::EffectList &Out);
  void onClaimOutcome(const model::NodeId &From,
                      const ports::ClaimOutcome &Outcome, model::TimePoint Now,
                      ports::EffectList &Out);
  /// Handles an answer that the governor routed to StoreClient::Claims.
  void onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Out);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  /// Whether no request of this node waits for a claim and every outcome
  /// reported so far is recorded. A graceful stop waits for this, up to its
  /// time limit, once traffic has ended all runs.
  bool isIdle() const { return m_Client.isIdle(); }
  /// Number of shards whose state is in memory.
  size_t loadedShardCount() const { return m_Shards.size(); }
  const ClaimCounts &counts() const { return m_Client.counts(); }

private:
  using ShardMap = std::map<uint32_t, ClaimShard>;

  uint32_t shardOf(uint64_t KeyHash) const {
    return static_cast<uint32_t>(KeyHash % m_Settings.m_ShardCount);
  }
  /// The shard, created if needed; null if this node must not answer for it.
  ClaimShard *ownedShard(uint32_t Shard, uint32_t Rank);
  ports::ClaimReply notOwner(uint64_t ClaimRequestId, bool IsOutcomeReply,
                             uint32_t Shard) const;
  void advanceShard(uint32_t Index, ClaimShard &Shard, model::TimePoint Now,
                    ports::EffectList &Out);
  void carryOut(uint32_t Index, ShardOutput &Output, model::TimePoint Now,
                ports::EffectList &Out);
  void reply(const model::NodeId &To, const ports::ClaimReply &Reply,
             model::TimePoint Now, ports::EffectList &Out);
  void sendDue(model::TimePoint Now, ports::EffectList &Out);
  void unloadIdle(model::TimePoint Now);

  ClaimSettings m_Settings;
  model::NodeId m_Self;
  leases::StoreGovernor &m_Governor;
  ports::Random &m_Random;
  ShardCandidates m_Candidates;
  ClaimClient m_Client;
  ShardMap m_Shards;
  std::map<model::CallId, uint32_t> m_Calls;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSHARDS_H
