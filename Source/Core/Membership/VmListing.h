#ifndef BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
#define BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H

#include "Core/Model/Residency.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::membership {

/// The platform's list of VMs of one kind, over several readings: a VM that
/// was listed and is missing twice in a row is gone.
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

  model::VmKind m_Kind;
  std::map<model::VmId, model::VmState> m_Vms;
  std::map<model::VmId, uint32_t> m_Missed;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_VMLISTING_H
