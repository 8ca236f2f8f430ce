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
  /// Of this node alone, watches and retries included.
  double m_CallsPerSecond = 50;
  double m_Burst = 50;
  uint32_t m_MaxConcurrent = 16;
  /// Waiting watches, apart from m_MaxConcurrent.
  uint32_t m_MaxWatches = 8;
  uint32_t m_MaxQueued = 1000;
  /// Tries of one call, the first included.
  uint32_t m_MaxTries = 4;
  model::Duration m_BackoffBase = std::chrono::milliseconds(50);
  model::Duration m_BackoffMax = std::chrono::seconds(2);
  /// Retries allowed per successful call, and how many may be saved up.
  double m_RetriesPerSuccess = 0.1;
  double m_RetriesSaved = 10;
  /// For calls that give no timeout.
  model::Duration m_DefaultTimeout = std::chrono::seconds(2);
  /// An adapter that has not answered this long past a call's timeout is taken
  /// to have lost it.
  model::Duration m_AnswerGrace = std::chrono::seconds(1);
  CircuitSettings m_Circuit;
};

/// Counts since the start, for metrics.
struct GovernorCounts {
  /// Tries sent, by verb and priority.
  std::map<std::pair<ports::StoreVerb, ports::StorePriority>, uint64_t> m_Sent;
  uint64_t m_Retries = 0;
  uint64_t m_Unknown = 0;
  /// Calls that never left within their timeout.
  uint64_t m_Expired = 0;
  /// Answers that matched no call under way.
  uint64_t m_Stray = 0;
};

/// The one way from the control core to the object API. Calls wait by priority
/// for a token of the rate, a free place and a closed circuit. Reads that fail
/// and writes that never left are retried with full jitter inside their timeout
/// and the retry budget; a write that may have taken effect goes back to its
/// client as Unknown, which settles it by reading.
class StoreGovernor {
public:
  StoreGovernor(const GovernorSettings &Settings, ports::Random &Source);

  /// Queues \p Call and sends what may leave. The call's timeout counts from
  /// now, its time in the queue included; a watch's counts from its sending.
  /// Exactly one RoutedAnswer follows from onAnswer() or tick().
  model::CallId submit(StoreClient Client, ports::StoreCall Call,
                       model::TimePoint Now, ports::EffectList &Out);

  /// Takes an answer of the adapter; gives the final one, or nothing where the
  /// call is to be retried or the answer is stray.
  std::optional<RoutedAnswer> onAnswer(const ports::StoreAnswer &Answer,
                                       model::TimePoint Now,
                                       ports::EffectList &Out);

  /// Sends what may leave by now; gives the answers of calls whose time is up:
  /// NotSent for those that wait, Unknown for those whose answer never came.
  std::vector<RoutedAnswer> tick(model::TimePoint Now, ports::EffectList &Out);

  bool isCircuitOpen() const { return m_Circuit.isOpen(); }
  size_t queuedCount() const { return m_Queue.size(); }
  size_t inFlightCount() const { return m_InFlight.size(); }
  const GovernorCounts &counts() const { return m_Counts; }

private:
  struct Entry {
    StoreClient m_Client = StoreClient::Status;
    /// As the client knows it; each try leaves under an id of its own.
    model::CallId m_Id;
    ports::StoreCall m_Call;
    model::TimePoint m_GiveUpAt;
    model::TimePoint m_ReadyAt;
    uint32_t m_Tries = 0;
  };
  /// Most urgent first, then first come.
  using QueueKey = std::pair<ports::StorePriority, uint64_t>;
  using Queue = std::map<QueueKey, Entry>;

  static bool isWatch(const Entry &E) {
    return E.m_Call.m_Verb == ports::StoreVerb::Watch;
  }
  static bool isRead(const Entry &E);
  static RoutedAnswer failed(const Entry &E, ports::StoreStatus Status);

  model::CallId nextId() { return {++m_LastId}; }
  void refill(model::TimePoint Now);
  bool hasPlace(const Entry &E) const;
  bool mayRetry(const Entry &E, ports::StoreStatus Status,
                model::TimePoint Now) const;
  void retry(Entry E, model::TimePoint Now);
  void pump(model::TimePoint Now, ports::EffectList &Out);
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
