#ifndef BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
#define BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H

#include "Core/Model/Residency.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::membership {

/// The platform's list of VMs of one kind, over several readings: a VM that
/// was listed and is missing twice in a row is gone. A reading may come from a
/// replica that lags: one that says Live after Leaving is not believed before
/// it is repeated, and one that lacks half of the VMs takes none away.
class VmListing {
public:
  explicit VmListing(model::VmKind Kind) : m_Kind(Kind) {}

  void update(const std::vector<model::VmState> &Vms);

  /// What the list says of \p Vm; nullptr where it never named it.
  const model::VmState *find(const model::VmId &Vm) const;
  bool isLive(const model::VmId &Vm) const;
  const std::map<model::VmId, model::VmState> &vms() const { return m_Vms; }

private:
  static constexpr uint32_t ListsMissed = 2;
  /// Readings after which a missing VM is forgotten.
  static constexpr uint32_t ListsRemembered = 1000;

  /// Readings in a row that bring a leaving VM back to life.
  static constexpr uint32_t LiveReadings = 15;

  void take(const model::VmState &State);
  void countMissing(const std::vector<model::VmState> &Vms);

  model::VmKind m_Kind;
  std::map<model::VmId, model::VmState> m_Vms;
  std::map<model::VmId, uint32_t> m_Missed;
  /// Leaving VMs that were listed as live since, and how often.
  std::map<model::VmId, uint32_t> m_LiveAgain;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
