#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/EndpointPace.h"
#include "Core/Gateway/EndpointStatement.h"
#include "Core/Gateway/QuarantineNotice.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Gateway/RequestRateShare.h"
#include "Core/Model/Time.h"
#include "Core/Routing/PrefixIndex.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>

namespace bronzepass::core::gateway {

/// What this node knows about one endpoint: its entry, load and health.
struct EndpointView {
  EndpointEntry m_Entry;
  routing::EndpointTag m_Tag = 0;
  EndpointKey m_Key = 0;
  /// False once its entry is gone. The view is kept for a while: an entry may
  /// come back, and the endpoint has not forgotten what it said.
  bool m_IsRegistered = true;
  model::TimePoint m_RegisteredAt;
  uint32_t m_InFlight = 0;
  /// Requests in flight from the other nodes, by their last notices.
  uint32_t m_PeersInFlight = 0;
  /// Prompt tokens of requests whose answer has not started: this node's and
  /// the other nodes'.
  uint32_t m_PrefillTokens = 0;
  uint32_t m_PeersPrefillTokens = 0;
  /// The last that it said of itself to any node, and when.
  EndpointStatement m_Statement;
  model::TimePoint m_StatedAt;
  /// The last that it said to this node; told to the others for a while.
  std::optional<EndpointStatement> m_OwnStatement;
  model::TimePoint m_OwnStatedAt;
  /// It has said that it is leaving; holds until it starts anew.
  bool m_HasSaidLeaving = false;
  /// It wants no request from this node until then.
  model::TimePoint m_PausedUntil;
  /// While it is brittle: the requests in flight up to which it is taken to
  /// have room, and when that was last found to be too many.
  double m_Room = 0;
  model::TimePoint m_RoomAt;
  /// It has turned a request away for want of room and gets none until then.
  model::TimePoint m_FullUntil;
  /// The same, where it told this node.
  model::TimePoint m_OwnFullUntil;
  /// Set while it names a limit or is brittle.
  std::optional<RequestRateShare> m_RateShare;
  /// Set while it is found out how much the endpoint takes.
  std::optional<EndpointPace> m_Pace;
  /// The first send since something last arrived from it.
  std::optional<model::TimePoint> m_UnansweredSince;
  /// Requests sent before then waited for the end of a silence.
  model::TimePoint m_SilenceEndedAt;
  uint32_t m_ConsecutiveFailures = 0;
  model::TimePoint m_EjectedUntil;
  /// Moving average of the share of its answers that were failures.
  double m_FailureShare = 0;
  model::TimePoint m_FailureShareAt;
  /// The same of the requests that it turned away.
  double m_RejectShare = 0;
  model::TimePoint m_RejectShareAt;
  /// Time to the first chunk of an answer relative to the service's mean; 1 is
  /// the mean.
  double m_Slowness = 1;
  model::TimePoint m_SlownessAt;
  /// When a part of an answer last arrived from it.
  model::TimePoint m_HeardAt;
  /// A model copy that was loaded or unloaded since the entry was written. It
  /// takes precedence over the entry until the entry has had time to catch up.
  struct CopyOverride {
    bool m_Present = false;
    model::TimePoint m_Until;
  };
  std::map<ModelRef, CopyOverride> m_CopyOverrides;

  bool isLeaving() const { return m_Entry.m_Draining || m_HasSaidLeaving; }
  uint32_t load() const { return m_InFlight + m_PeersInFlight; }
  uint32_t prefillTokens() const {
    return m_PrefillTokens + m_PeersPrefillTokens;
  }

  bool holds(const ModelRef &Ref, model::TimePoint Now) const {
    const std::optional<bool> Base = copyOverride({Ref.m_Model, ""}, Now);
    const LoadedModel *const Loaded = m_Entry.model(Ref.m_Model);
    if (!Base.value_or(Loaded != nullptr))
      return false;
    if (Ref.m_Adapter.empty())
      return true;
    return copyOverride(Ref, Now).value_or(Loaded &&
                                           Loaded->hasAdapter(Ref.m_Adapter));
  }

  /// Slowness decays towards 1, so that an endpoint that was avoided is tried
  /// again.
  double slownessAt(model::TimePoint Now, model::Duration HalfLife) const {
    return 1 + (m_Slowness - 1) * decayFactor(m_SlownessAt, Now, HalfLife);
  }

  double rejectShareAt(model::TimePoint Now, model::Duration HalfLife) const {
    return m_RejectShare * decayFactor(m_RejectShareAt, Now, HalfLife);
  }

  double failureShareAt(model::TimePoint Now, model::Duration HalfLife) const {
    return m_FailureShare * decayFactor(m_FailureShareAt, Now, HalfLife);
  }

private:
  static double decayFactor(model::TimePoint Seen, model::TimePoint Now,
                            model::Duration HalfLife) {
    const double Halves = static_cast<double>((Now - Seen).count()) /
                          static_cast<double>(HalfLife.count());
    return std::exp2(-std::max(0.0, Halves));
  }

  std::optional<bool> copyOverride(const ModelRef &Ref,
                                   model::TimePoint Now) const {
    const auto Found = m_CopyOverrides.find(Ref);
    if (Found == m_CopyOverrides.end() || Now >= Found->second.m_Until)
      return std::nullopt;
    return Found->second.m_Present;
  }
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTVIEW_H
