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

/// Sends demand reports to the nodes that place pools, and reports of callers'
/// usage to the node that sums them for the caller. Each usage record goes to
/// one node only, so traffic does not grow with the square of the node count.
class TrafficReporter {
public:
  TrafficReporter(membership::MembershipView &View, model::Duration Period)
      : m_View(View), m_Period(Period) {}

  /// Forwards usage at once, and collects demand for the next tick() that
  /// sends it.
  void onTrafficReport(const ports::TrafficReport &Report,
                       const model::Intent &Intent, model::TimePoint Now,
                       ports::EffectList &Out);
  void onUsageReport(const model::NodeId &From,
                     const ports::UsageReport &Report, model::TimePoint Now,
                     ports::EffectList &Out);
  /// Sends the demand of the period that has ended. Returns it if this node
  /// itself should place a pool, and nothing otherwise.
  std::vector<model::DemandSample> tick(const model::Intent &Intent,
                                        model::TimePoint Now,
                                        ports::EffectList &Out);

private:
  /// The node that sums the usage of \p Caller.
  model::NodeId ownerOf(const model::CallerId &Caller) const;
  ports::UsageReport makeReply(const model::NodeId &Requester,
                               const std::vector<ports::CallerUsage> &Usage,
                               model::TimePoint Now) const;

  membership::MembershipView &m_View;
  model::Duration m_Period;
  CallerUsageTable m_Usage;
  std::map<model::ArtifactId, model::DemandSample> m_Demand;
  std::optional<model::TimePoint> m_NextReportAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_TRAFFICREPORTER_H
