#include "Core/Gateway/HoldRules.h"

#include <algorithm>

namespace bronzepass::core::gateway {

namespace {

/// A request with this many times the time of another one can lend it its
/// place.
constexpr int MinTimeRatio = 2;
/// Share of the shortest time to the first event that a request may wait for a
/// slot at an engine; the rest is for its prompt and the network.
constexpr double MaxSlotWaitShare = 0.3;
constexpr double MillisPerMicro = 1e-3;

/// The ranks that requests of a route can have.
struct RankRange {
  uint32_t m_Highest = 0;
  uint32_t m_Lowest = 0;
};

RankRange ranksOf(const RouteSpec &Route, const GatewayConfig &Config) {
  RankRange Range{Route.m_Priority, Route.m_Priority};
  if (!Config.m_Organisations || Route.m_IsOpen)
    return Range;
  for (const organisations::OrganisationSpec &Each : *Config.m_Organisations) {
    const uint32_t Rank = Each.m_Priority.value_or(Route.m_Priority);
    Range.m_Highest = std::min(Range.m_Highest, Rank);
    Range.m_Lowest = std::max(Range.m_Lowest, Rank);
  }
  return Range;
}

bool leadsTo(const RouteSpec &Route, const std::string &Service) {
  return Route.m_LatencyTarget > model::Duration::zero() &&
         std::any_of(Route.m_Services.begin(), Route.m_Services.end(),
                     [&Service](const ServiceShare &Each) {
                       return Each.m_Service == Service;
                     });
}

} // namespace

HoldRules holdRules(const GatewayConfig &Config, const std::string &Service) {
  HoldRules Rules;
  model::Duration Shortest = model::Duration::max();
  for (const RouteSpec &Patient : Config.m_Routes) {
    if (!leadsTo(Patient, Service))
      continue;
    Shortest = std::min(Shortest, Patient.m_LatencyTarget);
    for (const RouteSpec &Urgent : Config.m_Routes)
      if (leadsTo(Urgent, Service) &&
          Patient.m_LatencyTarget >= MinTimeRatio * Urgent.m_LatencyTarget &&
          ranksOf(Patient, Config).m_Highest < ranksOf(Urgent, Config).m_Lowest)
        Rules.m_Order = HoldOrder::Slack;
  }
  if (Rules.m_Order == HoldOrder::Slack)
    Rules.m_MaxSlotWaitMs = MaxSlotWaitShare * MillisPerMicro *
                            static_cast<double>(Shortest.count());
  return Rules;
}

} // namespace bronzepass::core::gateway
