#include "Core/Membership/VmListing.h"

namespace bronzepass::core::membership {

void VmListing::update(const std::vector<model::VmState> &Vms) {
  for (const auto &[Vm, State] : m_Vms)
    ++m_Missed[Vm];
  for (const model::VmState &State : Vms) {
    if (State.m_Kind != m_Kind)
      continue;
    m_Vms[State.m_Vm] = State;
    m_Missed.erase(State.m_Vm);
  }
  for (auto It = m_Missed.begin(); It != m_Missed.end();) {
    if (It->second >= ListsMissed)
      m_Vms[It->first].m_Liveness = model::Liveness::Gone;
    if (It->second < ListsRemembered) {
      ++It;
      continue;
    }
    m_Vms.erase(It->first);
    It = m_Missed.erase(It);
  }
}

const model::VmState *VmListing::find(const model::VmId &Vm) const {
  const auto Found = m_Vms.find(Vm);
  return Found == m_Vms.end() ? nullptr : &Found->second;
}

bool VmListing::isLive(const model::VmId &Vm) const {
  const model::VmState *State = find(Vm);
  return State && State->m_Liveness == model::Liveness::Live;
}

} // namespace bronzepass::core::membership
