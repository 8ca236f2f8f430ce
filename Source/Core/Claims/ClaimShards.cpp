#include "Core/Claims/ClaimShards.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

namespace {

model::Duration windowOf(const ports::ClaimRequest &Ask,
                         const ClaimSettings &Settings) {
  const uint64_t Most = static_cast<uint64_t>((Settings.m_Expiry / 2).count());
  return model::Duration(
      static_cast<int64_t>(std::min(Ask.m_WindowMicros, Most)));
}

} // namespace

ClaimShards::ClaimShards(const ClaimSettings &Settings,
                         const model::NodeId &Self,
                         leases::StoreGovernor &Governor, ports::Random &Source)
    : m_Settings(Settings), m_Self(Self), m_Governor(Governor),
      m_Random(Source), m_Candidates(Settings.m_ShardCount),
      m_Asks(m_Settings, Source) {}

void ClaimShards::setNodes(const std::vector<model::NodeId> &Nodes,
                           model::TimePoint Now, ports::EffectList &Out) {
  m_Candidates.assign(Nodes);
  tick(Now, Out);
}

void ClaimShards::onWanted(const ports::ClaimRequested &Wanted,
                           model::TimePoint Now, ports::EffectList &Out) {
  m_Asks.onWanted(Wanted, Now, Out);
  sendDue(Now, Out);
}

void ClaimShards::onEnded(const ports::ClaimEnded &Ended, model::TimePoint Now,
                          ports::EffectList &Out) {
  m_Asks.onEnded(Ended, Now);
  sendDue(Now, Out);
}

void ClaimShards::onAsk(const model::NodeId &From,
                        const ports::ClaimRequest &Ask, model::TimePoint Now,
                        ports::EffectList &Out) {
  const uint32_t Index = shardOf(Ask.m_KeyHash);
  ClaimShard *Shard = accept(Index, Ask.m_Rank);
  if (!Shard) {
    reply(From, notOwner(Ask.m_ClaimRequestId, false, Index), Now, Out);
    return;
  }
  WaitingAsk Waiting;
  Waiting.m_Ask = {From, Ask.m_ClaimRequestId};
  Waiting.m_KeyHash = Ask.m_KeyHash;
  Waiting.m_BodyHash = Ask.m_BodyHash;
  Waiting.m_Until = Now + windowOf(Ask, m_Settings) - m_Settings.m_ServeMargin;
  Waiting.m_HoldUntil =
      std::min(Now + m_Settings.m_PendingHold, Waiting.m_Until);
  ShardOutput Output;
  Shard->addAsk(Waiting, Now, Output);
  carryOut(Index, Output, Now, Out);
  advanceShard(Index, *Shard, Now, Out);
}

void ClaimShards::onOutcome(const model::NodeId &From,
                            const ports::ClaimOutcome &Outcome,
                            model::TimePoint Now, ports::EffectList &Out) {
  const uint32_t Index = shardOf(Outcome.m_KeyHash);
  ClaimShard *Shard = accept(Index, 0);
  if (!Shard) {
    reply(From, notOwner(Outcome.m_ClaimRequestId, true, Index), Now, Out);
    return;
  }
  Shard->addOutcome({.m_Ask = {From, Outcome.m_ClaimRequestId},
                     .m_KeyHash = Outcome.m_KeyHash,
                     .m_State = Outcome.m_State,
                     .m_Status = Outcome.m_Status,
                     .m_Answer = Outcome.m_Answer,
                     .m_ArrivedAt = Now},
                    Now);
  advanceShard(Index, *Shard, Now, Out);
}

void ClaimShards::onReply(const model::NodeId &From,
                          const ports::ClaimReply &Reply, model::TimePoint Now,
                          ports::EffectList &Out) {
  m_Asks.onReply(From, Reply, Now, Out);
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
    Entry.second.judgeAnew();
    advanceShard(Entry.first, Entry.second, Now, Out);
  }
  forgetIdle(Now);
}

ClaimShard *ClaimShards::accept(uint32_t Shard, uint32_t Rank) {
  auto Found = m_Shards.find(Shard);
  const bool Held = Found != m_Shards.end() && Found->second.isHeld();
  if (!Held && Rank == 0 && !m_Candidates.isFirst(Shard, m_Self))
    return nullptr;
  if (Found == m_Shards.end())
    Found =
        m_Shards
            .emplace(std::piecewise_construct, std::forward_as_tuple(Shard),
                     std::forward_as_tuple(Shard, m_Settings, m_Self, m_Random))
            .first;
  return &Found->second;
}

ports::ClaimReply ClaimShards::notOwner(uint64_t AskId, bool ToOutcome,
                                        uint32_t Shard) const {
  ports::ClaimReply Reply{.m_ClaimRequestId = AskId,
                          .m_Verdict = ports::ClaimVerdictKind::NotOwner,
                          .m_IsOutcomeReply = ToOutcome};
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
    m_Asks.onReply(m_Self, Reply, Now, Out);
  else
    Out.push_back(ports::PeerSend{To, Reply});
}

void ClaimShards::sendDue(model::TimePoint Now, ports::EffectList &Out) {
  ClaimClient::Sends ToOwners;
  m_Asks.advance(m_Candidates, Now, ToOwners, Out);
  for (ports::PeerSend &Send : ToOwners) {
    if (Send.m_To != m_Self)
      Out.push_back(std::move(Send));
    else if (const auto *Ask =
                 std::get_if<ports::ClaimRequest>(&Send.m_Message))
      onAsk(m_Self, *Ask, Now, Out);
    else if (const auto *Outcome =
                 std::get_if<ports::ClaimOutcome>(&Send.m_Message))
      onOutcome(m_Self, *Outcome, Now, Out);
  }
}

void ClaimShards::forgetIdle(model::TimePoint Now) {
  std::erase_if(m_Shards, [&](const ShardMap::value_type &Entry) {
    const ClaimShard &Shard = Entry.second;
    return Shard.isIdle() && !m_Candidates.isFirst(Entry.first, m_Self) &&
           Now - Shard.lastUsedAt() > m_Settings.m_IdleBeforeForget;
  });
}

} // namespace bronzepass::core::claims
