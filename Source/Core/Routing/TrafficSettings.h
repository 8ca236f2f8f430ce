#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H

#include "Core/Model/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace bronzepass::core::routing {

/// How an endpoint is chosen among those that hold a copy.
enum class PolicyKind { RoundRobin, LeastInFlight, PowerOfTwo, Predictive };

/// Everything about traffic that an operator may tune.
struct TrafficSettings {
  PolicyKind m_Policy = PolicyKind::Predictive;
  /// Predict each request's finish, hold requests back from full endpoints and
  /// refuse those whose window can't be met. Without it every request is sent
  /// on at once.
  bool m_Admission = true;
  /// Write a Decision for every choice and refusal.
  bool m_LogDecisions = true;

  model::Duration m_ConnectTimeout = std::chrono::seconds(1);
  model::Duration m_FirstByteTimeout = std::chrono::seconds(30);
  /// How long a run under a claim goes on after its caller was answered or
  /// left, so that its outcome can be recorded.
  model::Duration m_OutcomeGrace = std::chrono::seconds(30);

  /// Tries of one request, the first included.
  uint32_t m_MaxAttempts = 3;
  /// Retries allowed per request that comes in, and at least per second.
  double m_RetryRatio = 0.2;
  double m_RetryFloorPerSecond = 5;

  /// Bounds of one artifact's queue on this node.
  uint32_t m_QueueRequests = 512;
  uint64_t m_QueueBytes = 8ULL << 20;

  /// How much another node's unseen starts are taken to mirror one's own since
  /// the last load report: 0 not at all, 1 fully.
  double m_MirrorFactor = 0.25;
  /// Requests sent to an endpoint beyond its slots, as a share of them, so that
  /// it never idles while an answer travels.
  double m_SlotSlack = 0.125;
  /// What a predicted finish is taken times where others wait too: a request
  /// that may miss its window then takes a slot from one that would not.
  double m_ContendedMargin = 1.2;
  /// The same where the endpoint is filled to less than this share of its
  /// slots: trying costs the others little, and a prediction may be too long.
  double m_SpareShare = 0.75;
  double m_SpareMargin = 0.4;
  /// How much of the time by which a prefill holds up the endpoint's other
  /// requests counts as the request's own.
  double m_PrefillBurden = 1;
  /// An endpoint that is predicted to be too slow is still tried this often, or
  /// a wrong prediction could not be unlearnt.
  model::Duration m_ProbePeriod = std::chrono::seconds(2);
  /// Share of an endpoint's slots that batch requests may fill.
  double m_BatchSlotShare = 0.75;
  /// Weight of the newest value in moving averages.
  double m_AverageWeight = 0.05;
  /// Assumed before anything was measured.
  model::Duration m_FirstServiceGuess = std::chrono::milliseconds(500);
  /// Compute time of one prompt token that no cache holds.
  model::Duration m_PromptTokenTime = std::chrono::microseconds(100);
  /// Prompt tokens that one prefix hash stands for.
  uint32_t m_PrefixBlockTokens = 64;
  /// Prefix hashes remembered by this node.
  uint32_t m_PrefixEntries = 1U << 14;

  /// Consecutive failures that eject an endpoint; one refused connection does.
  uint32_t m_EjectFailures = 3;
  model::Duration m_EjectTime = std::chrono::seconds(2);
  model::Duration m_EjectTimeMax = std::chrono::seconds(30);
  /// Whole answers that end an ejected endpoint's probation.
  uint32_t m_ProbationAnswers = 3;

  /// How often demand and use are reported.
  model::Duration m_ReportPeriod = std::chrono::seconds(1);

  friend bool operator==(const TrafficSettings &,
                         const TrafficSettings &) = default;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICSETTINGS_H
