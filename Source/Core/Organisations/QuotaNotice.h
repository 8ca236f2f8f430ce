#ifndef BRONZEPASS_CORE_ORGANISATIONS_QUOTANOTICE_H
#define BRONZEPASS_CORE_ORGANISATIONS_QUOTANOTICE_H

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::organisations {

/// Shares of an organisation's standing rate are told in millionths.
inline constexpr uint32_t WholeShare = 1'000'000;

/// What a node asks of the holder for one organisation.
struct QuotaAsk {
  /// Stable hash of the organisation's name.
  uint64_t m_Organisation = 0;
  /// What the requests that wait at the node count in sum, and the least of
  /// them.
  uint64_t m_Need = 0;
  uint64_t m_Least = 0;
  /// To be granted besides, for requests to come.
  uint64_t m_Reserve = 0;
  /// Recently asked by callers, in thousandths a second.
  uint64_t m_Demand = 0;
  /// The share of the standing rate that the node has.
  uint32_t m_Share = 0;
  /// Time of the asking whose answer set that share; 0: none has.
  int64_t m_HeardAt = 0;
  /// Of the standing rate, what the node will never spend; since its start.
  uint64_t m_GivenUp = 0;

  friend auto operator<=>(const QuotaAsk &, const QuotaAsk &) = default;
};

/// The holder's answer for one organisation.
struct QuotaAnswer {
  uint64_t m_Organisation = 0;
  uint64_t m_Granted = 0;
  /// Until the least that was asked for is there, in microseconds; 0 if it was
  /// granted.
  int64_t m_Wait = 0;
  uint32_t m_Share = 0;
  /// The share may be greater than the node's. If not, the node keeps the
  /// smaller one.
  bool m_MayRaise = false;

  friend auto operator<=>(const QuotaAnswer &, const QuotaAnswer &) = default;
};

/// The part of a datagram between nodes that is about quotas: a node asks, or
/// the holder answers.
struct QuotaNotice {
  /// Start of the asking process; an answer is for that one alone.
  uint64_t m_AskerStart = 0;
  /// On the clock of the asking node; the answer repeats it. Each asking of a
  /// process has another.
  int64_t m_AskedAt = 0;
  std::vector<QuotaAsk> m_Asks;
  std::vector<QuotaAnswer> m_Answers;
  /// With answers, and where the sender announces that it is the holder: rises
  /// with each holding. 0 if it is not told.
  uint64_t m_Holding = 0;
  /// The sender tells a node only what it is, such as the holder.
  bool m_IsAnnouncement = false;

  bool isEmpty() const {
    return m_Asks.empty() && m_Answers.empty() && !m_IsAnnouncement;
  }

  friend auto operator<=>(const QuotaNotice &, const QuotaNotice &) = default;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_QUOTANOTICE_H
