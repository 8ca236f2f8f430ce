#ifndef BRONZEPASS_CORE_RESIDENCY_DEMANDBOOK_H
#define BRONZEPASS_CORE_RESIDENCY_DEMANDBOOK_H

#include "Core/Gateway/PeerNotice.h"
#include "Core/Model/Time.h"

#include <chrono>
#include <cmath>
#include <map>
#include <utility>

namespace bronzepass::core::residency {

/// What callers ask of each model, in tokens a second, summed over nodes and
/// averaged over the last seconds.
class DemandBook {
public:
  /// Demand moves between models within seconds: long enough to pass over the
  /// gaps between single requests, short enough to follow.
  static constexpr double AverageSeconds = 2;

  void add(const model::NodeId &Node, uint64_t Start,
           const gateway::UsageCounter &Count, model::TimePoint Now) {
    Counter &Last = m_Counters[{Node, Count.m_ModelRef}];
    if (Last.m_Start != Start)
      Last = {Start, 0};
    const uint64_t New =
        Count.m_Tokens >= Last.m_Tokens ? Count.m_Tokens - Last.m_Tokens : 0;
    Last.m_Tokens = Count.m_Tokens;
    // What a node had counted before it was first heard came at some time in
    // the past.
    if (!isHeard(Node, Start, Now))
      return;
    Rate &Known = m_Rates[Count.m_ModelRef];
    Known.m_PerSecond =
        decayed(Known, Now) + static_cast<double>(New) / AverageSeconds;
    Known.m_At = Now;
  }

  double perSecond(const gateway::ModelRef &Use, model::TimePoint Now) const {
    const auto Found = m_Rates.find(Use);
    return Found == m_Rates.end() ? 0 : decayed(Found->second, Now);
  }

  /// Something of \p Node has come in: what it counts from now on is new.
  void heard(const model::NodeId &Node, uint64_t Start, model::TimePoint Now) {
    const auto Known = m_Heard.find(Node);
    if (Known == m_Heard.end() || Known->second.m_Start != Start)
      m_Heard[Node] = {Start, Now};
  }

private:
  struct Heard {
    uint64_t m_Start = 0;
    model::TimePoint m_Since;
  };

  bool isHeard(const model::NodeId &Node, uint64_t Start,
               model::TimePoint Now) const {
    const auto Known = m_Heard.find(Node);
    return Known != m_Heard.end() && Known->second.m_Start == Start &&
           Known->second.m_Since < Now;
  }

  struct Counter {
    uint64_t m_Start = 0;
    uint64_t m_Tokens = 0;
  };
  struct Rate {
    double m_PerSecond = 0;
    model::TimePoint m_At;
  };

  static double decayed(const Rate &Known, model::TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(Now - Known.m_At).count();
    return Known.m_PerSecond * std::exp(-Seconds / AverageSeconds);
  }

  std::map<model::NodeId, Heard> m_Heard;
  std::map<std::pair<model::NodeId, gateway::ModelRef>, Counter> m_Counters;
  std::map<gateway::ModelRef, Rate> m_Rates;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_DEMANDBOOK_H
