#ifndef BRONZEPASS_CORE_NODE_LEASEFENCING_H
#define BRONZEPASS_CORE_NODE_LEASEFENCING_H

#include "Core/Membership/MembershipView.h"
#include "Core/Model/Lease.h"
#include "Core/Placement/PlacementCore.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bronzepass::core::node {

/// Makes sure that a former holder of a pool's lease sends no order any more:
/// it has acknowledged the newer token, or its VM is gone from the platform's
/// list. Until then placement keeps promised what such an order could take.
class LeaseFencing {
public:
  LeaseFencing(membership::MembershipView &View,
            placement::PlacementCore &Placement)
      : m_View(View), m_Placement(Placement) {}

  void vmListSeen(const ports::VmListReceived &Seen);
  /// \p Held is the lease asked about, where this node holds it now: an ask
  /// that was overtaken by a later holding does not end it.
  void askReceived(const model::NodeId &From, const ports::FenceRequest &Ask,
                   const std::optional<model::HeldLease> &Held,
                   ports::EffectList &Out);
  void ackReceived(const model::NodeId &From, const ports::FenceAck &Ack,
                   model::TimePoint Now, ports::EffectList &Out);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  /// Whether a later holder has asked this node to act no more under
  /// \p Lease.
  bool isFenced(const model::HeldLease &Lease) const;

private:
  static constexpr model::Duration AskPeriod = std::chrono::seconds(2);
  /// The list lags: a VM that is not on it may only be too new. One that has
  /// been missing this long is gone.
  static constexpr model::Duration MissingBeforeGone = std::chrono::minutes(2);

  bool isGone(const model::NodeId &Node, model::TimePoint Now);

  membership::MembershipView &m_View;
  placement::PlacementCore &m_Placement;
  std::map<model::LeaseName, model::FencingToken> m_Fenced;
  bool m_ListSeen = false;
  /// What the list last said of entry VMs.
  std::map<model::VmId, model::Liveness> m_Listed;
  std::map<model::VmId, model::TimePoint> m_MissingSince;
  std::optional<model::TimePoint> m_NextAskAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_LEASEFENCING_H
