#include "Core/Claims/ClaimShards.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

namespace {

model::Duration windowOf(const ports::ClaimRequest &Request,
                         const ClaimSettings &Settings) {
  const uint64_t MaxWindow =
      static_cast<uint64_t>((Settings.m_ClaimLifetime / 2).count());
  return model::Duration(
      static_cast<int64_t>(std::min(Request.m_WindowMicros, MaxWindow)));
}

} // namespace

ClaimShards::ClaimShards(const ClaimSettings &Settings,
                         const model::NodeId &Self,
                         leases::StoreGovernor &Governor, ports::Random &Source)
    : m_Settings(Settings), m_Self(Self), m_Governor(Governor),
      m_Random(Source), m_Candidates(Settings.m_ShardCount),
      m_Client(m_Settings, Source) {}

void ClaimShards::setNodes(const std::vector<model::NodeId> &Nodes,
                           model::TimePoint Now, ports::EffectList &Out) {
  m_Candidates.assign(Nodes);
  tick(Now, Out);
}

void ClaimShards::onClaimRequested(const ports::ClaimRequested &Requested,
                                   model::TimePoint Now,
                                   ports::EffectList &Out) {
  m_Client.onClaimRequested(Requested, Now, Out);
  sendDue(Now, Out);
}

void ClaimShards::onClaimEnded(const ports::ClaimEnded &Ended,
                               model::TimePoint Now, ports::EffectList &Out) {
  m_Client.onClaimEnded(Ended, Now);
  sendDue(Now, Out);
}

void ClaimShards::onClaimRequest(const model::NodeId &From,
                                 const ports::ClaimRequest &Request,
                                 model::TimePoint Now, ports::EffectList &Out) {
  const uint32_t Index = shardOf(Request.m_KeyHash);
  ClaimShard *Shard = ownedShard(Index, Request.m_Rank);
  if (!Shard) {
    reply(From, notOwner(Request.m_ClaimRequestId, false, Index), Now, Out);
    return;
  }
  WaitingRequest Waiting;
  Waiting.m_RequestRef = {From, Request.m_ClaimRequestId};
  Waiting.m_KeyHash = Request.m_KeyHash;
  Waiting.m_BodyHash = Request.m_BodyHash;
  Waiting.m_Deadline =
      Now + windowOf(Request, m_Settings) - m_Settings.m_ServeMargin;
  Waiting.m_HoldUntil =
      std::min(Now + m_Settings.m_PendingHold, Waiting.m_Deadline);
  ShardOutput Output;
  Shard->addRequest(Waiting, Now, Output);
  carryOut(Index, Output, Now, Out);
  advanceShard(Index, *Shard, Now, Out);
}

void ClaimShards::onClaimOutcome(const model::NodeId &From,
                                 const ports::ClaimOutcome &Outcome,
                                 model::TimePoint Now, ports::EffectList &Out) {
  const uint32_t Index = shardOf(Outcome.m_KeyHash);
  ClaimShard *Shard = ownedShard(Index, 0);
  if (!Shard) {
    reply(From, notOwner(Outcome.m_ClaimRequestId, true, Index), Now, Out);
    return;
  }
  Shard->addOutcome({.m_RequestRef = {From, Outcome.m_ClaimRequestId},
                     .m_KeyHash = Outcome.m_KeyHash,
                     .m_State = Outcome.m_State,
                     .m_Status = Outcome.m_Status,
                     .m_Answer = Outcome.m_Answer,
                     .m_ArrivedAt = Now},
                    Now);
  advanceShard(Index, *Shard, Now, Out);
}

void ClaimShards::onClaimReply(const model::NodeId &From,
                               const ports::ClaimReply &Reply,
                               model::TimePoint Now, ports::EffectList &Out) {
  m_Client.onClaimReply(From, Reply, Now, Out);
  sendDue(Now, Out);
}

void ClaimShards::onStoreAnswer(const ports::StoreAnswer &Answer,
                                model::TimePoint Now, ports::EffectList &Out) {
  auto Call = m_Calls.find(Answer.m_Id);
  if (Call == m_Calls.end())
    return;
  const uint32_t Index = Call->second;
  m_Calls.erase(Call);
  ClaimShard &Shard = m_Shards.at(Index);
  ShardOutput Output;
  Shard.onAnswer(Answer, Now, Output);
  carryOut(Index, Output, Now, Out);
  advanceShard(Index, Shard, Now, Out);
}

void ClaimShards::tick(model::TimePoint Now, ports::EffectList &Out) {
  sendDue(Now, Out);
  for (auto &Entry : m_Shards) {
    Entry.second.reevaluateAll();
    advanceShard(Entry.first, Entry.second, Now, Out);
  }
  unloadIdle(Now);
}

ClaimShard *ClaimShards::ownedShard(uint32_t Shard, uint32_t Rank) {
  auto Found = m_Shards.find(Shard);
  const bool IsLastWriter =
      Found != m_Shards.end() && Found->second.isLastWriter();
  if (!IsLastWriter && Rank == 0 && !m_Candidates.isFirst(Shard, m_Self))
    return nullptr;
  if (Found == m_Shards.end())
    Found =
        m_Shards
            .emplace(std::piecewise_construct, std::forward_as_tuple(Shard),
                     std::forward_as_tuple(Shard, m_Settings, m_Self, m_Random))
            .first;
  return &Found->second;
}

ports::ClaimReply ClaimShards::notOwner(uint64_t ClaimRequestId,
                                        bool IsOutcomeReply,
                                        uint32_t Shard) const {
  ports::ClaimReply Reply{.m_ClaimRequestId = ClaimRequestId,
                          .m_Verdict = ports::ClaimVerdictKind::NotOwner,
                          .m_IsOutcomeReply = IsOutcomeReply};
  const std::vector<model::NodeId> &Ranked = m_Candidates.of(Shard);
  if (!Ranked.empty())
    Reply.m_Owner = Ranked.front();
  return Reply;
}

void ClaimShards::advanceShard(uint32_t Index, ClaimShard &Shard,
                               model::TimePoint Now, ports::EffectList &Out) {
  ShardOutput Output;
  Shard.advance(
      Now,
      [this](const model::NodeId &Node) { return m_Candidates.isLive(Node); },
      Output);
  carryOut(Index, Output, Now, Out);
}

void ClaimShards::carryOut(uint32_t Index, ShardOutput &Output,
                           model::TimePoint Now, ports::EffectList &Out) {
  for (model::Decision &Line : Output.m_Decisions)
    Out.push_back(std::move(Line));
  if (Output.m_Call) {
    const model::CallId Id = m_Governor.submit(
        leases::StoreClient::Claims, std::move(*Output.m_Call), Now, Out);
    m_Calls[Id] = Index;
  }
  for (ports::StoreCall &Deletion : Output.m_Deletions)
    m_Governor.submit(leases::StoreClient::Claims, std::move(Deletion), Now,
                      Out);
  for (const ShardReply &Answer : Output.m_Replies)
    reply(Answer.m_To, Answer.m_Reply, Now, Out);
}

void ClaimShards::reply(const model::NodeId &To, const ports::ClaimReply &Reply,
                        model::TimePoint Now, ports::EffectList &Out) {
  if (To == m_Self)
    m_Client.onClaimReply(m_Self, Reply, Now, Out);
  else
    Out.push_back(ports::PeerSend{To, Reply});
}

void ClaimShards::sendDue(model::TimePoint Now, ports::EffectList &Out) {
  ClaimClient::OwnerMessages ToOwners;
  m_Client.advance(m_Candidates, Now, ToOwners, Out);
  for (ports::PeerSend &Send : ToOwners) {
    if (Send.m_To != m_Self)
      Out.push_back(std::move(Send));
    else if (const auto *Request =
                 std::get_if<ports::ClaimRequest>(&Send.m_Message))
      onClaimRequest(m_Self, *Request, Now, Out);
    else if (const auto *Outcome =
                 std::get_if<ports::ClaimOutcome>(&Send.m_Message))
      onClaimOutcome(m_Self, *Outcome, Now, Out);
  }
}

void ClaimShards::unloadIdle(model::TimePoint Now) {
  std::erase_if(m_Shards, [&](const ShardMap::value_type &Entry) {
    const ClaimShard &Shard = Entry.second;
    return Shard.isIdle() && !m_Candidates.isFirst(Entry.first, m_Self) &&
           Now - Shard.lastUsedAt() > m_Settings.m_IdleUnloadDelay;
  });
}

} // namespace bronzepass::core::claims
