#include "Core/Gateway/RetryLimiter.h"

namespace bronzepass::core::gateway {

namespace {

constexpr int64_t SlicesPerWindow = 10;
/// Share of this node's limit that it uses. The rest is a margin: after nodes
/// join or leave, node counts differ between nodes for some seconds, and slices
/// end at different times.
constexpr double UsedPart = 0.7;

} // namespace

RetryLimiter::Slice &RetryLimiter::currentSlice(Counts &Service,
                                                model::TimePoint Now) const {
  const int64_t Number =
      Now.time_since_epoch() / (m_Limits.m_Window / SlicesPerWindow);
  // Keeps one slice more than a window, so that any window is fully covered.
  while (!Service.m_Slices.empty() &&
         Service.m_Slices.front().m_Number < Number - SlicesPerWindow) {
    Service.m_Requests -= Service.m_Slices.front().m_Requests;
    Service.m_Retries -= Service.m_Slices.front().m_Retries;
    Service.m_Slices.pop_front();
  }
  if (Service.m_Slices.empty() || Service.m_Slices.back().m_Number < Number)
    Service.m_Slices.push_back({Number, 0, 0});
  return Service.m_Slices.back();
}

void RetryLimiter::countRequest(const std::string &Service,
                                model::TimePoint Now) {
  Counts &Known = m_Services[Service];
  ++currentSlice(Known, Now).m_Requests;
  ++Known.m_Requests;
}

bool RetryLimiter::tryTakeRetry(const std::string &Service,
                                model::TimePoint Now) {
  Counts &Known = m_Services[Service];
  Slice &Last = currentSlice(Known, Now);
  const double Allowed =
      UsedPart * (m_Limits.m_Ratio * static_cast<double>(Known.m_Requests) +
                  m_Limits.m_Slack / m_NodeCount);
  if (static_cast<double>(Known.m_Retries + 1) > Allowed)
    return false;
  ++Last.m_Retries;
  ++Known.m_Retries;
  return true;
}

} // namespace bronzepass::core::gateway
