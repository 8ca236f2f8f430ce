#include "Core/Node/ControlCore.h"

namespace bronzepass::core::node {

void ControlCore::setReady(bool Ready, const std::string &Reason) {
  if (Ready == m_Ready && Reason == m_ReadinessReason)
    return;
  m_Ready = Ready;
  m_ReadinessReason = Reason;
  m_Out->push_back(ports::ReadinessChanged{Ready, Reason});
}

void ControlCore::updateReadiness() {
  if (m_StopPhase != StopPhase::Running)
    return setReady(false, "stopping");
  if (m_View.isReplaced())
    return setReady(false, "a newer process of this VM is known");
  if (!m_Intent.inForce())
    return setReady(false, "no configuration yet");
  if (!m_Intent.isCaughtUp(m_Now, m_View.hasOtherNodes()))
    return setReady(false, "asking peers for the newest configuration");
  if (!m_Table)
    return setReady(false, "no routing table yet");
  setReady(true, "ready");
}

void ControlCore::on(const ports::StopRequested &) {
  if (m_StopPhase != StopPhase::Running)
    return;
  m_StopPhase = StopPhase::LameDuck;
  m_StopPhaseEndsAt = m_Now + m_Config.m_LameDuck;
  m_View.leave(m_Now, *m_Out);
}

void ControlCore::on(const ports::TrafficDrained &) {
  if (m_StopPhase != StopPhase::Draining)
    return;
  m_StopPhase = StopPhase::HandingOver;
  m_StopPhaseEndsAt = m_Now + m_Config.m_HandOverTimeout;
}

void ControlCore::advanceShutdown() {
  if (m_StopPhase == StopPhase::LameDuck && m_Now >= m_StopPhaseEndsAt) {
    m_StopPhase = StopPhase::Draining;
    m_Out->push_back(ports::TrafficStop());
    // Requests in progress need no lease, so other nodes can take over
    // placement at once.
    for (const model::HeldLease &Lease : m_Leases.held(m_Now))
      m_Placement.leaseLost(Lease.m_Name);
    m_Leases.stop(m_Now, *m_Out);
  }
  if (m_StopPhase != StopPhase::HandingOver)
    return;
  // An unavailable store must not keep the process from exiting: leases expire
  // by themselves, and keys whose outcomes were not recorded stay claimed.
  const bool HandedOver = m_Leases.isStopped() && m_Claims.isIdle();
  if (!HandedOver && m_Now < m_StopPhaseEndsAt)
    return;
  m_StopPhase = StopPhase::Stopped;
  m_Out->push_back(ports::StopFinished());
}

} // namespace bronzepass::core::node
