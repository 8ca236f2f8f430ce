#ifndef BRONZEPASS_CORE_GATEWAY_STALENODEFINDER_H
#define BRONZEPASS_CORE_GATEWAY_STALENODEFINDER_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/LivePeers.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::gateway {

struct StaleNodeSettings {
  /// Silence after which a node's entry is removed; doubles with each time that
  /// it was removed and came back.
  model::Duration m_Silence = std::chrono::seconds(20);
  /// The same where this node hears no other: it may be the one that is cut
  /// off.
  model::Duration m_SilenceOfAll = std::chrono::seconds(60);
  uint32_t m_MaxDoublings = 6;
  /// After this time without a removal a node's removals are forgotten.
  model::Duration m_Memory = std::chrono::hours(1);
  /// A longer gap between two reports of live peers is a pause of this process:
  /// what arrived meanwhile may not have been read yet.
  model::Duration m_MaxReportGap = std::chrono::seconds(2);
  /// Between two removals.
  model::Duration m_Period = std::chrono::milliseconds(100);

  friend auto operator<=>(const StaleNodeSettings &,
                          const StaleNodeSettings &) = default;
};

/// Finds registered nodes that are gone for good, whose entries the holder of
/// the placement lease removes: all nodes send it their loads. A node that is
/// alive all the same registers again.
class StaleNodeFinder {
public:
  explicit StaleNodeFinder(const StaleNodeSettings &Settings)
      : m_Settings(Settings) {}

  /// Sets all registered nodes.
  void setNodes(const std::vector<NodeEntry> &Nodes, model::TimePoint Now);
  /// Call at least each second.
  void onLivePeers(const LivePeers &Peers, model::TimePoint Now);
  /// Whether this node holds the lease.
  void setHolder(bool IsHolder, model::TimePoint Now);
  /// The list may go back, with entries of nodes that have left since.
  void onStoreRestored(model::TimePoint Now) { m_WatchedSince = Now; }

  /// The node whose entry is to be removed now, if there is one.
  std::optional<model::NodeId> takeStale(model::TimePoint Now);

private:
  struct Node {
    bool m_IsRegistered = false;
    bool m_IsSilent = false;
    /// When it was last heard, or its entry appeared.
    model::TimePoint m_AliveAt;
    uint32_t m_Removals = 0;
    model::TimePoint m_RemovedAt;
  };

  const StaleNodeSettings m_Settings;
  std::map<model::NodeId, Node> m_Nodes;
  bool m_IsHolder = false;
  bool m_HearsAny = false;
  /// Silence before then says nothing.
  model::TimePoint m_WatchedSince;
  model::TimePoint m_ReportedAt;
  model::TimePoint m_LastRemovalAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STALENODEFINDER_H
