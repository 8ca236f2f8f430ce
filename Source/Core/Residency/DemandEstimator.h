#ifndef BRONZEPASS_CORE_RESIDENCY_DEMANDESTIMATOR_H
#define BRONZEPASS_CORE_RESIDENCY_DEMANDESTIMATOR_H

#include "Core/Gateway/PeerNotice.h"
#include "Core/Model/Time.h"

#include <chrono>
#include <cmath>
#include <map>
#include <utility>

namespace bronzepass::core::residency {

/// Estimates the demand for each model in tokens per second, summed over nodes
/// and averaged over the last seconds.
class DemandEstimator {
public:
  /// Time constant of the average: long enough to bridge the gaps between
  /// single requests, short enough to follow demand that shifts between models
  /// within seconds.
  static constexpr double AverageSeconds = 2;

  /// Takes a counter of \p Node, which starts from zero with each \p NodeStart.
  void addCount(const model::NodeId &Node, uint64_t NodeStart,
                const gateway::UsageCounter &Count, model::TimePoint Now) {
    Counter &Last = m_Counters[{Node, Count.m_ModelRef}];
    if (Last.m_NodeStart != NodeStart)
      Last = {NodeStart, 0, 0};
    const uint64_t NewTokens =
        Count.m_Tokens >= Last.m_Tokens ? Count.m_Tokens - Last.m_Tokens : 0;
    const uint64_t NewRequests = Count.m_Requests >= Last.m_Requests
                                     ? Count.m_Requests - Last.m_Requests
                                     : 0;
    Last.m_Tokens = Count.m_Tokens;
    Last.m_Requests = Count.m_Requests;
    // Tokens that were counted before the node's first message are of unknown
    // age.
    if (!wasSeenBefore(Node, NodeStart, Now))
      return;
    Rate &Known = m_Rates[Count.m_ModelRef];
    const double Decay = decay(Known, Now);
    Known.m_PerSecond = Known.m_PerSecond * Decay +
                        static_cast<double>(NewTokens) / AverageSeconds;
    Known.m_Requests =
        Known.m_Requests * Decay + static_cast<double>(NewRequests);
    Known.m_UpdatedAt = Now;
  }

  double perSecond(const gateway::ModelRef &Use, model::TimePoint Now) const {
    const auto Found = m_Rates.find(Use);
    return Found == m_Rates.end()
               ? 0
               : Found->second.m_PerSecond * decay(Found->second, Now);
  }

  /// Requests that perSecond() is estimated from.
  double samples(const gateway::ModelRef &Use, model::TimePoint Now) const {
    const auto Found = m_Rates.find(Use);
    return Found == m_Rates.end()
               ? 0
               : Found->second.m_Requests * decay(Found->second, Now);
  }

  /// A message of \p Node has arrived: what it counts from now on is new.
  void markNodeSeen(const model::NodeId &Node, uint64_t NodeStart,
                    model::TimePoint Now) {
    const auto Known = m_SeenNodes.find(Node);
    if (Known == m_SeenNodes.end() || Known->second.m_NodeStart != NodeStart)
      m_SeenNodes[Node] = {NodeStart, Now};
  }

private:
  struct SeenNode {
    uint64_t m_NodeStart = 0;
    model::TimePoint m_FirstSeen;
  };

  bool wasSeenBefore(const model::NodeId &Node, uint64_t NodeStart,
                     model::TimePoint Now) const {
    const auto Known = m_SeenNodes.find(Node);
    return Known != m_SeenNodes.end() &&
           Known->second.m_NodeStart == NodeStart &&
           Known->second.m_FirstSeen < Now;
  }

  struct Counter {
    uint64_t m_NodeStart = 0;
    uint64_t m_Tokens = 0;
    uint64_t m_Requests = 0;
  };
  struct Rate {
    double m_PerSecond = 0;
    double m_Requests = 0;
    model::TimePoint m_UpdatedAt;
  };

  static double decay(const Rate &Known, model::TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(Now - Known.m_UpdatedAt).count();
    return std::exp(-Seconds / AverageSeconds);
  }

  std::map<model::NodeId, SeenNode> m_SeenNodes;
  std::map<std::pair<model::NodeId, gateway::ModelRef>, Counter> m_Counters;
  std::map<gateway::ModelRef, Rate> m_Rates;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_DEMANDESTIMATOR_H
