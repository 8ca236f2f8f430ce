#include "Core/Gateway/RetryWindow.h"

namespace bronzepass::core::gateway {

namespace {

constexpr int64_t SlicesPerWindow = 10;
/// Kept back of this node's part: nodes that come and go see different counts
/// of nodes for some seconds, and slices end at different times.
constexpr double UsedPart = 0.7;

} // namespace

RetryWindow::Slice &RetryWindow::current(Counts &Service,
                                         model::TimePoint Now) const {
  const int64_t Number =
      Now.time_since_epoch() / (m_Limits.m_Window / SlicesPerWindow);
  // One slice more than a window, so that any window is covered whole.
  while (!Service.m_Slices.empty() &&
         Service.m_Slices.front().m_Number < Number - SlicesPerWindow) {
    Service.m_Requests -= Service.m_Slices.front().m_Requests;
    Service.m_Extra -= Service.m_Slices.front().m_Extra;
    Service.m_Slices.pop_front();
  }
  if (Service.m_Slices.empty() || Service.m_Slices.back().m_Number < Number)
    Service.m_Slices.push_back({Number, 0, 0});
  return Service.m_Slices.back();
}

void RetryWindow::noteRequest(const std::string &Service,
                              model::TimePoint Now) {
  Counts &Known = m_Services[Service];
  ++current(Known, Now).m_Requests;
  ++Known.m_Requests;
}

bool RetryWindow::take(const std::string &Service, model::TimePoint Now) {
  Counts &Known = m_Services[Service];
  Slice &Last = current(Known, Now);
  const double Allowed =
      UsedPart * (m_Limits.m_Ratio * static_cast<double>(Known.m_Requests) +
                  m_Limits.m_Slack / m_NodeCount);
  if (static_cast<double>(Known.m_Extra + 1) > Allowed)
    return false;
  ++Last.m_Extra;
  ++Known.m_Extra;
  return true;
}

} // namespace bronzepass::core::gateway
