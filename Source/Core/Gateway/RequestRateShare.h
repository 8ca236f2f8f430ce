#ifndef BRONZEPASS_CORE_GATEWAY_REQUESTRATESHARE_H
#define BRONZEPASS_CORE_GATEWAY_REQUESTRATESHARE_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>

namespace bronzepass::core::gateway {

/// This node's even share of the requests a second that an endpoint takes from
/// all nodes together, as a token bucket. Needs no messages between nodes: the
/// shares of all nodes add up to the limit, and a node that is cut off keeps to
/// its own.
///
/// In a large fleet even one request of each node at the same time would exceed
/// the limit. A bucket that can't hold a whole token therefore gives away what
/// it has by a draw, whose odds are its tokens.
class RequestRateShare {
public:
  RequestRateShare(double LimitPerSecond, uint32_t NodeCount,
                   model::TimePoint Now);

  /// What nodes that send little may save up, over all nodes: this many
  /// seconds' worth of requests. Takes effect with the next limit.
  void setSavedSeconds(double Seconds) { m_SavedSeconds = Seconds; }
  void setLimit(double LimitPerSecond, uint32_t NodeCount,
                model::TimePoint Now);
  /// The limit over all nodes.
  double limitPerSecond() const { return m_LimitPerSecond; }
  /// Whether a request may be sent now. A draw that is lost costs the tokens
  /// that it was for. \p Random decides it.
  bool allows(model::TimePoint Now, uint64_t Random);
  /// A request is sent.
  void take(model::TimePoint Now);
  /// This node's share of the limit.
  double tokensPerSecond() const { return m_TokensPerSecond; }
  /// When to ask again after allows() was false.
  model::Duration timeToNext(model::TimePoint Now) const;

  friend auto operator<=>(const RequestRateShare &,
                          const RequestRateShare &) = default;

private:
  bool holdsWholeTokens() const { return m_MaxTokens >= 1; }
  void refill(model::TimePoint Now);

  static constexpr double DefaultSavedSeconds = 2;

  double m_SavedSeconds = DefaultSavedSeconds;
  double m_LimitPerSecond = 0;
  double m_TokensPerSecond = 0;
  double m_MaxTokens = 0;
  double m_Tokens = 0;
  model::TimePoint m_RefilledAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_REQUESTRATESHARE_H
