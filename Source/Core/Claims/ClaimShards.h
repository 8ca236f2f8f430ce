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

/// The at-most-once record of requests with an idempotency key, as one node
/// takes part in it: it asks the owners of shards for its own requests, and
/// owns the shards for which it is the first of the live nodes. Nothing is
/// called or sent while no request with a key is under way.
class ClaimShards {
public:
  /// \p Governor and \p Source outlive this.
  ClaimShards(const ClaimSettings &Settings, const model::NodeId &Self,
              leases::StoreGovernor &Governor, ports::Random &Source);
  ClaimShards(const ClaimShards &) = delete;
  ClaimShards &operator=(const ClaimShards &) = delete;

  /// The live nodes, this one included; call again when they change.
  void setNodes(const std::vector<model::NodeId> &Nodes, model::TimePoint Now,
                ports::EffectList &Out);

  void onWanted(const ports::ClaimRequested &Wanted, model::TimePoint Now,
                ports::EffectList &Out);
  void onEnded(const ports::ClaimEnded &Ended, model::TimePoint Now,
               ports::EffectList &Out);
  void onAsk(const model::NodeId &From, const ports::ClaimRequest &Ask,
             model::TimePoint Now, ports::EffectList &Out);
  void onReply(const model::NodeId &From, const ports::ClaimReply &Reply,
               model::TimePoint Now, ports::EffectList &Out);
  void onOutcome(const model::NodeId &From, const ports::ClaimOutcome &Outcome,
                 model::TimePoint Now, ports::EffectList &Out);
  /// An answer that the governor routed to StoreClient::Claims.
  void onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                     ports::EffectList &Out);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  /// Whether no request of this node waits for a claim and every outcome told
  /// so far is recorded. A graceful stop waits for it, within its bound, once
  /// traffic has ended all runs.
  bool isIdle() const { return m_Asks.isIdle(); }
  /// Shards whose state this node keeps.
  size_t shardsKept() const { return m_Shards.size(); }
  const ClaimCounts &counts() const { return m_Asks.counts(); }

private:
  using ShardMap = std::map<uint32_t, ClaimShard>;

  uint32_t shardOf(uint64_t KeyHash) const {
    return static_cast<uint32_t>(KeyHash % m_Settings.m_ShardCount);
  }
  /// The shard, if this node is to answer for it; else nothing.
  ClaimShard *accept(uint32_t Shard, uint32_t Rank);
  ports::ClaimReply notOwner(uint64_t AskId, bool ToOutcome,
                             uint32_t Shard) const;
  void advanceShard(uint32_t Index, ClaimShard &Shard, model::TimePoint Now,
                    ports::EffectList &Out);
  void carryOut(uint32_t Index, ShardOutput &Output, model::TimePoint Now,
                ports::EffectList &Out);
  void reply(const model::NodeId &To, const ports::ClaimReply &Reply,
             model::TimePoint Now, ports::EffectList &Out);
  void sendDue(model::TimePoint Now, ports::EffectList &Out);
  void forgetIdle(model::TimePoint Now);

  ClaimSettings m_Settings;
  model::NodeId m_Self;
  leases::StoreGovernor &m_Governor;
  ports::Random &m_Random;
  ShardCandidates m_Candidates;
  ClaimClient m_Asks;
  ShardMap m_Shards;
  std::map<model::CallId, uint32_t> m_Calls;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSHARDS_H
