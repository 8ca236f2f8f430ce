#ifndef BRONZEPASS_CORE_NODE_REPORTPOLLER_H
#define BRONZEPASS_CORE_NODE_REPORTPOLLER_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Effect.h"

#include <map>

namespace bronzepass::core::node {

/// Requests a report from each engine once a period, with the engines spread
/// over the period. An engine that has not answered is not asked again before
/// a timeout.
class ReportPoller {
public:
  explicit ReportPoller(model::Duration Period) : m_Period(Period) {}

  /// Sets the engines that this node polls, with their addresses.
  void setEngines(const std::map<model::EndpointId, model::Address> &Engines,
                  model::TimePoint Now);
  /// A report has arrived, or the request has failed.
  void onAnswer(const model::EndpointId &Endpoint);
  void tick(model::TimePoint Now, ports::EffectList &Out);

  size_t size() const { return m_Engines.size(); }

private:
  /// An answer that takes longer is considered lost.
  static constexpr model::Duration AnswerTimeout = std::chrono::seconds(5);

  struct Engine {
    model::Address m_Address;
    model::TimePoint m_NextAt;
    model::TimePoint m_RequestedAt;
    bool m_AwaitingAnswer = false;
  };

  model::Duration m_Period;
  std::map<model::EndpointId, Engine> m_Engines;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_REPORTPOLLER_H
