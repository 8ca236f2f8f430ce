#ifndef BRONZEPASS_CORE_NODE_REPORTPOLLER_H
#define BRONZEPASS_CORE_NODE_REPORTPOLLER_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Effect.h"

#include <map>

namespace bronzepass::core::node {

/// Asks engines for their reports, each once a period, spread over it; an
/// engine that has not answered yet is not asked again before a time-out.
class ReportPoller {
public:
  explicit ReportPoller(model::Duration Period) : m_Period(Period) {}

  /// The engines that this node asks, with their addresses.
  void setEngines(const std::map<model::EndpointId, model::Address> &Engines,
                  model::TimePoint Now);
  /// A report, or word that none came, has arrived.
  void answered(const model::EndpointId &Endpoint);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  size_t size() const { return m_Engines.size(); }

private:
  /// An answer that has not come by then was lost on the way.
  static constexpr model::Duration AnswerTimeout = std::chrono::seconds(5);

  struct Engine {
    model::Address m_Address;
    model::TimePoint m_NextAt;
    model::TimePoint m_AskedAt;
    bool m_Waits = false;
  };

  model::Duration m_Period;
  std::map<model::EndpointId, Engine> m_Engines;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_REPORTPOLLER_H
