#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H

#include "Core/Model/Time.h"
#include "Core/Routing/TrafficEffect.h"
#include "Core/Routing/TrafficEvent.h"

namespace bronzepass::core::adapters::traffic {

/// Turns traffic events into effects for TrafficDriver to execute. Called on
/// the traffic thread only.
class TrafficDecider {
public:
  virtual ~TrafficDecider() = default;
  /// Appends the effects to \p Effects in the order of their execution.
  virtual void handle(const routing::TrafficEvent &Event, model::TimePoint Now,
                      routing::TrafficEffectList &Effects) = 0;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H
