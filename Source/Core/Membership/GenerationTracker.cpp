#include "Core/Membership/GenerationTracker.h"

#include "Core/Model/Hash.h"

namespace bronzepass::core::membership {

namespace {

/// Bounds what peers can make this node keep.
constexpr size_t MaxHolders = 8192;

uint64_t hashOf(const model::NodeId &Node) {
  return model::stableHash(Node.str());
}

} // namespace

GenerationTracker::GenerationTracker(const model::NodeId &Self)
    : m_SelfHash(hashOf(Self)) {}

void GenerationTracker::raise(model::Generation Generation) {
  if (Generation <= m_Newest)
    return;
  m_Newest = Generation;
  m_Holders.clear();
  for (auto &[Peer, Untold] : m_Untold)
    Untold.clear();
}

void GenerationTracker::add(uint64_t NodeHash, const model::NodeId *From) {
  if (m_Holders.size() >= MaxHolders || !m_Holders.insert(NodeHash).second)
    return;
  for (auto &[Peer, Untold] : m_Untold)
    if (!From || Peer != *From)
      Untold.insert(NodeHash);
}

void GenerationTracker::setOwn(model::Generation Generation) {
  m_Own = Generation;
  raise(Generation);
  if (Generation && Generation == m_Newest)
    add(m_SelfHash, nullptr);
}

void GenerationTracker::heard(const model::NodeId &Peer,
                              model::Generation Generation) {
  raise(Generation);
  if (Generation && Generation == m_Newest)
    add(hashOf(Peer), nullptr);
}

void GenerationTracker::merge(const model::NodeId &From,
                              const ports::GenerationProgress &Progress) {
  raise(Progress.m_Generation);
  if (!Progress.m_Generation || Progress.m_Generation != m_Newest)
    return;
  for (const uint64_t Hash : Progress.m_NodeHashes)
    add(Hash, &From);
}

void GenerationTracker::linkUp(const model::NodeId &Peer) {
  m_Untold[Peer] = m_Holders;
}

void GenerationTracker::linkDown(const model::NodeId &Peer) {
  m_Untold.erase(Peer);
}

bool GenerationTracker::hasNewsFor(const model::NodeId &Peer) const {
  const auto Found = m_Untold.find(Peer);
  return Found != m_Untold.end() && !Found->second.empty();
}

ports::GenerationProgress GenerationTracker::take(const model::NodeId &Peer,
                                                  size_t Max) {
  ports::GenerationProgress Progress;
  const auto Found = m_Untold.find(Peer);
  if (Found == m_Untold.end() || Found->second.empty())
    return Progress;
  std::set<uint64_t> &Untold = Found->second;
  Progress.m_Generation = m_Newest;
  while (!Untold.empty() && Progress.m_NodeHashes.size() < Max) {
    Progress.m_NodeHashes.push_back(*Untold.begin());
    Untold.erase(Untold.begin());
  }
  return Progress;
}

std::vector<model::NodeInfo> GenerationTracker::nodesBehind(
    model::Generation Generation,
    const std::vector<model::NodeInfo> &Nodes) const {
  std::vector<model::NodeInfo> Late;
  for (const model::NodeInfo &Node : Nodes) {
    const bool Own = hashOf(Node.m_Node) == m_SelfHash;
    const bool Holds =
        Own ? m_Own >= Generation
            : Generation <= m_Newest && m_Holders.contains(hashOf(Node.m_Node));
    if (!Holds)
      Late.push_back(Node);
  }
  return Late;
}

} // namespace bronzepass::core::membership
