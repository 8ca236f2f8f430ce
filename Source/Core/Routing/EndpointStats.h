#ifndef BRONZEPASS_CORE_ROUTING_ENDPOINTSTATS_H
#define BRONZEPASS_CORE_ROUTING_ENDPOINTSTATS_H

#include "Core/Model/Time.h"
#include "Core/Routing/TrafficEvent.h"
#include "Core/Routing/TrafficSettings.h"

#include <array>
#include <cstdint>

namespace bronzepass::core::routing {

/// Load, speed and health of one endpoint, estimated from this node's own
/// attempts and from delayed load reports. Ejects an endpoint that fails
/// (outlier ejection).
class EndpointStats {
public:
  explicit EndpointStats(const TrafficSettings &Settings)
      : m_Settings(&Settings) {}

  void onAttemptStarted(model::TimePoint Now);
  /// Called for every attempt, whatever its outcome.
  void onAttemptEnded(model::TimePoint Now);

  /// \p Load is the endpoint's load at \p MadeAt. A report older than the last
  /// one is ignored.
  void onLoadReport(const ReportedLoad &Load, model::TimePoint MadeAt);

  uint32_t inFlight() const { return m_InFlight; }
  model::TimePoint lastStart() const { return m_LastStart; }

  /// Estimates the requests in the endpoint now, from all nodes: the last
  /// report plus this node's change since then times \p PeerFactor. The factor
  /// is 1 if no other node sends to the endpoint, and more to account for the
  /// requests of other nodes that no report shows yet.
  double load(double PeerFactor) const;

  /// \p Tokens more of a running answer arrived within \p Took.
  void onTokensReceived(uint32_t Tokens, model::Duration Took, uint32_t Slots);
  /// An answer completed after \p Took.
  void onAnswerCompleted(model::Duration Took, model::TimePoint Now);
  /// A refused connection ejects the endpoint at once; other failures only
  /// after several in a row or on probation.
  void onAttemptFailed(bool Refused, model::TimePoint Now);

  /// Seconds per generated token with an empty batch; 0 before any answer.
  double tokenTime() const { return m_TokenTime; }
  /// Seconds per complete answer; 0 before any answer.
  double serviceTime() const { return m_ServiceTime; }

  /// Whether the endpoint may get a new request: not while ejected, and one
  /// request at a time on probation.
  bool acceptsRequests(model::TimePoint Now) const;
  bool isEjectedOrOnProbation() const { return m_Ejections != 0; }
  model::TimePoint ejectedUntil() const { return m_EjectedUntil; }

  /// Drops all measurements but the in-flight count: the endpoint's process was
  /// replaced.
  void reset();

private:
  static constexpr model::Duration BucketTime = std::chrono::milliseconds(50);
  static constexpr size_t BucketCount = 64;

  void advance(model::TimePoint Now);
  uint32_t inFlightAt(model::TimePoint When) const;
  void eject(model::TimePoint Now);

  const TrafficSettings *m_Settings;
  uint32_t m_InFlight = 0;
  model::TimePoint m_LastStart;
  // In-flight count at the end of each of the last BucketCount time buckets.
  std::array<uint32_t, BucketCount> m_History{};
  int64_t m_Bucket = 0;

  bool m_HasReport = false;
  uint32_t m_ReportedRequests = 0;
  uint32_t m_InFlightAtReport = 0;
  model::TimePoint m_ReportedAt;

  double m_TokenTime = 0;
  double m_ServiceTime = 0;

  uint32_t m_Failures = 0;
  uint32_t m_Ejections = 0;
  uint32_t m_ProbationLeft = 0;
  model::TimePoint m_EjectedUntil;
};

/// Relative increase of a decoding step's duration from an empty batch to a
/// full one. The increase is taken to be linear in the load; the base time is
/// measured per endpoint.
constexpr double FullBatchSlowdown = 1.0;

/// Factor on the time of a token at \p Load requests in \p Slots.
double batchFactor(double Load, uint32_t Slots);

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ENDPOINTSTATS_H
