#ifndef BRONZEPASS_CORE_NODE_TRAFFICREPORTER_H
#define BRONZEPASS_CORE_NODE_TRAFFICREPORTER_H

#include "Core/Membership/MembershipView.h"
#include "Core/Model/Demand.h"
#include "Core/Model/Intent.h"
#include "Core/Node/CallerUsageTable.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::node {

/// Passes accounts of demand to the nodes that place pools, and accounts of
/// callers' use to the node that sums them. Nothing grows with the square of
/// the nodes: each account goes to one node.
class TrafficReporter {
public:
  TrafficReporter(membership::MembershipView &View, model::Duration Period)
      : m_View(View), m_Period(Period) {}

  /// Takes traffic's account; use leaves at once, demand once a period.
  void trafficSeen(const ports::TrafficReport &Seen,
                   const model::Intent &Intent, model::TimePoint Now,
                   ports::EffectList &Out);
  void usageReceived(const model::NodeId &From, const ports::UsageReport &Share,
                     model::TimePoint Now, ports::EffectList &Out);
  /// Sends the demand of the period that has ended. Returns that of pools that
  /// this node itself should place.
  std::vector<model::DemandSample> tick(const model::Intent &Intent,
                                        model::TimePoint Now,
                                        ports::EffectList &Out);

private:
  model::NodeId ownerOf(const model::CallerId &Caller) const;
  ports::UsageReport answerTo(const model::NodeId &Asker,
                              const std::vector<ports::CallerUsage> &Usage,
                              model::TimePoint Now) const;

  membership::MembershipView &m_View;
  model::Duration m_Period;
  CallerUsageTable m_Usage;
  std::map<model::ArtifactId, model::DemandSample> m_Demand;
  std::optional<model::TimePoint> m_NextAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_TRAFFICREPORTER_H
