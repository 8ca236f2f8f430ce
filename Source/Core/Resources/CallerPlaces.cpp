#include "Core/Resources/CallerPlaces.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace bronzepass::core::resources {

namespace {

/// Outlasts a lost packet of a caller that goes on sending.
constexpr model::Duration StallTime = std::chrono::seconds(1);

} // namespace

std::vector<size_t> placesToGiveUp(const std::vector<CallerPlace> &Places,
                                   size_t Count, model::TimePoint Now) {
  std::map<uint32_t, size_t> Held;
  for (const CallerPlace &Each : Places)
    ++Held[Each.m_Address];
  std::vector<size_t> Chosen;
  for (size_t I = 0; I < Places.size(); ++I) {
    const CallerPlace &Each = Places[I];
    const bool HasStalled = Each.m_State == PlaceState::Reading &&
                            Now - Each.m_MovedAt >= StallTime;
    if (Each.m_State == PlaceState::Idle || HasStalled)
      Chosen.push_back(I);
  }
  const auto Rank = [&](size_t I) {
    return std::make_tuple(Places[I].m_State == PlaceState::Reading,
                           Places.size() - Held[Places[I].m_Address],
                           Places[I].m_MovedAt, I);
  };
  std::sort(Chosen.begin(), Chosen.end(),
            [&](size_t A, size_t B) { return Rank(A) < Rank(B); });
  Chosen.resize(std::min(Chosen.size(), Count));
  return Chosen;
}

} // namespace bronzepass::core::resources
