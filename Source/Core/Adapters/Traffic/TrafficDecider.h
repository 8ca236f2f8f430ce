#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H

#include "Core/Model/Time.h"
#include "Core/Routing/TrafficEffect.h"
#include "Core/Routing/TrafficEvent.h"

namespace bronzepass::core::adapters::traffic {

/// Decides what becomes of requests; called on the traffic thread alone.
class TrafficDecider {
public:
  virtual ~TrafficDecider() = default;
  /// Appends to \p Effects what is to be done, in order.
  virtual void handle(const routing::TrafficEvent &Event, model::TimePoint Now,
                      routing::TrafficEffectList &Effects) = 0;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICDECIDER_H
