#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTPACE_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTPACE_H

#include "Core/Gateway/RequestRateShare.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace bronzepass::core::gateway {

enum class PaceCause { Start, Ejection, Pause, Silence };

const char *toString(PaceCause Value);

/// What a node has had of an endpoint since its pace began there. The counts
/// never decrease, so that a lost notice loses nothing.
struct PaceReport {
  model::EndpointId m_Endpoint;
  /// Answers in time; and those that were late, failed or were turned away.
  uint64_t m_Good = 0;
  uint64_t m_Bad = 0;

  friend auto operator<=>(const PaceReport &, const PaceReport &) = default;
};

/// Finds from its answers how many requests an endpoint takes that has just
/// started or recovered: the window, which is the number of requests in flight
/// there from all nodes together. Each answer in time adds a request; a bad one
/// halves the window, and from then on a window's worth of answers adds one.
///
/// Every node has its own, fed by its answers and by what others report. What
/// nodes can't know of each other yet is bounded by draws: until loads have
/// been told, all nodes together send no more than twice the window on average.
class EndpointPace {
public:
  /// The nodes that keep to the window, and how this one sees the endpoint.
  struct Load {
    uint32_t m_Own = 0;
    /// Of all nodes, as far as is known.
    double m_All = 0;
    uint32_t m_Nodes = 1;
    /// Peers that are heard; the others' answers are estimated from theirs.
    uint32_t m_PeersHeard = 0;

    friend auto operator<=>(const Load &, const Load &) = default;
  };

  /// The pace acts from \p From on.
  EndpointPace(PaceCause Cause, uint32_t Slots, model::TimePoint From);

  PaceCause cause() const { return m_Cause; }
  double window() const { return m_Window; }
  /// The endpoint leaves requests unanswered: it gets one at a time.
  bool isSilent() const { return m_IsSilent; }

  /// Whether the endpoint takes one more request from this node now. \p Random
  /// decides draws.
  bool allows(const Load &Seen, model::TimePoint Now, uint64_t Random);
  /// A request is sent.
  void onSent(model::TimePoint Now);
  void onGoodAnswer(model::TimePoint Now);
  void onBadAnswer(model::TimePoint Now);
  /// \p Weight: nodes for which the report of \p Peer speaks.
  void onReport(const model::NodeId &Peer, const PaceReport &Report,
                double Weight, model::TimePoint Now);
  /// The endpoint has answered again.
  void onSilenceEnded(model::TimePoint Now);
  /// It has shown itself well at its full room, or has had time enough.
  bool isOver(model::TimePoint Now) const;
  /// What this node has had.
  PaceReport report(const model::EndpointId &Endpoint) const {
    return {Endpoint, m_Good, m_Bad};
  }

private:
  struct Counts {
    uint64_t m_Good = 0;
    uint64_t m_Bad = 0;
    model::TimePoint m_At;
  };

  uint32_t nodesUnder(const Load &Seen, model::TimePoint Now) const;
  void raise(double Answers);
  void cut(model::TimePoint Now);

  PaceCause m_Cause;
  double m_Slots;
  model::TimePoint m_From;
  bool m_IsSilent;
  double m_Window;
  /// Up to here each answer in time adds a request.
  double m_Threshold;
  std::optional<model::TimePoint> m_CutAt;
  /// Since the first request under it; an endpoint may get none for long.
  std::optional<model::TimePoint> m_FirstSentAt;
  uint64_t m_Good = 0;
  uint64_t m_Bad = 0;
  std::map<model::NodeId, Counts> m_Reports;
  RequestRateShare m_Share;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTPACE_H
