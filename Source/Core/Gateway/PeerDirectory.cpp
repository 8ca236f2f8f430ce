#include "Core/Gateway/PeerDirectory.h"

#include "Core/Gateway/PeerNotice.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace bronzepass::core::gateway {

PeerDirectory::PeerDirectory(model::NodeId Self, const PeerTiming &Timing)
    : m_Self(std::move(Self)), m_Timing(Timing) {}

void PeerDirectory::setRegistered(const std::vector<NodeEntry> &Nodes,
                                  model::TimePoint Now) {
  std::map<model::NodeId, Peer> Known;
  for (const NodeEntry &Each : Nodes) {
    if (Each.m_Node == m_Self)
      continue;
    const auto Old = m_Peers.find(Each.m_Node);
    Peer &Value = Known[Each.m_Node];
    if (Old != m_Peers.end())
      Value = Old->second;
    else
      Value.m_Weight = model::rendezvousWeight(m_Self.str(), Each.m_Node.str());
    // The source address of a recent notice is newer than the registered one.
    if (!isAlive(Value, Now))
      Value.m_Address = Each.m_PeerAddress;
  }
  for (const auto &Each : m_Peers)
    if (isAlive(Each.second, Now))
      Known.emplace(Each);
  m_Peers = std::move(Known);
}

Peer &PeerDirectory::onNotice(const model::NodeId &Node,
                              const model::Address &From, bool HasLoads,
                              model::TimePoint Now) {
  const auto [Found, IsNew] = m_Peers.try_emplace(Node);
  Peer &Known = Found->second;
  if (IsNew)
    Known.m_Weight = model::rendezvousWeight(m_Self.str(), Node.str());
  // It may not have heard this node either.
  if (!isAlive(Known, Now))
    Known.m_LastSentAt.reset();
  Known.m_Address = From;
  Known.m_LastHeardAt = Now;
  if (HasLoads)
    Known.m_LoadsHeardAt = Now;
  return Known;
}

model::Duration PeerDirectory::greetingPeriod(model::Duration Least,
                                              size_t Peers) const {
  return std::max(Least,
                  m_Timing.m_GreetingSpacing * static_cast<int64_t>(Peers));
}

bool PeerDirectory::isAlive(const Peer &Known, model::TimePoint Now) const {
  if (!Known.m_LastHeardAt)
    return false;
  const bool SendsLoads =
      Known.m_LoadsHeardAt &&
      *Known.m_LastHeardAt - *Known.m_LoadsHeardAt < m_Timing.m_MaxLoadGap;
  model::Duration Lifetime = m_Timing.m_LoadLifetime;
  // A holder announces itself each second.
  if (!SendsLoads && !Known.m_HoldsLease)
    Lifetime += m_Timing.m_LostGreetings *
                greetingPeriod(m_Timing.m_GreetingPeriod, m_AliveCount);
  return Now - *Known.m_LastHeardAt < Lifetime;
}

bool PeerDirectory::hadTimeToAnswer(const Peer &Known,
                                    model::TimePoint Now) const {
  return Known.m_FirstSentAt &&
         Now - *Known.m_FirstSentAt >= m_Timing.m_FirstAnswerTime;
}

LivePeers PeerDirectory::livePeers(model::TimePoint Now) const {
  LivePeers Live;
  for (const auto &Each : m_Peers) {
    const Peer &Known = Each.second;
    if (isAlive(Known, Now)) {
      (Known.m_IsStoreRefused ? Live.m_StoreRefused : Live.m_Able)
          .push_back(Each.first);
      Live.m_HasHolder = Live.m_HasHolder || Known.m_HoldsLease;
      continue;
    }
    if (Known.m_LastHeardAt || hadTimeToAnswer(Known, Now))
      Live.m_Silent.push_back(Each.first);
  }
  return Live;
}

std::set<model::NodeId> PeerDirectory::loadTargets(model::TimePoint Now) const {
  using Rank = std::tuple<bool, bool, model::TimePoint, uint64_t>;
  std::vector<std::pair<Rank, const model::NodeId *>> Ranked;
  for (const auto &Each : m_Peers) {
    const Peer &Known = Each.second;
    const bool IsAlive = isAlive(Known, Now);
    const model::TimePoint SilentSince =
        IsAlive ? model::TimePoint()
                : Known.m_LastHeardAt.value_or(model::TimePoint());
    Ranked.push_back(
        {{Known.m_HoldsLease, IsAlive, SilentSince, Known.m_Weight},
         &Each.first});
  }
  const size_t Count = std::min(Ranked.size(), MaxNoticeTargets);
  const auto End = Ranked.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Ranked.begin(), End, Ranked.end(), std::greater<>());
  std::set<model::NodeId> Targets;
  for (auto Each = Ranked.begin(); Each != End; ++Each)
    Targets.insert(*Each->second);
  return Targets;
}

model::Address PeerDirectory::take(Peer &Known, bool HasLoads,
                                   model::TimePoint Now) {
  Known.m_LastSentAt = Now;
  if (!Known.m_FirstSentAt)
    Known.m_FirstSentAt = Now;
  if (HasLoads)
    Known.m_LoadsSentAt = Now;
  return Known.m_Address;
}

std::vector<model::Address>
PeerDirectory::takeLoadTargets(model::TimePoint Now) {
  std::vector<model::Address> Addresses;
  for (const model::NodeId &Each : loadTargets(Now))
    Addresses.push_back(take(m_Peers.at(Each), true, Now));
  return Addresses;
}

std::vector<model::Address> PeerDirectory::takeOthers(bool HasLoads,
                                                      model::TimePoint Now) {
  const std::set<model::NodeId> Targets = loadTargets(Now);
  std::vector<model::Address> Addresses;
  for (auto &Each : m_Peers)
    if (!Targets.contains(Each.first))
      Addresses.push_back(take(Each.second, HasLoads, Now));
  return Addresses;
}

bool PeerDirectory::isGreetingDue(const Peer &Known,
                                  model::TimePoint Now) const {
  if (!Known.m_LastSentAt)
    return true;
  const model::Duration Since = Now - *Known.m_LastSentAt;
  if (Known.m_LastSentAt == Known.m_LoadsSentAt)
    return Since >= m_Timing.m_FirstGreetingDelay;
  if (isAlive(Known, Now))
    return Since >= greetingPeriod(m_Timing.m_GreetingPeriod, m_AliveCount);
  if (!hadTimeToAnswer(Known, Now))
    return Since >= m_Timing.m_FirstGreetingPeriod;
  return Since >= greetingPeriod(m_Timing.m_SilentGreetingPeriod,
                                 m_Peers.size() - m_AliveCount);
}

std::vector<model::Address> PeerDirectory::takeGreetings(model::TimePoint Now) {
  m_AliveCount = static_cast<size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return isAlive(Each.second, Now);
      }));
  std::vector<model::Address> Addresses;
  for (auto &Each : m_Peers)
    if (Addresses.size() < m_Timing.m_MaxGreetings &&
        isGreetingDue(Each.second, Now))
      Addresses.push_back(take(Each.second, false, Now));
  return Addresses;
}

} // namespace bronzepass::core::gateway
