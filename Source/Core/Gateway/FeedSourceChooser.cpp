#include "Core/Gateway/FeedSourceChooser.h"

#include "Core/Gateway/DutyRank.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr const char *WatcherDuty = "store-watcher";
constexpr uint32_t MaxDoublings = 8;

} // namespace

FeedSourceChooser::FeedSourceChooser(model::NodeId Self,
                                     const FeedSourceSettings &Settings)
    : m_Self(std::move(Self)), m_Settings(Settings) {}

void FeedSourceChooser::setNodes(const std::vector<NodeEntry> &Nodes) {
  m_Registered.clear();
  for (const NodeEntry &Each : Nodes)
    m_Registered[Each.m_Node] = Each;
  m_Watchers = Nodes;
  std::sort(m_Watchers.begin(), m_Watchers.end(),
            [](const NodeEntry &Left, const NodeEntry &Right) {
              return dutyRank(WatcherDuty, Left) > dutyRank(WatcherDuty, Right);
            });
  const size_t Count =
      std::max(m_Settings.m_MinWatchers,
               (Nodes.size() + m_Settings.m_NodesPerWatcher - 1) /
                   m_Settings.m_NodesPerWatcher);
  m_HasFollowers = Nodes.size() >= std::max(m_Settings.m_MinNodes, Count + 1);
  const auto IsSelf = [this](const NodeEntry &Each) {
    return Each.m_Node == m_Self;
  };
  const bool IsRegistered =
      std::any_of(m_Watchers.begin(), m_Watchers.end(), IsSelf);
  if (m_HasFollowers)
    m_Watchers.erase(m_Watchers.begin() + static_cast<std::ptrdiff_t>(Count),
                     m_Watchers.end());
  m_IsWatcher = !IsRegistered ||
                std::any_of(m_Watchers.begin(), m_Watchers.end(), IsSelf);
  std::erase_if(m_Failures, [this](const auto &Entry) {
    return !m_Sources.contains(Entry.first) &&
           std::none_of(m_Watchers.begin(), m_Watchers.end(),
                        [&](const NodeEntry &Each) {
                          return Each.m_Node == Entry.first;
                        });
  });
}

bool FeedSourceChooser::isSuspended(const model::NodeId &Node,
                                    model::TimePoint Now) const {
  const auto Failed = m_Failures.find(Node);
  return Failed != m_Failures.end() && Now < Failed->second.m_SuspendedUntil;
}

bool FeedSourceChooser::isHeard(const HeardSource &Source,
                                model::TimePoint Now) const {
  return Now - Source.m_HeardAt < m_Settings.m_SourceLifetime;
}

void FeedSourceChooser::onSourceHeard(const NodeEntry &Source,
                                      model::TimePoint Now) {
  if (Source.m_Node == m_Self)
    return;
  std::erase_if(m_Sources,
                [&](const auto &Entry) { return !isHeard(Entry.second, Now); });
  m_Sources[Source.m_Node] = {Source, Now};
}

bool FeedSourceChooser::shouldAnnounce(model::TimePoint Now) const {
  if (m_IsWatcher)
    return true;
  const bool HasWatcher = std::any_of(
      m_Watchers.begin(), m_Watchers.end(),
      [&](const NodeEntry &Each) { return !isSuspended(Each.m_Node, Now); });
  if (HasWatcher)
    return false;
  const auto RankOf = [this](const model::NodeId &Node) {
    const auto Found = m_Registered.find(Node);
    return dutyRank(WatcherDuty, Found == m_Registered.end()
                                     ? NodeEntry{Node, {}, {}, 0}
                                     : Found->second);
  };
  const DutyRank Own = RankOf(m_Self);
  const auto Before =
      std::count_if(m_Sources.begin(), m_Sources.end(), [&](const auto &Entry) {
        return isHeard(Entry.second, Now) && RankOf(Entry.first) > Own;
      });
  return static_cast<size_t>(Before) < m_Settings.m_MinWatchers;
}

std::optional<NodeEntry> FeedSourceChooser::best(
    const std::vector<NodeEntry> &Nodes,
    const std::function<bool(const NodeEntry &)> &MayBeAsked) const {
  std::optional<NodeEntry> Best;
  uint64_t BestWeight = 0;
  for (const NodeEntry &Each : Nodes) {
    if (!MayBeAsked(Each))
      continue;
    const uint64_t Weight =
        model::rendezvousWeight(m_Self.str(), Each.m_Node.str());
    if (Best && Weight <= BestWeight)
      continue;
    Best = Each;
    BestWeight = Weight;
  }
  return Best;
}

std::optional<NodeEntry> FeedSourceChooser::choose(model::TimePoint Now) const {
  if (m_IsWatcher)
    return std::nullopt;
  const std::optional<NodeEntry> Watcher =
      best(m_Watchers, [&](const NodeEntry &Each) {
        return !isSuspended(Each.m_Node, Now);
      });
  return Watcher ? Watcher : chooseSource(Now);
}

std::optional<NodeEntry>
FeedSourceChooser::chooseSource(model::TimePoint Now) const {
  std::vector<NodeEntry> Sources;
  for (const auto &Each : m_Sources)
    if (isHeard(Each.second, Now) && !isSuspended(Each.first, Now))
      Sources.push_back(Each.second.m_Node);
  return best(Sources, [](const NodeEntry &) { return true; });
}

std::optional<NodeEntry>
FeedSourceChooser::chooseTrustedWatcher(model::TimePoint Now) const {
  if (m_IsWatcher)
    return std::nullopt;
  const auto IsTrusted = [&](const NodeEntry &Each) {
    const auto Heard = m_Sources.find(Each.m_Node);
    return !isSuspended(Each.m_Node, Now) &&
           (!m_Failures.contains(Each.m_Node) ||
            (Heard != m_Sources.end() && isHeard(Heard->second, Now)));
  };
  return best(m_Watchers, IsTrusted);
}

void FeedSourceChooser::onWatcherAnswered(const model::NodeId &Watcher) {
  m_Failures.erase(Watcher);
}

void FeedSourceChooser::onWatcherFailed(const model::NodeId &Watcher,
                                        model::TimePoint Now) {
  Failures &Known = m_Failures[Watcher];
  const uint32_t Doublings = std::min(Known.m_Count++, MaxDoublings);
  Known.m_SuspendedUntil =
      Now + std::min(m_Settings.m_BaseSuspension * (1 << Doublings),
                     m_Settings.m_MaxSuspension);
}

void FeedSourceChooser::onWatcherUnavailable(const model::NodeId &Watcher,
                                             bool IsRetriedSoon,
                                             model::TimePoint Now) {
  m_Failures[Watcher] = {0,
                         Now + (IsRetriedSoon ? m_Settings.m_ShortSuspension
                                              : m_Settings.m_BaseSuspension)};
}

} // namespace bronzepass::core::gateway
