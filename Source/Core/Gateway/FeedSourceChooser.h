#ifndef BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H
#define BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H

#include "Core/Gateway/Dialect.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::gateway {

struct FeedSourceSettings {
  /// In a smaller fleet every node watches the store: the watches of those that
  /// others depend on are shorter, and would cost more calls than are saved.
  size_t m_MinNodes = 12;
  /// Nodes that watch the store, at least.
  size_t m_MinWatchers = 3;
  size_t m_NodesPerWatcher = 40;
  /// How long a watcher that failed is not asked again; doubles with each
  /// failure in a row.
  model::Duration m_BaseSuspension = std::chrono::seconds(5);
  model::Duration m_MaxSuspension = std::chrono::seconds(60);

  friend auto operator<=>(const FeedSourceSettings &,
                          const FeedSourceSettings &) = default;
};

/// Chooses whom a node asks for changes in the store. A few nodes, the first by
/// DutyRank, watch the store; the others ask one of them, spread
/// evenly. A node whose watcher fails asks the store itself.
class FeedSourceChooser {
public:
  FeedSourceChooser(model::NodeId Self, const FeedSourceSettings &Settings);

  /// \p Nodes: all registered nodes. Until this node is among them, it watches
  /// the store.
  void setNodes(const std::vector<NodeEntry> &Nodes);

  /// The watcher to ask; nullopt: the store.
  std::optional<NodeEntry> choose(model::TimePoint Now) const;
  void onWatcherAnswered(const model::NodeId &Watcher);
  /// The watcher did not answer.
  void onWatcherFailed(const model::NodeId &Watcher, model::TimePoint Now);
  /// The watcher answered that it can't tell the state of the store.
  void onWatcherUnavailable(const model::NodeId &Watcher, model::TimePoint Now);

  /// Whether this node watches the store for others.
  bool isWatcher() const { return m_IsWatcher; }
  /// Whether any node learns of changes through another one.
  bool hasFollowers() const { return m_HasFollowers; }

private:
  struct Failures {
    uint32_t m_Count = 0;
    model::TimePoint m_SuspendedUntil;
  };

  model::NodeId m_Self;
  FeedSourceSettings m_Settings;
  bool m_IsWatcher = true;
  bool m_HasFollowers = false;
  std::vector<NodeEntry> m_Watchers;
  std::map<model::NodeId, Failures> m_Failures;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H
