#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Time.h"
#include "Core/Routing/PrefixIndex.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>

namespace bronzepass::core::gateway {

/// What this node knows of one endpoint beyond its entry.
struct EndpointView {
  EndpointEntry m_Entry;
  routing::EndpointTag m_Tag = 0;
  /// Gone from the list; kept while sends to it are under way.
  bool m_Listed = true;
  uint32_t m_InFlight = 0;
  /// Of the other nodes, as they told last.
  uint32_t m_PeersInFlight = 0;
  /// Prompt tokens sent whose answer has not begun: own and of the others.
  uint32_t m_PrefillTokens = 0;
  uint32_t m_PeersPrefillTokens = 0;
  uint32_t m_FailuresInRow = 0;
  model::TimePoint m_EjectedUntil;
  /// Share of its answers that were failures, moving average.
  double m_FailureShare = 0;
  model::TimePoint m_FailureSeenAt;
  /// Time to the first piece of an answer beside the service's mean; 1 is like
  /// the others.
  double m_Slowness = 1;
  model::TimePoint m_SlownessSeenAt;
  /// Copies placed or taken away since the entry was written; believed until
  /// the entry has had time to follow.
  struct CopyBelief {
    bool m_Present = false;
    model::TimePoint m_Until;
  };
  std::map<ModelUse, CopyBelief> m_News;

  uint32_t load() const { return m_InFlight + m_PeersInFlight; }
  uint32_t prefillTokens() const {
    return m_PrefillTokens + m_PeersPrefillTokens;
  }

  bool holds(const ModelUse &Use, model::TimePoint Now) const {
    const std::optional<bool> Base = newsOf({Use.m_Model, ""}, Now);
    const HeldModel *const Held = m_Entry.model(Use.m_Model);
    if (!Base.value_or(Held != nullptr))
      return false;
    if (Use.m_Adapter.empty())
      return true;
    return newsOf(Use, Now).value_or(Held && Held->hasAdapter(Use.m_Adapter));
  }

  /// Slowness fades towards that of the others, so that an endpoint that was
  /// avoided is tried again.
  double slownessAt(model::TimePoint Now, model::Duration HalfLife) const {
    return 1 + (m_Slowness - 1) * fadeSince(m_SlownessSeenAt, Now, HalfLife);
  }

  double failureShareAt(model::TimePoint Now, model::Duration HalfLife) const {
    return m_FailureShare * fadeSince(m_FailureSeenAt, Now, HalfLife);
  }

private:
  static double fadeSince(model::TimePoint Seen, model::TimePoint Now,
                          model::Duration HalfLife) {
    const double Halves = static_cast<double>((Now - Seen).count()) /
                          static_cast<double>(HalfLife.count());
    return std::exp2(-std::max(0.0, Halves));
  }

  std::optional<bool> newsOf(const ModelUse &Use, model::TimePoint Now) const {
    const auto Found = m_News.find(Use);
    if (Found == m_News.end() || Now >= Found->second.m_Until)
      return std::nullopt;
    return Found->second.m_Present;
  }
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H
