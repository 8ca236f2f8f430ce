#ifndef BRONZEPASS_CORE_PLACEMENT_FENCEDNODES_H
#define BRONZEPASS_CORE_PLACEMENT_FENCEDNODES_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <algorithm>
#include <map>
#include <optional>

namespace bronzepass::core::placement {

/// Former lease holders that can no longer send orders, and since when.
class FencedNodes {
public:
  /// \p Node has acknowledged that it sends no order under a lease token below
  /// \p Token.
  void acknowledged(const model::NodeId &Node, model::FencingToken Token,
                    model::TimePoint Now) {
    Fence &Known = m_Fences[Node];
    if (Known.m_MinToken >= Token)
      return;
    Known = {Token, Now};
  }

  /// The process of \p Node has ended.
  void nodeGone(const model::NodeId &Node, model::TimePoint Now) {
    acknowledged(Node, {UINT64_MAX}, Now);
  }

  /// Since when \p Node sends no order under \p Lease; nullopt while it still
  /// may.
  std::optional<model::TimePoint> fencedSince(const model::NodeId &Node,
                                              model::FencingToken Lease) const {
    auto Found = m_Fences.find(Node);
    if (Found == m_Fences.end() || Found->second.m_MinToken <= Lease)
      return std::nullopt;
    return Found->second.m_AcknowledgedAt;
  }

private:
  struct Fence {
    model::FencingToken m_MinToken;
    model::TimePoint m_AcknowledgedAt;
  };
  std::map<model::NodeId, Fence> m_Fences;
};

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_FENCEDNODES_H
