#include "Core/Node/ControlCore.h"

namespace bronzepass::core::node {

void ControlCore::setReady(bool Ready, const std::string &Reason) {
  if (Ready == m_Ready && Reason == m_ReadinessReason)
    return;
  m_Ready = Ready;
  m_ReadinessReason = Reason;
  m_Out->push_back(ports::ReadinessChanged{Ready, Reason});
}

void ControlCore::judgeReadiness() {
  if (m_Stop != StopPhase::Running)
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
  if (m_Stop != StopPhase::Running)
    return;
  m_Stop = StopPhase::LameDuck;
  m_StopPhaseEnds = m_Now + m_Config.m_LameDuck;
  m_View.leave(m_Now, *m_Out);
}

void ControlCore::on(const ports::TrafficDrained &) {
  if (m_Stop != StopPhase::Draining)
    return;
  m_Stop = StopPhase::HandingOver;
  m_StopPhaseEnds = m_Now + m_Config.m_HandOverTimeout;
}

void ControlCore::advanceStop() {
  if (m_Stop == StopPhase::LameDuck && m_Now >= m_StopPhaseEnds) {
    m_Stop = StopPhase::Draining;
    m_Out->push_back(ports::TrafficStop());
    // Traffic in hand needs no lease: others take over placement at once.
    for (const model::HeldLease &Lease : m_Leases.held(m_Now))
      m_Placement.leaseLost(Lease.m_Name);
    m_Leases.stop(m_Now, *m_Out);
  }
  if (m_Stop != StopPhase::HandingOver)
    return;
  // A store that is out must not keep the process: leases lapse by
  // themselves, and outcomes that were not recorded leave their keys claimed.
  const bool HandedOver = m_Leases.isStopped() && m_Claims.isIdle();
  if (!HandedOver && m_Now < m_StopPhaseEnds)
    return;
  m_Stop = StopPhase::Stopped;
  m_Out->push_back(ports::StopFinished());
}

} // namespace bronzepass::core::node
