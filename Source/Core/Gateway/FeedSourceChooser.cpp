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
    return std::none_of(
        m_Watchers.begin(), m_Watchers.end(),
        [&](const NodeEntry &Each) { return Each.m_Node == Entry.first; });
  });
}

std::optional<NodeEntry> FeedSourceChooser::choose(model::TimePoint Now) const {
  if (m_IsWatcher)
    return std::nullopt;
  std::optional<NodeEntry> Best;
  uint64_t BestWeight = 0;
  for (const NodeEntry &Each : m_Watchers) {
    const auto Failed = m_Failures.find(Each.m_Node);
    if (Failed != m_Failures.end() && Now < Failed->second.m_SuspendedUntil)
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
                                             model::TimePoint Now) {
  m_Failures[Watcher] = {0, Now + m_Settings.m_BaseSuspension};
}

} // namespace bronzepass::core::gateway
