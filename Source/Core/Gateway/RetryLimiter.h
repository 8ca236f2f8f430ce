#ifndef BRONZEPASS_CORE_GATEWAY_RETRYLIMITER_H
#define BRONZEPASS_CORE_GATEWAY_RETRYLIMITER_H

#include "Core/Model/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bronzepass::core::gateway {

/// Limits the retries (sends beyond each request's first) that all nodes
/// together may send to a service in any window.
struct RetryLimits {
  /// Retries per request in the window.
  double m_Ratio = 0.2;
  /// Retries allowed in addition, over all nodes.
  double m_Slack = 10;
  model::Duration m_Window = std::chrono::seconds(10);

  friend auto operator<=>(const RetryLimits &, const RetryLimits &) = default;
};

/// This node's share of the retry limit: the ratio of its own requests, and an
/// even part of the slack. Needs no messages between nodes, since the shares
/// add up to no more than the limit.
class RetryLimiter {
public:
  explicit RetryLimiter(const RetryLimits &Limits) : m_Limits(Limits) {}

  void setNodeCount(uint32_t Count) { m_NodeCount = Count == 0 ? 1 : Count; }
  void countRequest(const std::string &Service, model::TimePoint Now);
  /// Returns whether a retry is allowed now, and counts it if so.
  bool tryTakeRetry(const std::string &Service, model::TimePoint Now);

private:
  /// Counts for a tenth of the window.
  struct Slice {
    int64_t m_Number = 0;
    uint32_t m_Requests = 0;
    uint32_t m_Retries = 0;
  };
  struct Counts {
    std::deque<Slice> m_Slices;
    uint64_t m_Requests = 0;
    uint64_t m_Retries = 0;
  };

  Slice &currentSlice(Counts &Service, model::TimePoint Now) const;

  RetryLimits m_Limits;
  uint32_t m_NodeCount = 1;
  std::map<std::string, Counts> m_Services;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RETRYLIMITER_H
