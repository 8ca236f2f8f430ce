#ifndef BRONZEPASS_CORE_RESIDENCY_RESIDENCYTYPES_H
#define BRONZEPASS_CORE_RESIDENCY_RESIDENCYTYPES_H

#include "Core/Gateway/PeerNotice.h"
#include "Core/Gateway/PlacementOrder.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzepass::core::residency {

struct ResidencySettings {
  /// Times the weight store's rate that loads may begin at, so that no window
  /// of any length goes beyond what the platform allows.
  double m_LoadRateShare = 0.95;
  /// Between two looks at what demand asks for.
  model::Duration m_PlanPeriod = std::chrono::milliseconds(100);
  /// A copy stays at least this long after its load: some load times.
  model::Duration m_YoungFor = std::chrono::seconds(3);
  /// An engine's report may be some hundred milliseconds old: no sooner than
  /// this after an order.
  model::Duration m_ReportDelay = std::chrono::milliseconds(400);
  model::Duration m_ReportRepeat = std::chrono::milliseconds(700);
  /// Of an engine whose order runs; reports have a price, entries have none.
  model::Duration m_RunningReportPeriod = std::chrono::milliseconds(1800);
  /// Asked for at a time: each takes a connection, and the holder's own
  /// requests are not to wait. At one answer a turn of 20 ms some 400 a second.
  uint32_t m_MostReports = 8;
  /// A new lease holder plans once no engine has been added for this long and
  /// every engine has reported, or after twice this. Above the period at which
  /// engines renew their entries.
  model::Duration m_SettleTime = std::chrono::milliseconds(1500);
  /// Once it plans, it pauses for engines that come only where more than this
  /// part of all come together, as after an outage: single ones come all day.
  double m_PauseShare = 0.1;
  /// An adapter's load takes some milliseconds after it was accepted.
  model::Duration m_AdapterLoadTime = std::chrono::milliseconds(12);
  /// A request for an adapter is dropped after this; its caller was refused.
  model::Duration m_WantLifetime = std::chrono::seconds(1);
  /// An adapter that was asked for less than this ago keeps its place.
  model::Duration m_AdapterInUse = std::chrono::milliseconds(1500);
  /// News of copies is told this long, over lost datagrams.
  model::Duration m_TellCopiesFor = std::chrono::milliseconds(900);

  friend auto operator<=>(const ResidencySettings &,
                          const ResidencySettings &) = default;
};

struct OrderSend {
  uint64_t m_Number = 0;
  gateway::PlacementOrder m_Order;

  friend auto operator<=>(const OrderSend &, const OrderSend &) = default;
};

struct ReportAsk {
  model::EndpointId m_Endpoint;
  model::Address m_Address;

  friend auto operator<=>(const ReportAsk &, const ReportAsk &) = default;
};

/// Tell all nodes.
struct CopiesTold {
  std::vector<gateway::CopyChange> m_News;

  friend auto operator<=>(const CopiesTold &, const CopiesTold &) = default;
};

/// An engine has refused the lease's token as outdated.
struct TokenRefused {
  model::FencingToken m_Token;

  friend auto operator<=>(const TokenRefused &, const TokenRefused &) = default;
};

/// One line for the log.
struct ResidencyNote {
  /// "load", "unload", "answered", "done", "report", "lease".
  std::string m_Action;
  std::string m_Endpoint;
  std::string m_Artifact;
  uint64_t m_Token = 0;
  uint64_t m_Count = 0;
  std::string m_Reason;

  friend auto operator<=>(const ResidencyNote &,
                          const ResidencyNote &) = default;
};

using ResidencyEffect =
    std::variant<OrderSend, ReportAsk, CopiesTold, TokenRefused, ResidencyNote>;
using ResidencyEffectList = std::vector<ResidencyEffect>;

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYTYPES_H
