#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H

#include "Core/Model/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace bronzepass::core::routing {

/// How an endpoint is chosen among those that hold a copy.
enum class PolicyKind { RoundRobin, LeastInFlight, PowerOfTwo, Predictive };

/// Settings of request scheduling that an operator may tune.
struct TrafficSettings {
  PolicyKind m_Policy = PolicyKind::Predictive;
  /// Admission control: predict when each request would finish, queue requests
  /// while endpoints are full and refuse those whose window can't be met.
  /// Without it every request is sent at once.
  bool m_Admission = true;
  /// Log a Decision for every choice and refusal.
  bool m_LogDecisions = true;

  model::Duration m_ConnectTimeout = std::chrono::seconds(1);
  model::Duration m_FirstByteTimeout = std::chrono::seconds(30);
  /// How long a claimed run may continue after its deadline if its caller was
  /// answered or has disconnected, so that its outcome can be recorded.
  model::Duration m_OutcomeGrace = std::chrono::seconds(30);

  /// Attempts per request, including the first.
  uint32_t m_MaxAttempts = 3;
  /// Retries allowed per arriving request, and per second at least.
  double m_RetryRatio = 0.2;
  double m_MinRetriesPerSecond = 5;

  /// Limits of the queue of one artifact or plain service on this node.
  uint32_t m_QueueRequests = 512;
  uint64_t m_QueueBytes = 8ULL << 20;

  /// How many requests each other node is assumed to have sent to an endpoint
  /// since its last load report, relative to this node's own: 0 none, 1 as
  /// many.
  double m_PeerLoadFactor = 0.25;
  /// Requests sent to an endpoint beyond its slots, as a share of the slots, so
  /// that it does not idle while an answer is in transit.
  double m_SlotOvercommitShare = 0.125;
  /// Factor on the predicted finish while other requests wait too: a request
  /// that may miss its window would take a slot from one that would not.
  double m_ContendedFinishMargin = 1.2;
  /// The factor while the load is below this share of the endpoint's slots:
  /// there a try costs other requests little, and the prediction may be too
  /// pessimistic.
  double m_LightLoadShare = 0.75;
  double m_LightLoadFinishMargin = 0.4;
  /// Weight of the delay that a prefill causes for the endpoint's other
  /// requests, in the cost of a candidate.
  double m_PrefillInterferenceWeight = 1;
  /// An idle endpoint that is predicted to be too slow is still tried this
  /// often, or a wrong prediction would never be corrected.
  model::Duration m_ProbePeriod = std::chrono::seconds(2);
  /// Share of an endpoint's slots that batch requests may fill.
  double m_BatchSlotShare = 0.75;
  /// Weight of the newest value in moving averages.
  double m_AverageWeight = 0.05;
  /// Predicted service time before any answer was measured.
  model::Duration m_InitialServiceTime = std::chrono::milliseconds(500);
  /// Prefill time of one prompt token that is not cached.
  model::Duration m_PromptTokenTime = std::chrono::microseconds(100);
  /// Prompt tokens covered by one prefix hash.
  uint32_t m_PrefixBlockTokens = 64;
  /// Capacity of the node's prefix index, in hashes.
  uint32_t m_PrefixEntries = 1U << 14;

  /// Consecutive failures that eject an endpoint; a single refused connection
  /// ejects it too.
  uint32_t m_EjectFailures = 3;
  model::Duration m_EjectTime = std::chrono::seconds(2);
  model::Duration m_EjectTimeMax = std::chrono::seconds(30);
  /// Complete answers that end the probation after an ejection.
  uint32_t m_ProbationAnswers = 3;

  /// How often demand and usage are reported.
  model::Duration m_ReportPeriod = std::chrono::seconds(1);

  friend bool operator==(const TrafficSettings &,
                         const TrafficSettings &) = default;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H
