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

/// Overlay network that decides which VMs a node links to. Each VM has a hashed
/// position on several rings and links to its successor and predecessor on
/// each. A union of random rings is an expander graph: its degree is fixed, a
/// message reaches all VMs in about log(n) hops, and a VM that joins or leaves
/// changes only its neighbours' links. The regional rings keep a region
/// connected when it is partitioned from the others.
class Overlay {
public:
  static constexpr size_t RegionalRings = 2;
  static constexpr size_t GlobalRings = 2;
  static constexpr size_t Rings = RegionalRings + GlobalRings;
  /// Maximum links of one node, outgoing and incoming.
  static constexpr size_t MaxDegree = 2 * Rings;

  Overlay(model::VmId Self, model::RegionId Region);

  /// Adds or updates \p Vm, which is believed to be \p Reachable or not.
  void put(const model::VmId &Vm, const model::RegionId &Region,
           bool Reachable);
  void remove(const model::VmId &Vm);

  /// VMs that this node links to: the next reachable one on each ring.
  std::set<model::VmId> successors() const;

  /// VMs that link to this node: the previous reachable one on each ring.
  std::set<model::VmId> predecessors() const;

  /// Unreachable VMs that would be successors: dialling them from time to time
  /// reconnects the sides of a network partition.
  std::set<model::VmId> probes() const;

private:
  struct RingPosition {
    uint64_t m_Hash = 0;
    model::VmId m_Vm;

    friend auto operator<=>(const RingPosition &,
                            const RingPosition &) = default;
  };
  /// The VMs on a ring, and whether each is reachable.
  using Ring = std::map<RingPosition, bool>;

  static uint64_t hashOn(size_t RingIndex, const model::VmId &Vm);
  bool isOn(size_t RingIndex, const model::RegionId &Region) const;
  /// The next VM after this node in the given direction; this node itself if
  /// there is no other.
  const model::VmId &next(size_t RingIndex, bool Forward,
                          bool ReachableOnly) const;
  std::set<model::VmId> neighbours(bool Forward) const;

  model::VmId m_Self;
  model::RegionId m_Region;
  std::array<Ring, Rings> m_Rings;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_OVERLAY_H
