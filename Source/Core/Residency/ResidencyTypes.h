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
  /// Share of the weight store's rate at which loads may start. The margin
  /// keeps time windows of every length within what the platform allows.
  double m_LoadRateShare = 0.95;
  model::Duration m_PlanPeriod = std::chrono::milliseconds(100);
  /// A copy is evicted no sooner than this after its load, a few load times,
  /// except for a model without any copy.
  model::Duration m_MinResidentTime = std::chrono::seconds(3);
  /// An engine that refused the connection of an order gets no other order for
  /// this long: it is gone, or back with nothing of what it held.
  model::Duration m_UnreachableTime = std::chrono::seconds(1);
  /// Between an order and the first report request after it: a report may be
  /// some hundred milliseconds old.
  model::Duration m_ReportDelay = std::chrono::milliseconds(400);
  /// Before the next report request, where a report is missing or leaves the
  /// engine's state open.
  model::Duration m_ReportRetryDelay = std::chrono::milliseconds(700);
  /// Between report requests to an engine that carries out an order. Reports
  /// have a cost; the engine's entry also shows the end of the order and has
  /// none.
  model::Duration m_RunningReportPeriod = std::chrono::milliseconds(1800);
  /// Between report requests to an engine that drops adapters once the requests
  /// that use them have ended, which neither its answers nor its entry show.
  model::Duration m_DroppingReportPeriod = std::chrono::milliseconds(1000);
  /// Report requests under way at a time. Each takes a connection, and the
  /// lease holder's own requests must not wait for one. With answers within one
  /// tick of 20 ms this gives some 400 reports a second.
  uint32_t m_MaxOpenReports = 8;
  /// A new lease holder starts to plan when no engine has been added for this
  /// long and every engine has reported, or after twice this time. Longer than
  /// the period at which engines renew their entries.
  model::Duration m_SettleTime = std::chrono::milliseconds(1500);
  /// Once settled, the lease holder pauses planning for new engines only if
  /// more than this share of all engines is added at once, as after an outage.
  /// Single engines are added all day.
  double m_MassJoinShare = 0.1;
  /// From the acceptance of an adapter's load until it can be used.
  model::Duration m_AdapterLoadTime = std::chrono::milliseconds(12);
  /// A request for an adapter is dropped after this: its caller has been
  /// refused by then.
  model::Duration m_AdapterRequestLifetime = std::chrono::seconds(1);
  /// An adapter that was used less than this ago is not evicted.
  model::Duration m_AdapterMinIdle = std::chrono::milliseconds(1500);
  /// A change of a copy is announced again and again for this long, since
  /// datagrams get lost.
  model::Duration m_AnnounceTime = std::chrono::milliseconds(900);

  friend auto operator<=>(const ResidencySettings &,
                          const ResidencySettings &) = default;
};

/// Send an order to its engine; onOrderReply() takes the answer.
struct SendOrder {
  uint64_t m_Number = 0;
  gateway::PlacementOrder m_Order;

  friend auto operator<=>(const SendOrder &, const SendOrder &) = default;
};

/// Ask an engine for its state; onReport() takes the answer.
struct RequestReport {
  model::EndpointId m_Endpoint;
  model::Address m_Address;

  friend auto operator<=>(const RequestReport &,
                          const RequestReport &) = default;
};

/// Tell all nodes about copies that were loaded or are about to be unloaded.
struct AnnounceCopies {
  std::vector<gateway::CopyChange> m_Changes;

  friend auto operator<=>(const AnnounceCopies &,
                          const AnnounceCopies &) = default;
};

/// An engine has refused the lease's token as outdated.
struct TokenRefused {
  model::FencingToken m_Token;

  friend auto operator<=>(const TokenRefused &, const TokenRefused &) = default;
};

/// One line for the log.
struct ResidencyLogEntry {
  /// "load", "unload", "again", "answered", "done", "report", "lease".
  std::string m_Action;
  std::string m_Endpoint;
  std::string m_Artifact;
  uint64_t m_Token = 0;
  /// The order count that an order expects or that an engine reports.
  uint64_t m_Count = 0;
  std::string m_Reason;

  friend auto operator<=>(const ResidencyLogEntry &,
                          const ResidencyLogEntry &) = default;
};

using ResidencyEffect = std::variant<SendOrder, RequestReport, AnnounceCopies,
                                     TokenRefused, ResidencyLogEntry>;
using ResidencyEffectList = std::vector<ResidencyEffect>;

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYTYPES_H
