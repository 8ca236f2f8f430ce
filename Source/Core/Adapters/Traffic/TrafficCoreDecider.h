#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H

#include "Core/Adapters/Traffic/TrafficDecider.h"
#include "Core/Routing/TrafficCore.h"

#include <utility>

namespace bronzepass::core::adapters::traffic {

/// Decides with the routing subsystem's TrafficCore.
class TrafficCoreDecider : public TrafficDecider {
public:
  /// \p Random must outlive it.
  TrafficCoreDecider(const routing::TrafficSettings &Settings,
                     ports::Random &Random, model::NodeInfo Self)
      : m_Core(Settings, Random, std::move(Self)) {}

  void handle(const routing::TrafficEvent &Event, model::TimePoint Now,
              routing::TrafficEffectList &Effects) override {
    m_Core.handle(Event, Now, Effects);
  }

private:
  routing::TrafficCore m_Core;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H
