#ifndef BRONZEPASS_CORE_RESOURCES_CALLERPLACES_H
#define BRONZEPASS_CORE_RESOURCES_CALLERPLACES_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzepass::core::resources {

enum class PlaceState { Idle, Reading, Answering };

/// What one caller's connection does.
struct CallerPlace {
  /// IPv4 address of the caller.
  uint32_t m_Address = 0;
  PlaceState m_State = PlaceState::Idle;
  /// When its request moved last, or when it became idle.
  model::TimePoint m_MovedAt;

  friend auto operator<=>(const CallerPlace &, const CallerPlace &) = default;
};

/// Which of \p Places to give up, \p Count at most, so that new callers find
/// one: idle ones first, then requests that have stopped moving; of those, the
/// addresses that hold the most places first, then the longest idle. A request
/// that is complete keeps its place. Returns indexes.
std::vector<size_t> placesToGiveUp(const std::vector<CallerPlace> &Places,
                                   size_t Count, model::TimePoint Now);

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_CALLERPLACES_H
