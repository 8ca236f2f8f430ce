#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_EFFECTEXECUTOR_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_EFFECTEXECUTOR_H

#include "Core/Adapters/Callers/CallerServer.h"
#include "Core/Adapters/Operator/OperatorServer.h"
#include "Core/Adapters/Traffic/TrafficDriver.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Ports.h"

#include <functional>

namespace bronzepass::core::adapters::daemon {

/// The components that effects act on; all must outlive the executor.
struct EffectTargets {
  ports::ObjectStore &m_Store;
  ports::VmList &m_VmList;
  ports::EngineClient &m_Engines;
  ports::PeerLink &m_Peers;
  ports::DecisionLog &m_Log;
  ports::Metrics &m_Metrics;
  traffic::TrafficDriver &m_Traffic;
  callers::CallerServer &m_CallerServer;
  operators::OperatorServer &m_Operators;
  /// Called once, when a graceful stop has finished and the process may exit.
  std::function<void()> m_OnStopped;
};

/// Carries out the effects of the control core, without waiting for their
/// results.
class EffectExecutor {
public:
  explicit EffectExecutor(EffectTargets Targets)
      : m_Targets(std::move(Targets)) {}

  void carryOut(const ports::Effect &Which);

private:
  void on(const ports::StoreCall &Call);
  void on(const ports::OrderSend &Send);
  void on(const ports::ReportRequest &Wanted);
  void on(const ports::PeerSend &Send);
  void on(const ports::PeerConnect &Connect);
  void on(const ports::PeerDisconnect &Disconnect);
  void on(const ports::VmListRequest &);
  void on(const ports::ClaimVerdict &Verdict);
  void on(const ports::RoutingTablePublished &Published);
  void on(const ports::PeerUsageUpdated &Seen);
  void on(const ports::ReadinessChanged &Change);
  void on(const ports::TrafficStop &);
  void on(const ports::StopFinished &);
  void on(const model::Decision &Line);

  EffectTargets m_Targets;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_EFFECTEXECUTOR_H
