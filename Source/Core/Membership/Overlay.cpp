#include "Core/Membership/Overlay.h"

#include "Core/Model/Hash.h"

#include <iterator>

namespace bronzepass::core::membership {

Overlay::Overlay(model::VmId Self, model::RegionId Region)
    : m_Self(std::move(Self)), m_Region(std::move(Region)) {
  put(m_Self, m_Region, true);
}

uint64_t Overlay::hashOn(size_t RingIndex, const model::VmId &Vm) {
  return model::stableHash(Vm.str(), RingIndex + 1);
}

bool Overlay::isOn(size_t RingIndex, const model::RegionId &Region) const {
  return RingIndex >= RegionalRings || Region == m_Region;
}

void Overlay::put(const model::VmId &Vm, const model::RegionId &Region,
                  bool Reachable) {
  for (size_t I = 0; I < Rings; ++I)
    if (isOn(I, Region))
      m_Rings[I][{hashOn(I, Vm), Vm}] = Reachable || Vm == m_Self;
}

void Overlay::remove(const model::VmId &Vm) {
  if (Vm == m_Self)
    return;
  for (size_t I = 0; I < Rings; ++I)
    m_Rings[I].erase({hashOn(I, Vm), Vm});
}

const model::VmId &Overlay::next(size_t RingIndex, bool Forward,
                                 bool ReachableOnly) const {
  const Ring &Members = m_Rings[RingIndex];
  auto It = Members.find({hashOn(RingIndex, m_Self), m_Self});
  do {
    if (Forward) {
      ++It;
      It = It == Members.end() ? Members.begin() : It;
    } else {
      It = std::prev(It == Members.begin() ? Members.end() : It);
    }
  } while (ReachableOnly && !It->second);
  return It->first.m_Vm;
}

std::set<model::VmId> Overlay::neighbours(bool Forward) const {
  std::set<model::VmId> Found;
  for (size_t I = 0; I < Rings; ++I)
    Found.insert(next(I, Forward, true));
  Found.erase(m_Self);
  return Found;
}

std::set<model::VmId> Overlay::successors() const { return neighbours(true); }

std::set<model::VmId> Overlay::predecessors() const {
  return neighbours(false);
}

std::set<model::VmId> Overlay::probes() const {
  std::set<model::VmId> Found;
  for (size_t I = 0; I < Rings; ++I) {
    const model::VmId &Next = next(I, true, false);
    if (Next != m_Self && Next != next(I, true, true))
      Found.insert(Next);
  }
  return Found;
}

} // namespace bronzepass::core::membership
