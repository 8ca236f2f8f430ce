#include "Core/Placement/PlacementCore.h"

#include <algorithm>

namespace bronzepass::core::placement {

namespace {
const std::string LeasePrefix = "pool/";
} // namespace

model::LeaseName poolLease(const model::PoolId &Pool) {
  return {LeasePrefix + Pool.str()};
}

PlacementCore::PlacementCore(model::NodeId Self, StoreCallSender SendStoreCall,
                             PlacementSettings Settings)
    : m_Self(std::move(Self)), m_SendStoreCall(std::move(SendStoreCall)),
      m_Settings(Settings) {}

PoolShard *PlacementCore::shardOf(const model::EndpointId &Endpoint) {
  auto Pool = m_PoolByEngine.find(Endpoint);
  if (Pool == m_PoolByEngine.end())
    return nullptr;
  auto Found = m_Shards.find(Pool->second);
  return Found == m_Shards.end() ? nullptr : &Found->second;
}

void PlacementCore::intentChanged(std::shared_ptr<const model::Intent> Value,
                                  model::TimePoint Now,
                                  ports::EffectList &Effects) {
  if (m_Intent && Value->m_Generation < m_Intent->m_Generation)
    return;
  m_Intent = std::move(Value);
  m_Catalog = std::make_shared<const Catalog>(m_Intent);
  m_PoolByEngine.clear();
  for (const model::PoolSpec &Pool : m_Intent->m_Pools)
    for (const model::EndpointSpec &Engine : Pool.m_Endpoints)
      m_PoolByEngine[Engine.m_Name] = Pool.m_Name;
  for (auto It = m_OtherPools.begin(); It != m_OtherPools.end();)
    It = m_PoolByEngine.count(It->first) ? std::next(It)
                                         : m_OtherPools.erase(It);
  for (auto &Entry : m_Shards) {
    Entry.second.intentChanged(m_Catalog, m_Liveness, Now);
    Entry.second.tick(Now, Effects);
  }
}

void PlacementCore::leaseHeld(const model::HeldLease &Lease,
                              model::TimePoint Now,
                              ports::EffectList &Effects) {
  const std::string &Duty = Lease.m_Name.m_Duty;
  if (Duty.compare(0, LeasePrefix.size(), LeasePrefix) != 0)
    return;
  const model::PoolId Pool(Duty.substr(LeasePrefix.size()));
  auto Found = m_Shards.find(Pool);
  if (Found != m_Shards.end() &&
      Found->second.lease().m_Token == Lease.m_Token) {
    Found->second.leaseRenewed(Lease);
    return;
  }
  m_Shards.erase(Pool);
  auto Added = m_Shards.try_emplace(Pool, m_Self, m_SendStoreCall, m_Settings,
                                    Pool, Lease, m_OtherPools, Now);
  if (!m_Catalog)
    return;
  Added.first->second.intentChanged(m_Catalog, m_Liveness, Now);
  Added.first->second.tick(Now, Effects);
}

void PlacementCore::leaseLost(const model::LeaseName &Name) {
  for (auto It = m_Shards.begin(); It != m_Shards.end(); ++It) {
    if (It->second.lease().m_Name != Name)
      continue;
    m_Shards.erase(It);
    return;
  }
}

void PlacementCore::reportReceived(const model::EngineReport &Report,
                                   model::TimePoint Now,
                                   ports::EffectList &Effects) {
  if (PoolShard *Shard = shardOf(Report.m_Endpoint)) {
    m_OtherPools.erase(Report.m_Endpoint);
    Shard->reportReceived(Report, Now, Effects);
    return;
  }
  if (m_Shards.empty() || !m_PoolByEngine.count(Report.m_Endpoint))
    return;
  OtherPoolCopies &Copies = m_OtherPools[Report.m_Endpoint];
  Copies.m_SeenAt = Now;
  Copies.m_Serving.clear();
  for (const model::CopyReport &Copy : Report.m_Copies)
    if (Copy.m_State == model::CopyState::Serving)
      Copies.m_Serving.push_back(Copy.m_Artifact);
  std::sort(Copies.m_Serving.begin(), Copies.m_Serving.end());
}

void PlacementCore::reportMissed(const ports::ReportFailed &Missed,
                                 model::TimePoint Now,
                                 ports::EffectList &Effects) {
  if (PoolShard *Shard = shardOf(Missed.m_Endpoint))
    Shard->reportMissed(Missed, Now, Effects);
}

void PlacementCore::livenessChanged(const model::EndpointState &State,
                                    model::TimePoint Now,
                                    ports::EffectList &Effects) {
  m_Liveness[State.m_Endpoint] = State.m_Liveness;
  if (PoolShard *Shard = shardOf(State.m_Endpoint))
    Shard->livenessChanged(State, Now, Effects);
}

void PlacementCore::orderAnswered(const model::OrderAnswer &Answer,
                                  model::TimePoint Now,
                                  ports::EffectList &Effects) {
  if (PoolShard *Shard = shardOf(Answer.m_Endpoint))
    Shard->orderAnswered(Answer, Now, Effects);
}

bool PlacementCore::storeAnswered(const ports::StoreAnswer &Answer,
                                  model::TimePoint Now,
                                  ports::EffectList &Effects) {
  for (auto &Entry : m_Shards)
    if (Entry.second.storeAnswered(Answer, Now, Effects))
      return true;
  return false;
}

void PlacementCore::demandReceived(
    const std::vector<model::DemandSample> &Samples, model::TimePoint Now) {
  for (const model::DemandSample &Sample : Samples)
    for (auto &Entry : m_Shards)
      Entry.second.demandReceived(Sample, Now);
}

void PlacementCore::predecessorFenced(const model::LeaseName &Lease,
                                      const model::NodeId &Node,
                                      model::FencingToken Token,
                                      model::TimePoint Now,
                                      ports::EffectList &Effects) {
  for (auto &Entry : m_Shards) {
    if (Entry.second.lease().m_Name != Lease)
      continue;
    Entry.second.predecessorFenced(Node, Token, Now);
    Entry.second.tick(Now, Effects);
  }
}

void PlacementCore::nodeGone(const model::NodeId &Node, model::TimePoint Now,
                             ports::EffectList &Effects) {
  for (auto &Entry : m_Shards) {
    Entry.second.nodeGone(Node, Now);
    Entry.second.tick(Now, Effects);
  }
}

void PlacementCore::tick(model::TimePoint Now, ports::EffectList &Effects) {
  for (auto &Entry : m_Shards)
    Entry.second.tick(Now, Effects);
}

std::vector<MoveStatus> PlacementCore::moves() const {
  std::vector<MoveStatus> All;
  for (const auto &Entry : m_Shards)
    Entry.second.addMoves(All);
  return All;
}

std::vector<CopyStatus>
PlacementCore::explain(const model::ArtifactId &Artifact,
                       model::TimePoint Now) const {
  std::vector<CopyStatus> All;
  for (const auto &Entry : m_Shards)
    Entry.second.addCopies(Artifact, Now, All);
  return All;
}

std::vector<EngineStatus> PlacementCore::engines() const {
  std::vector<EngineStatus> All;
  for (const auto &Entry : m_Shards)
    Entry.second.addEngines(All);
  return All;
}

model::FindingList PlacementCore::findings() const {
  model::FindingList All;
  for (const auto &Entry : m_Shards)
    Entry.second.addFindings(All);
  return All;
}

MoveCounts PlacementCore::counts() const {
  MoveCounts Sum;
  for (const auto &Entry : m_Shards) {
    const MoveCounts Part = Entry.second.counts();
    Sum.m_ModelLoads += Part.m_ModelLoads;
    Sum.m_AdapterLoads += Part.m_AdapterLoads;
    Sum.m_Unloads += Part.m_Unloads;
    Sum.m_Repeats += Part.m_Repeats;
  }
  return Sum;
}

std::vector<UnfencedNode> PlacementCore::unfencedNodes() const {
  std::vector<UnfencedNode> All;
  for (const auto &Entry : m_Shards)
    Entry.second.addUnfenced(All);
  std::sort(All.begin(), All.end());
  All.erase(std::unique(All.begin(), All.end()), All.end());
  return All;
}

std::vector<model::Copy> PlacementCore::drainingCopies() const {
  std::vector<model::Copy> All;
  for (const auto &Entry : m_Shards)
    Entry.second.addDraining(All);
  return All;
}

} // namespace bronzepass::core::placement
