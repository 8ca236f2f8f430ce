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

/// Decides which models and adapters lie on which engines, on the node that
/// holds the placement lease; on the others it only follows demand. A
/// deterministic state machine; each input carries the time.
///
/// The book of an engine is read from the engine itself at each change of the
/// holder. Nothing of it is kept in the store: engines know best what they
/// hold, and their counts refuse what is late.
class ResidencyCore {
public:
  ResidencyCore(const ResidencySettings &Settings, model::NodeId Self);

  void setTable(std::shared_ptr<const gateway::RouteTable> Table);
  void setEndpoints(const std::vector<gateway::EndpointEntry> &Entries,
                    model::TimePoint Now, ResidencyEffectList &Out);
  /// The lease is held until \p Lease's time, or (nullopt) is not.
  void setLease(const std::optional<model::HeldLease> &Lease,
                model::TimePoint Now, ResidencyEffectList &Out);
  void onDemandReport(const model::NodeId &Node, uint64_t NodeStart,
                      const std::vector<gateway::UseCount> &Uses,
                      model::TimePoint Now);
  void onCopyRequest(const gateway::CopyWanted &Wanted, model::TimePoint Now,
                     ResidencyEffectList &Out);
  void onOrderReply(uint64_t Number, gateway::OrderReply Reply,
                    model::TimePoint Now, ResidencyEffectList &Out);
  /// nullopt: no report came.
  void onReport(const model::EndpointId &Endpoint,
                const std::optional<gateway::EngineState> &State,
                model::TimePoint Now, ResidencyEffectList &Out);
  /// Every 20 ms or so.
  void tick(model::TimePoint Now, ResidencyEffectList &Out);

private:
  struct Engine {
    explicit Engine(const gateway::EndpointEntry &Entry) : m_Record(Entry) {}
    EngineRecord m_Record;
    bool m_Listed = true;
    std::optional<model::TimePoint> m_NextReportAt;
    bool m_ReportOpen = false;
    std::map<std::string, model::TimePoint> m_LoadedAt;
  };
  /// An engine that a report is due of.
  struct DueReport {
    /// Lower goes first.
    uint32_t m_Rank = 0;
    Engine *m_Engine = nullptr;
  };
  struct Announcement {
    gateway::CopyNews m_Change;
    model::TimePoint m_StartsAt;
    model::TimePoint m_EndsAt;
    bool m_Sent = false;
  };

  uint32_t reportRank(const EngineRecord &Record) const;
  const gateway::EngineSpec *specOf(const std::string &Service) const;
  std::vector<const EngineRecord *> enginesOf(const std::string &Service) const;
  bool isSettled(model::TimePoint Now);
  void serveAdapterRequests(model::TimePoint Now, ResidencyEffectList &Out);
  void planService(const gateway::ServiceSpec &Service, model::TimePoint Now,
                   ResidencyEffectList &Out);
  void sendOrder(Engine &Target, gateway::OrderVerb Verb,
                 const gateway::ModelUse &Use, const std::string &Reason,
                 model::TimePoint Now, ResidencyEffectList &Out);
  void resendOrder(Engine &Target, model::TimePoint Now,
                   ResidencyEffectList &Out);
  /// A new engine makes the holder wait for those that may come with it.
  void onEnginesAdded(size_t Added, model::TimePoint Now);
  void requestDueReports(model::TimePoint Now, ResidencyEffectList &Out);
  void onOrderDone(Engine &Target, const gateway::PlacementOrder &Order,
                   model::TimePoint Now, ResidencyEffectList &Out);
  void announce(const gateway::CopyNews &Change, model::TimePoint From);
  void sendAnnouncements(model::TimePoint Now, ResidencyEffectList &Out);
  void logOrder(const char *Action, const gateway::PlacementOrder &Order,
                const std::string &Reason, ResidencyEffectList &Out) const;

  const ResidencySettings m_Settings;
  const model::NodeId m_Self;
  std::shared_ptr<const gateway::RouteTable> m_Table;
  std::optional<model::HeldLease> m_Lease;
  model::TimePoint m_TermStart;
  /// When an engine last came into the list.
  model::TimePoint m_EngineAddedAt;
  /// This term's holder has planned.
  bool m_IsSettled = false;
  model::TimePoint m_NextPlanAt;
  DemandEstimator m_Demand;
  AdapterScheduler m_Adapters;
  std::map<model::EndpointId, Engine> m_Engines;
  std::map<std::string, LoadRateLimiter> m_LoadLimiters;
  std::map<model::EndpointId, std::string> m_ReservedFor;
  std::map<gateway::ModelUse, std::string> m_AdapterServices;
  /// Endpoint of each order under way.
  std::map<uint64_t, model::EndpointId> m_OrderEndpoints;
  uint64_t m_LastOrderNumber = 0;
  std::vector<Announcement> m_Announcements;
  model::TimePoint m_LastRepeatAt;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H
