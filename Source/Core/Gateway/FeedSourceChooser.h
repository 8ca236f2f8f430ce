#ifndef BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H
#define BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H

#include "Core/Gateway/Dialect.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
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
  /// The same where the node can't ask the store instead.
  model::Duration m_ShortSuspension = std::chrono::milliseconds(300);
  /// A source that was not heard for so long is none any more; they announce
  /// themselves each second.
  model::Duration m_SourceLifetime = std::chrono::milliseconds(2500);

  friend auto operator<=>(const FeedSourceSettings &,
                          const FeedSourceSettings &) = default;
};

/// Chooses whom a node asks for changes in the store. A few nodes, the first by
/// DutyRank, watch the store; the others ask one of them, spread
/// evenly. A node whose watcher fails asks the store itself, or a source: any
/// node that has told that it reads the store itself.
class FeedSourceChooser {
public:
  FeedSourceChooser(model::NodeId Self, const FeedSourceSettings &Settings);

  /// \p Nodes: all registered nodes. Until this node is among them, it watches
  /// the store.
  void setNodes(const std::vector<NodeEntry> &Nodes);

  /// The watcher or source to ask; nullopt: the store.
  std::optional<NodeEntry> choose(model::TimePoint Now) const;
  /// The same for a node that the store does not answer.
  std::optional<NodeEntry> chooseSource(model::TimePoint Now) const;
  /// The same for one that others ask in place of the watchers: no watcher that
  /// has failed, unless it has told lately that it reads the store.
  std::optional<NodeEntry> chooseTrustedWatcher(model::TimePoint Now) const;
  /// \p Source has told that it reads the store itself.
  void onSourceHeard(const NodeEntry &Source, model::TimePoint Now);
  /// \p Node has told that it does not.
  void onSourceLost(const model::NodeId &Node) { m_Sources.erase(Node); }
  void onWatcherAnswered(const model::NodeId &Watcher);
  /// The watcher did not answer.
  void onWatcherFailed(const model::NodeId &Watcher, model::TimePoint Now);
  /// The watcher answered that it can't tell the state of the store.
  /// \p IsRetriedSoon: it is asked again soon, since the store does not answer
  /// this node.
  void onWatcherUnavailable(const model::NodeId &Watcher, bool IsRetriedSoon,
                            model::TimePoint Now);

  /// Whether this node watches the store for others.
  bool isWatcher() const { return m_IsWatcher; }
  /// Whether any node learns of changes through another one.
  bool hasFollowers() const { return m_HasFollowers; }
  /// Whether this node, which reads the store itself, has to tell all others
  /// so: it is a watcher, or one of a few that stand in for watchers that all
  /// fail.
  bool shouldAnnounce(model::TimePoint Now) const;

private:
  struct Failures {
    uint32_t m_Count = 0;
    model::TimePoint m_SuspendedUntil;
  };
  struct HeardSource {
    NodeEntry m_Node;
    model::TimePoint m_HeardAt;
  };

  /// Of those of \p Nodes that may be asked; nodes are spread over them.
  std::optional<NodeEntry>
  best(const std::vector<NodeEntry> &Nodes,
       const std::function<bool(const NodeEntry &)> &MayBeAsked) const;
  bool isSuspended(const model::NodeId &Node, model::TimePoint Now) const;
  bool isHeard(const HeardSource &Source, model::TimePoint Now) const;

  model::NodeId m_Self;
  FeedSourceSettings m_Settings;
  bool m_IsWatcher = true;
  bool m_HasFollowers = false;
  std::vector<NodeEntry> m_Watchers;
  std::map<model::NodeId, NodeEntry> m_Registered;
  std::map<model::NodeId, HeardSource> m_Sources;
  std::map<model::NodeId, Failures> m_Failures;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_FEEDSOURCECHOOSER_H
