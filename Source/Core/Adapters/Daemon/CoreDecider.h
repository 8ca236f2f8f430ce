#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_COREDECIDER_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_COREDECIDER_H

#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Traffic/TrafficDecider.h"
#include "Core/Routing/TrafficCore.h"

namespace bronzepass::core::adapters::daemon {

/// The traffic core with its own randomness, for the traffic thread.
class CoreDecider : public traffic::TrafficDecider {
public:
  CoreDecider(const routing::TrafficSettings &Settings, model::NodeInfo Self)
      : m_Core(Settings, m_Random, std::move(Self)) {}

  void handle(const routing::TrafficEvent &Event, model::TimePoint Now,
              routing::TrafficEffectList &Effects) override {
    m_Core.handle(Event, Now, Effects);
  }

private:
  SystemRandom m_Random;
  routing::TrafficCore m_Core;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_COREDECIDER_H
