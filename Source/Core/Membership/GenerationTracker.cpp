#include "Core/Membership/GenerationTracker.h"

#include "Core/Model/Hash.h"

namespace bronzepass::core::membership {

namespace {

/// Bounds the memory that peers can make this node use.
constexpr size_t MaxHolders = 8192;

uint64_t hashOf(const model::NodeId &Node) {
  return model::stableHash(Node.str());
}

} // namespace

GenerationTracker::GenerationTracker(const model::NodeId &Self)
    : m_SelfHash(hashOf(Self)) {}

void GenerationTracker::advanceNewest(model::Generation Generation) {
  if (Generation <= m_Newest)
    return;
  m_Newest = Generation;
  m_NewestHolders.clear();
  for (auto &[Peer, Unsent] : m_Unsent)
    Unsent.clear();
}

void GenerationTracker::add(uint64_t NodeHash, const model::NodeId *From) {
  if (m_NewestHolders.size() >= MaxHolders ||
      !m_NewestHolders.insert(NodeHash).second)
    return;
  for (auto &[Peer, Unsent] : m_Unsent)
    if (!From || Peer != *From)
      Unsent.insert(NodeHash);
}

void GenerationTracker::setOwn(model::Generation Generation) {
  m_Own = Generation;
  advanceNewest(Generation);
  if (Generation && Generation == m_Newest)
    add(m_SelfHash, nullptr);
}

void GenerationTracker::onPeerGeneration(const model::NodeId &Peer,
                                         model::Generation Generation) {
  advanceNewest(Generation);
  if (Generation && Generation == m_Newest)
    add(hashOf(Peer), nullptr);
}

void GenerationTracker::merge(const model::NodeId &From,
                              const ports::GenerationProgress &Progress) {
  advanceNewest(Progress.m_Generation);
  if (!Progress.m_Generation || Progress.m_Generation != m_Newest)
    return;
  for (const uint64_t Hash : Progress.m_NodeHashes)
    add(Hash, &From);
}

void GenerationTracker::linkUp(const model::NodeId &Peer) {
  m_Unsent[Peer] = m_NewestHolders;
}

void GenerationTracker::linkDown(const model::NodeId &Peer) {
  m_Unsent.erase(Peer);
}

bool GenerationTracker::hasUpdatesFor(const model::NodeId &Peer) const {
  const auto Found = m_Unsent.find(Peer);
  return Found != m_Unsent.end() && !Found->second.empty();
}

ports::GenerationProgress GenerationTracker::take(const model::NodeId &Peer,
                                                  size_t Max) {
  ports::GenerationProgress Progress;
  const auto Found = m_Unsent.find(Peer);
  if (Found == m_Unsent.end() || Found->second.empty())
    return Progress;
  std::set<uint64_t> &Unsent = Found->second;
  Progress.m_Generation = m_Newest;
  while (!Unsent.empty() && Progress.m_NodeHashes.size() < Max) {
    Progress.m_NodeHashes.push_back(*Unsent.begin());
    Unsent.erase(Unsent.begin());
  }
  return Progress;
}

std::vector<model::NodeInfo> GenerationTracker::nodesBehind(
    model::Generation Generation,
    const std::vector<model::NodeInfo> &Nodes) const {
  std::vector<model::NodeInfo> Behind;
  for (const model::NodeInfo &Node : Nodes) {
    const bool Own = hashOf(Node.m_Node) == m_SelfHash;
    const bool Holds = Own ? m_Own >= Generation
                           : Generation <= m_Newest &&
                                 m_NewestHolders.contains(hashOf(Node.m_Node));
    if (!Holds)
      Behind.push_back(Node);
  }
  return Behind;
}

} // namespace bronzepass::core::membership
