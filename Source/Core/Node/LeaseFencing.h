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

/// Makes sure that former holders of a pool's lease have stopped sending
/// orders: each has acknowledged the newer fencing token, or its VM is gone.
/// Until then placement reserves the memory that such an order could take.
class LeaseFencing {
public:
  LeaseFencing(membership::MembershipView &View,
               placement::PlacementCore &Placement)
      : m_View(View), m_Placement(Placement) {}

  void onVmList(const ports::VmListReceived &List);
  /// \p Held is the requested lease if this node holds it now. A delayed
  /// request does not end a lease that this node has acquired again since.
  void onFenceRequest(const model::NodeId &From,
                      const ports::FenceRequest &Request,
                      const std::optional<model::HeldLease> &Held,
                      ports::EffectList &Out);
  void onFenceAck(const model::NodeId &From, const ports::FenceAck &Ack,
                  model::TimePoint Now, ports::EffectList &Out);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  /// Whether a later holder has asked this node to stop acting under
  /// \p Lease.
  bool isFenced(const model::HeldLease &Lease) const;

private:
  static constexpr model::Duration RequestPeriod = std::chrono::seconds(2);
  /// The platform's VM list lags, so a VM missing from it may just be too new.
  /// A VM that has been missing for this long is gone.
  static constexpr model::Duration MissingVmTimeout = std::chrono::minutes(2);

  bool isGone(const model::NodeId &Node, model::TimePoint Now);

  membership::MembershipView &m_View;
  placement::PlacementCore &m_Placement;
  /// Leases with a smaller token than this are fenced.
  std::map<model::LeaseName, model::FencingToken> m_FencedBelow;
  bool m_HasVmList = false;
  /// Liveness of the entry VMs on the latest VM list.
  std::map<model::VmId, model::Liveness> m_VmLiveness;
  std::map<model::VmId, model::TimePoint> m_MissingSince;
  std::optional<model::TimePoint> m_NextRequestAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_LEASEFENCING_H
