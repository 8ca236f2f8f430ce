#include "Core/Adapters/Gateway/GatewayTraffic.h"

#include <future>
#include <memory>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// How often a stopping node looks whether all requests have been answered.
constexpr std::chrono::milliseconds DrainPeriod(20);
/// A loop that is stuck must not hold up the end of the process.
constexpr std::chrono::milliseconds MaxEndLogTime(100);

} // namespace

void GatewayTraffic::stop(model::Duration LameDuck, model::TimePoint End,
                          std::function<void()> OnDrained) {
  m_Thread.loop().post([this, LameDuck, End, OnDrained = std::move(OnDrained)] {
    if (m_Stopping)
      return;
    m_Stopping = true;
    m_OnDrained = OnDrained;
    m_Driver.closeConnectionsAfterAnswers();
    m_Driver.decide([End](gateway::RelayCore &Core, model::TimePoint Now,
                          gateway::RelayEffectList &Out) {
      Core.beginStop(End, Now, Out);
    });
    m_Thread.loop().runAfter(LameDuck, [this] {
      m_Core.stopAccepting();
      m_CallerServer.closeIdle();
      m_ForwardingServer.closeIdle();
      waitUntilDrained();
    });
  });
}

void GatewayTraffic::waitUntilDrained() {
  m_CallerServer.closeIdle();
  m_ForwardingServer.closeIdle();
  if (m_Core.activeRequestCount() == 0 && m_Driver.unsentAnswerCount() == 0 &&
      m_CallerServer.connectionCount() == 0 &&
      m_ForwardingServer.connectionCount() == 0) {
    m_OnDrained();
    return;
  }
  m_Thread.loop().runAfter(DrainPeriod, [this] { waitUntilDrained(); });
}

void GatewayTraffic::logRequestsLeft() {
  const std::shared_ptr<std::promise<void>> Logged =
      std::make_shared<std::promise<void>>();
  m_Thread.loop().post([this, Logged] {
    m_Driver.decide(
        [](gateway::RelayCore &Core, model::TimePoint Now,
           gateway::RelayEffectList &Out) { Core.onProcessEnd(Now, Out); });
    Logged->set_value();
  });
  Logged->get_future().wait_for(MaxEndLogTime);
}

} // namespace bronzepass::core::adapters::gateway
