#ifndef BRONZEPASS_CORE_ORGANISATIONS_QUOTAKEEPER_H
#define BRONZEPASS_CORE_ORGANISATIONS_QUOTAKEEPER_H

#include "Core/Model/Time.h"
#include "Core/Organisations/QuotaNotice.h"
#include "Core/Organisations/QuotaPlan.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bronzepass::core::organisations {

/// One start of a node that asks.
struct QuotaAsker {
  uint64_t m_Node = 0;
  uint64_t m_Start = 0;

  friend auto operator<=>(const QuotaAsker &, const QuotaAsker &) = default;
};

/// Grants at the holder of the lease what nodes may spend of organisations'
/// quotas. Its state dies with its holding; the next holder counts all shares
/// as given away until every node has told which it has, or they have expired.
class QuotaKeeper {
public:
  explicit QuotaKeeper(const QuotaTiming &Timing) : m_Timing(Timing) {}

  void setPlans(const QuotaPlans &Plans, model::TimePoint Now);
  /// All nodes that are known, this one included.
  void setNodes(const std::set<uint64_t> &Nodes, model::TimePoint Now);
  /// This node holds the lease until \p ValidUntil. \p Holding differs for each
  /// time that a lease is gained.
  void hold(uint64_t Holding, model::TimePoint ValidUntil,
            model::TimePoint Now);
  void release() { m_Holding.reset(); }
  bool holds(model::TimePoint Now) const {
    return m_Holding && Now < m_ValidUntil;
  }

  /// nullopt if this node is not the holder, or has seen this or a later
  /// asking.
  std::optional<QuotaNotice> onAsk(const QuotaAsker &Asker,
                                   const QuotaNotice &Notice,
                                   model::TimePoint Now);

private:
  /// An answer whose receipt is not known.
  struct Answered {
    int64_t m_AskedAt = 0;
    model::TimePoint m_At;
    uint32_t m_Share = 0;
  };
  struct NodeShare {
    /// The most that it may have.
    uint32_t m_Most = 0;
    model::TimePoint m_ExpiresAt;
    double m_Demand = 0;
    model::TimePoint m_HeardAt;
    uint64_t m_GivenUp = 0;
    /// It has told its share since this holding began.
    bool m_IsKnown = false;
    std::deque<Answered> m_Answered;
    /// The last one that the node has told to have received.
    Answered m_Heard;
  };
  struct Organisation {
    QuotaPlan m_Plan;
    double m_Level = 0;
    model::TimePoint m_FilledAt;
    uint64_t m_ShareSum = 0;
    /// Shares that an earlier holder may have given to nodes that are not
    /// known.
    uint64_t m_Unknown = WholeShare;
    /// The nodes that may have them.
    std::set<uint64_t> m_UnreportedNodes;
    double m_DemandSum = 0;
    model::TimePoint m_SweptAt;
    /// By the start of each node.
    std::map<QuotaAsker, NodeShare> m_Nodes;
  };

  static void fill(Organisation &Value, model::TimePoint Now);
  /// What certainly no node has.
  static uint64_t freeShare(const Organisation &Value);
  void sweep(Organisation &Value, model::TimePoint Now) const;
  QuotaAnswer answer(Organisation &Value, const QuotaAsker &From,
                     const QuotaAsk &Ask, int64_t AskedAt,
                     model::TimePoint Now);
  /// Counts what the node says of itself.
  void hear(Organisation &Value, const QuotaAsker &Asker, NodeShare &Node,
            const QuotaAsk &Ask, model::TimePoint Now);
  /// The nodes that may have shares of an earlier holder's.
  std::set<uint64_t> recentNodes(model::TimePoint Now) const;
  static void setMost(Organisation &Value, NodeShare &Node, uint32_t Share);

  const QuotaTiming m_Timing;
  std::optional<uint64_t> m_Holding;
  model::TimePoint m_HeldSince;
  model::TimePoint m_ValidUntil;
  std::unordered_map<uint64_t, Organisation> m_Organisations;
  /// The last asking of each node, and when it was received.
  struct LastAsk {
    int64_t m_AskedAt = 0;
    model::TimePoint m_At;
  };
  std::map<QuotaAsker, LastAsk> m_LastAsks;
  std::set<uint64_t> m_Nodes;
  /// When nodes that are none any more were last among them.
  std::map<uint64_t, model::TimePoint> m_RemovedAt;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_QUOTAKEEPER_H
