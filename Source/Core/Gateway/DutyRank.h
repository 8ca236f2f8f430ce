#ifndef BRONZEPASS_CORE_GATEWAY_DUTYRANK_H
#define BRONZEPASS_CORE_GATEWAY_DUTYRANK_H

#include "Core/Gateway/Dialect.h"
#include "Core/Model/Hash.h"
#include "Core/Model/Id.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace bronzepass::core::gateway {

/// Orders nodes for a duty that a few of them do for the whole fleet: those
/// with the most processor time first, equal ones in rendezvous order. The
/// greatest is preferred.
struct DutyRank {
  uint32_t m_CpuPercent = 0;
  uint64_t m_Weight = 0;
  model::NodeId m_Node;

  friend auto operator<=>(const DutyRank &, const DutyRank &) = default;
};

inline DutyRank dutyRank(std::string_view Duty, const NodeEntry &Node) {
  return {Node.m_CpuPercent, model::rendezvousWeight(Duty, Node.m_Node.str()),
          Node.m_Node};
}

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_DUTYRANK_H
