#ifndef BRONZEPASS_CORE_LEASES_STOREGOVERNOR_H
#define BRONZEPASS_CORE_LEASES_STOREGOVERNOR_H

#include "Core/Leases/CircuitBreaker.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bronzepass::core::leases {

/// The subsystem that made a call and gets its answer.
enum class StoreClient { Leases, Claims, Placement, Intent, Status };

/// A call's final answer, under the id that submit() gave.
struct RoutedAnswer {
  StoreClient m_Client = StoreClient::Status;
  ports::StoreAnswer m_Answer;

  friend auto operator<=>(const RoutedAnswer &, const RoutedAnswer &) = default;
};

struct GovernorSettings {
  /// Limit for this node only; watches and retries count as calls.
  double m_CallsPerSecond = 50;
  double m_Burst = 50;
  uint32_t m_MaxConcurrent = 16;
  /// Watches in flight, which do not count towards m_MaxConcurrent.
  uint32_t m_MaxWatches = 8;
  uint32_t m_MaxQueued = 1000;
  /// Attempts per call, including the first.
  uint32_t m_MaxAttempts = 4;
  model::Duration m_BackoffBase = std::chrono::milliseconds(50);
  model::Duration m_BackoffMax = std::chrono::seconds(2);
  /// Retry tokens earned per successful call, and their maximum number.
  double m_RetriesPerSuccess = 0.1;
  double m_MaxRetryTokens = 10;
  /// For calls without a timeout of their own.
  model::Duration m_DefaultTimeout = std::chrono::seconds(2);
  /// If the adapter has not answered this long after a call's timeout, the call
  /// is considered lost.
  model::Duration m_AnswerGrace = std::chrono::seconds(1);
  CircuitSettings m_Circuit;
};

/// Counts since the start, for metrics.
struct GovernorCounts {
  /// Attempts sent, by verb and priority.
  std::map<std::pair<ports::StoreVerb, ports::StorePriority>, uint64_t> m_Sent;
  uint64_t m_Retries = 0;
  uint64_t m_Unknown = 0;
  /// Calls that were not sent within their timeout.
  uint64_t m_Expired = 0;
  /// Answers that matched no call in flight.
  uint64_t m_Unmatched = 0;
};

/// Sends all calls of the control core to the object API. Calls wait in order
/// of priority for the rate limit, a free concurrency slot and a closed
/// circuit. Failed reads, and writes that were not sent, are retried with full
/// jitter within their timeout and the retry budget. A write that may have
/// taken effect is answered Unknown; its client must read the object to find
/// out.
class StoreGovernor {
public:
  StoreGovernor(const GovernorSettings &Settings, ports::Random &Source);

  /// Queues \p Call and sends the calls that may be sent now. The call's
  /// timeout starts now and includes its time in the queue; that of a watch
  /// starts when it is sent. Exactly one RoutedAnswer follows from onAnswer()
  /// or tick().
  model::CallId submit(StoreClient Client, ports::StoreCall Call,
                       model::TimePoint Now, ports::EffectList &Out);

  /// Handles an answer from the adapter. Returns the call's final answer, or
  /// nothing if the call is retried or the answer matches no call in flight.
  std::optional<RoutedAnswer> onAnswer(const ports::StoreAnswer &Answer,
                                       model::TimePoint Now,
                                       ports::EffectList &Out);

  /// Sends the calls that may be sent now. Returns answers for calls that timed
  /// out: NotSent for those in the queue, Unknown for those without an answer.
  std::vector<RoutedAnswer> tick(model::TimePoint Now, ports::EffectList &Out);

  bool isCircuitOpen() const { return m_Circuit.isOpen(); }
  size_t queuedCount() const { return m_Queue.size(); }
  size_t inFlightCount() const { return m_InFlight.size(); }
  const GovernorCounts &counts() const { return m_Counts; }

private:
  struct Entry {
    StoreClient m_Client = StoreClient::Status;
    /// Id that the client knows; each attempt is sent under an id of its own.
    model::CallId m_Id;
    ports::StoreCall m_Call;
    model::TimePoint m_ExpiresAt;
    model::TimePoint m_ReadyAt;
    uint32_t m_Attempts = 0;
  };
  /// Ordered by priority, then by time of arrival.
  using QueueKey = std::pair<ports::StorePriority, uint64_t>;
  using Queue = std::map<QueueKey, Entry>;

  static bool isWatch(const Entry &E) {
    return E.m_Call.m_Verb == ports::StoreVerb::Watch;
  }
  static bool isRead(const Entry &E);
  static RoutedAnswer failed(const Entry &E, ports::StoreStatus Status);

  model::CallId nextId() { return {++m_LastId}; }
  void refill(model::TimePoint Now);
  bool hasFreeSlot(const Entry &E) const;
  bool mayRetry(const Entry &E, ports::StoreStatus Status,
                model::TimePoint Now) const;
  void retry(Entry E, model::TimePoint Now);
  void sendReady(model::TimePoint Now, ports::EffectList &Out);
  void send(Entry E, model::TimePoint Now, ports::EffectList &Out);
  void expireQueued(model::TimePoint Now, std::vector<RoutedAnswer> &Answers);
  void expireInFlight(model::TimePoint Now, std::vector<RoutedAnswer> &Answers);

  GovernorSettings m_Settings;
  ports::Random &m_Random;
  CircuitBreaker m_Circuit;
  Queue m_Queue;
  std::map<model::CallId, Entry> m_InFlight;
  uint32_t m_WatchesInFlight = 0;
  uint64_t m_LastId = 0;
  uint64_t m_LastQueued = 0;
  double m_Tokens = 0;
  double m_RetryTokens = 0;
  std::optional<model::TimePoint> m_RefilledAt;
  GovernorCounts m_Counts;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_STOREGOVERNOR_H
