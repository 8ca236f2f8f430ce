#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H

#include "Core/Adapters/Traffic/TrafficDecider.h"
#include "Core/Routing/TrafficCore.h"

#include <utility>

namespace bronzepass::core::adapters::traffic {

/// The routing subsystem's traffic core.
class TrafficCoreDecider : public TrafficDecider {
public:
  /// \p Dice outlives it.
  TrafficCoreDecider(const routing::TrafficSettings &Settings,
                     ports::Random &Dice, model::NodeInfo Self)
      : m_Core(Settings, Dice, std::move(Self)) {}

  void handle(const routing::TrafficEvent &Event, model::TimePoint Now,
              routing::TrafficEffectList &Effects) override {
    m_Core.handle(Event, Now, Effects);
  }

private:
  routing::TrafficCore m_Core;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_TRAFFICCOREDECIDER_H
