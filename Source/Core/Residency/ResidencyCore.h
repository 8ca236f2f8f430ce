#ifndef BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H
#define BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H

#include "Core/Gateway/RouteTable.h"
#include "Core/Model/Lease.h"
#include "Core/Residency/AdapterScheduler.h"
#include "Core/Residency/DemandEstimator.h"
#include "Core/Residency/EngineRecord.h"
#include "Core/Residency/LoadRateLimiter.h"
#include "Core/Residency/ResidencyPlan.h"
#include "Core/Residency/ResidencyTypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::residency {

/// Decides which engines hold which models and adapters, on the node that holds
/// the placement lease. On the other nodes it only tracks demand. A
/// deterministic state machine; each input carries the time.
///
/// A new lease holder reads the state of each engine from the engine itself.
/// Nothing of it is kept in the store: engines know best what they hold, and
/// their order counts reject late orders.
class ResidencyCore {
public:
  ResidencyCore(const ResidencySettings &Settings, model::NodeId Self);

  void setTable(std::shared_ptr<const gateway::RouteTable> Table);
  void setEndpoints(const std::vector<gateway::EndpointEntry> &Entries,
                    model::TimePoint Now, ResidencyEffectList &Out);
  /// Takes the lease that this node holds, or nullopt while it holds none.
  void setLease(const std::optional<model::HeldLease> &Lease,
                model::TimePoint Now, ResidencyEffectList &Out);
  void onDemandReport(const model::NodeId &Node, uint64_t NodeStart,
                      const std::vector<gateway::UsageCounter> &Uses,
                      model::TimePoint Now);
  void onCopyRequest(const gateway::CopyRequest &Wanted, model::TimePoint Now,
                     ResidencyEffectList &Out);
  void onStatementChange(const gateway::StatementChange &Change);
  /// The engine wants nothing from this node for a while.
  void onPauseBegun(const gateway::PauseBegun &Pause, model::TimePoint Now);
  void onOrderReply(uint64_t Number, gateway::OrderReply Reply,
                    model::TimePoint Now, ResidencyEffectList &Out);
  /// \p State is nullopt where no report came.
  void onReport(const model::EndpointId &Endpoint,
                const std::optional<gateway::EngineState> &State,
                model::TimePoint Now, ResidencyEffectList &Out);
  /// Called about every 20 ms.
  void tick(model::TimePoint Now, ResidencyEffectList &Out);

private:
  struct Engine {
    explicit Engine(const gateway::EndpointEntry &Entry) : m_Record(Entry) {}
    EngineRecord m_Record;
    /// It says in its answers to callers' requests that it is leaving.
    bool m_HasSaidLeaving = false;
    /// Contained in the latest endpoint list.
    bool m_Listed = true;
    std::optional<model::TimePoint> m_NextReportAt;
    bool m_ReportOpen = false;
    /// It refused the connection of an order shortly before.
    model::TimePoint m_UnreachableUntil;
    /// It gets neither orders nor report requests until then.
    model::TimePoint m_PausedUntil;
    /// By model.
    std::map<std::string, model::TimePoint> m_LoadedAt;
    /// The adapter that room is made for, by the one that is unloaded.
    std::map<gateway::ModelRef, gateway::ModelRef> m_RoomFor;
  };
  /// An engine whose report is due.
  struct DueReport {
    /// Lower ranks are asked first.
    uint32_t m_Rank = 0;
    Engine *m_Engine = nullptr;
  };
  /// A change of a copy that nodes are told about from m_StartsAt to m_EndsAt.
  struct Announcement {
    gateway::CopyChange m_Change;
    model::TimePoint m_StartsAt;
    model::TimePoint m_EndsAt;
    bool m_Sent = false;
  };

  uint32_t reportRank(const EngineRecord &Record) const;
  const gateway::EngineSpec *specOf(const std::string &Service) const;
  std::vector<const EngineRecord *> enginesOf(const std::string &Service,
                                              model::TimePoint Now) const;
  /// Whether enough engines are known to plan models.
  bool isSettled(model::TimePoint Now);
  void serveAdapterRequests(model::TimePoint Now, ResidencyEffectList &Out);
  /// An engine drops another adapter to make room for this one.
  bool isRoomBeingMade(const std::string &Service,
                       const gateway::ModelRef &Adapter) const;
  void planService(const gateway::ServiceSpec &Service, model::TimePoint Now,
                   ResidencyEffectList &Out);
  void sendOrder(Engine &Target, gateway::OrderVerb Verb,
                 const gateway::ModelRef &Use, const std::string &Reason,
                 model::TimePoint Now, ResidencyEffectList &Out);
  void resendOrder(Engine &Target, model::TimePoint Now,
                   ResidencyEffectList &Out);
  /// Pauses planning, since more engines may join after these.
  void onEnginesAdded(size_t Added, model::TimePoint Now);
  void requestDueReports(model::TimePoint Now, ResidencyEffectList &Out);
  void onOrderDone(Engine &Target, const gateway::PlacementOrder &Order,
                   model::TimePoint Now, ResidencyEffectList &Out);
  void announce(const gateway::CopyChange &Change, model::TimePoint From);
  void sendAnnouncements(model::TimePoint Now, ResidencyEffectList &Out);
  void logOrder(const char *Action, const gateway::PlacementOrder &Order,
                const std::string &Reason, ResidencyEffectList &Out) const;

  const ResidencySettings m_Settings;
  const model::NodeId m_Self;
  std::shared_ptr<const gateway::RouteTable> m_Table;
  std::optional<model::HeldLease> m_Lease;
  model::TimePoint m_TermStart;
  /// When a new engine last paused planning.
  model::TimePoint m_EngineAddedAt;
  /// Planning has been allowed in this term of the lease.
  bool m_IsSettled = false;
  model::TimePoint m_NextPlanAt;
  DemandEstimator m_Demand;
  AdapterScheduler m_Adapters;
  std::map<model::EndpointId, Engine> m_Engines;
  /// By service.
  std::map<std::string, LoadRateLimiter> m_LoadLimiters;
  /// The model that an engine's room is kept for after an unload.
  std::map<model::EndpointId, std::string> m_ReservedFor;
  /// The service of each requested adapter.
  std::map<gateway::ModelRef, std::string> m_AdapterServices;
  /// The endpoint of each unanswered order, by order number.
  std::map<uint64_t, model::EndpointId> m_OrderEndpoints;
  uint64_t m_LastOrderNumber = 0;
  std::vector<Announcement> m_Announcements;
  model::TimePoint m_LastRepeatAt;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H
