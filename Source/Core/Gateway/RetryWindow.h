#ifndef BRONZEPASS_CORE_GATEWAY_RETRYWINDOW_H
#define BRONZEPASS_CORE_GATEWAY_RETRYWINDOW_H

#include "Core/Model/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bronzepass::core::gateway {

/// How many sends beyond each request's first one a service may get from all
/// nodes together in any window.
struct RetryLimits {
  /// Per request in the window.
  double m_Ratio = 0.2;
  /// Besides, over all nodes.
  double m_Slack = 10;
  model::Duration m_Window = std::chrono::seconds(10);

  friend auto operator<=>(const RetryLimits &, const RetryLimits &) = default;
};

/// This node's part of the limit: its own requests' share, and an even part of
/// the slack. No message between nodes is needed, since the parts add up to no
/// more than the whole.
class RetryWindow {
public:
  explicit RetryWindow(const RetryLimits &Limits) : m_Limits(Limits) {}

  void setNodeCount(uint32_t Count) { m_NodeCount = Count == 0 ? 1 : Count; }
  void noteRequest(const std::string &Service, model::TimePoint Now);
  /// Whether one more send may be made now; counts it.
  bool take(const std::string &Service, model::TimePoint Now);

private:
  /// Counts of a tenth of the window each.
  struct Slice {
    int64_t m_Number = 0;
    uint32_t m_Requests = 0;
    uint32_t m_Extra = 0;
  };
  struct Counts {
    std::deque<Slice> m_Slices;
    uint64_t m_Requests = 0;
    uint64_t m_Extra = 0;
  };

  Slice &current(Counts &Service, model::TimePoint Now) const;

  RetryLimits m_Limits;
  uint32_t m_NodeCount = 1;
  std::map<std::string, Counts> m_Services;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RETRYWINDOW_H
