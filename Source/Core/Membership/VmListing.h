#ifndef BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
#define BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H

#include "Core/Model/Residency.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::membership {

/// The platform's list of VMs of one kind, merged over successive reads. A VM
/// that was listed and is missing twice in a row is Gone. A read may come from
/// a lagging replica: Live after Leaving is accepted only after it is repeated,
/// and a list that lacks more than half of the VMs marks none of them as
/// missing.
class VmListing {
public:
  explicit VmListing(model::VmKind Kind) : m_Kind(Kind) {}

  void update(const std::vector<model::VmState> &Vms);

  /// The state of \p Vm in the list; nullptr if it is unknown.
  const model::VmState *find(const model::VmId &Vm) const;
  bool isLive(const model::VmId &Vm) const;
  const std::map<model::VmId, model::VmState> &vms() const { return m_Vms; }

private:
  static constexpr uint32_t MissedListsUntilGone = 2;
  /// Reads after which a missing VM is removed.
  static constexpr uint32_t MissedListsUntilForgotten = 1000;

  /// Consecutive reads as Live after which a Leaving VM is Live again.
  static constexpr uint32_t LiveListsUntilRevived = 15;

  void applyState(const model::VmState &State);
  void countMissing(const std::vector<model::VmState> &Vms);

  model::VmKind m_Kind;
  std::map<model::VmId, model::VmState> m_Vms;
  /// For each missing VM, how many reads lacked it.
  std::map<model::VmId, uint32_t> m_Missed;
  /// For each Leaving VM, how often it was since listed as Live.
  std::map<model::VmId, uint32_t> m_LiveListsAfterLeaving;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
