#ifndef BRONZEPASS_CORE_ROUTING_ENDPOINTVIEW_H
#define BRONZEPASS_CORE_ROUTING_ENDPOINTVIEW_H

#include "Core/Model/Time.h"
#include "Core/Routing/TrafficEvent.h"
#include "Core/Routing/TrafficSettings.h"

#include <array>
#include <cstdint>

namespace bronzepass::core::routing {

/// What this node knows of one endpoint from its own attempts and from load
/// reports that lag.
class EndpointView {
public:
  explicit EndpointView(const TrafficSettings &Settings)
      : m_Settings(&Settings) {}

  /// An attempt begins or is over, whatever its end.
  void started(model::TimePoint Now);
  void finished(model::TimePoint Now);

  /// The endpoint ran and held so much at \p MadeAt; an older report than the
  /// last one is ignored.
  void reported(const LoadHint &Load, model::TimePoint MadeAt);

  uint32_t inFlight() const { return m_InFlight; }
  model::TimePoint lastStart() const { return m_LastStart; }

  /// Requests inside the endpoint now, by everyone: the last report, moved on
  /// by what this node has started and seen finished since, times \p Mirror
  /// (1 for itself alone, more where other nodes do as much unseen).
  double load(double Mirror) const;

  /// An answer under way grew by \p Tokens in \p Took.
  void grew(uint32_t Tokens, model::Duration Took, uint32_t Slots);
  /// A whole answer took \p Took.
  void answered(model::Duration Took, model::TimePoint Now);
  /// The attempt failed; a refused connection weighs more than a broken one.
  void failed(bool Refused, model::TimePoint Now);

  /// Seconds per generated token with an empty batch; 0 before any answer.
  double tokenTime() const { return m_TokenTime; }
  /// Seconds of a whole answer; 0 before any answer.
  double serviceTime() const { return m_ServiceTime; }

  /// Whether new work may go there: not while ejected, and one request at a
  /// time on probation.
  bool accepts(model::TimePoint Now) const;
  bool suspected() const { return m_Ejections != 0; }
  model::TimePoint ejectedUntil() const { return m_EjectedUntil; }

  /// Its process was replaced: what was measured holds no more.
  void reset();

private:
  static constexpr model::Duration BucketTime = std::chrono::milliseconds(50);
  static constexpr size_t Buckets = 64;

  void advance(model::TimePoint Now);
  uint32_t inFlightAt(model::TimePoint When) const;
  void eject(model::TimePoint Now);

  const TrafficSettings *m_Settings;
  uint32_t m_InFlight = 0;
  model::TimePoint m_LastStart;
  // In-flight count at the end of each of the last buckets of time.
  std::array<uint32_t, Buckets> m_History{};
  int64_t m_Bucket = 0;

  bool m_HasReport = false;
  uint32_t m_Reported = 0;
  uint32_t m_OwnAtReport = 0;
  model::TimePoint m_ReportedAt;

  double m_TokenTime = 0;
  double m_ServiceTime = 0;

  uint32_t m_Failures = 0;
  uint32_t m_Ejections = 0;
  uint32_t m_ProbationLeft = 0;
  model::TimePoint m_EjectedUntil;
};

/// How much longer a step takes with a full batch than with an empty one; the
/// shape is assumed, its size is measured per endpoint.
constexpr double FullBatchSlowdown = 1.0;

/// Factor on the time of a token at \p Load requests in \p Slots.
double batchFactor(double Load, uint32_t Slots);

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ENDPOINTVIEW_H
