#ifndef BRONZEPASS_CORE_MEMBERSHIP_OVERLAY_H
#define BRONZEPASS_CORE_MEMBERSHIP_OVERLAY_H

#include "Core/Model/Id.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bronzepass::core::membership {

/// Which VMs a node links to. Each VM stands at a hashed place on several
/// rings and links to the next one and the one before on each. A union of
/// random rings is an expander: its degree is fixed and a message reaches all
/// in about log(n) hops, while a VM that comes or goes changes the links of
/// its neighbours alone. The regional rings keep a region whole when it is
/// parted from the others.
class Overlay {
public:
  static constexpr size_t RegionalRings = 2;
  static constexpr size_t GlobalRings = 2;
  static constexpr size_t Rings = RegionalRings + GlobalRings;
  /// Links of one node at most, its own and those made to it.
  static constexpr size_t MaxDegree = 2 * Rings;

  Overlay(model::VmId Self, model::RegionId Region);

  /// \p Vm is there, or comes back; \p Reachable is what is believed of it.
  void put(const model::VmId &Vm, const model::RegionId &Region,
           bool Reachable);
  void remove(const model::VmId &Vm);

  /// VMs that this node links to: the next reachable one of each ring.
  std::set<model::VmId> successors() const;

  /// VMs that link to this node: the reachable one before it on each ring.
  std::set<model::VmId> predecessors() const;

  /// VMs believed unreachable that would be next: trying them now and then
  /// joins the parts of a divided system again.
  std::set<model::VmId> probes() const;

private:
  struct Place {
    uint64_t m_Hash = 0;
    model::VmId m_Vm;

    friend auto operator<=>(const Place &, const Place &) = default;
  };
  using Ring = std::map<Place, bool>;

  static uint64_t hashOn(size_t RingIndex, const model::VmId &Vm);
  bool isOn(size_t RingIndex, const model::RegionId &Region) const;
  /// The VM next to this node, going forward or backward; itself where it is
  /// alone.
  const model::VmId &next(size_t RingIndex, bool Forward,
                          bool ReachableOnly) const;
  std::set<model::VmId> neighbours(bool Forward) const;

  model::VmId m_Self;
  model::RegionId m_Region;
  std::array<Ring, Rings> m_Rings;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_OVERLAY_H
