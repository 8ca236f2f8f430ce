#include "Core/Membership/VmListing.h"

#include <set>

namespace bronzepass::core::membership {

void VmListing::update(const std::vector<model::VmState> &Vms) {
  countMissing(Vms);
  for (const model::VmState &State : Vms)
    if (State.m_Kind == m_Kind)
      applyState(State);
}

void VmListing::countMissing(const std::vector<model::VmState> &Vms) {
  std::set<model::VmId> Listed;
  for (const model::VmState &State : Vms)
    Listed.insert(State.m_Vm);
  std::set<model::VmId> Missing;
  for (const auto &[Vm, State] : m_Vms)
    if (!Listed.contains(Vm) && State.m_Liveness != model::Liveness::Gone)
      Missing.insert(Vm);
  if (Missing.size() > 1 && Missing.size() * 2 > m_Vms.size())
    return;
  for (const model::VmId &Vm : Missing)
    ++m_Missed[Vm];
  for (auto It = m_Missed.begin(); It != m_Missed.end();) {
    if (It->second >= MissedListsUntilGone)
      m_Vms[It->first].m_Liveness = model::Liveness::Gone;
    if (It->second >= MissedListsUntilGone &&
        ++It->second >= MissedListsUntilForgotten) {
      m_Vms.erase(It->first);
      It = m_Missed.erase(It);
    } else {
      ++It;
    }
  }
}

void VmListing::applyState(const model::VmState &State) {
  m_Missed.erase(State.m_Vm);
  const model::VmState *Known = find(State.m_Vm);
  const bool IsRevived = Known && State.m_Liveness == model::Liveness::Live &&
                         Known->m_Liveness == model::Liveness::Leaving;
  if (IsRevived &&
      ++m_LiveListsAfterLeaving[State.m_Vm] < LiveListsUntilRevived)
    return;
  m_LiveListsAfterLeaving.erase(State.m_Vm);
  m_Vms[State.m_Vm] = State;
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
