#ifndef BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H
#define BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H

#include "Core/Gateway/RouteTable.h"
#include "Core/Model/Lease.h"
#include "Core/Residency/AdapterDesk.h"
#include "Core/Residency/DemandBook.h"
#include "Core/Residency/EngineBook.h"
#include "Core/Residency/LoadRate.h"
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
  void demandSeen(const model::NodeId &Node, uint64_t Start,
                  const std::vector<gateway::UsageCounter> &Uses,
                  model::TimePoint Now);
  void copyWanted(const gateway::CopyRequest &Wanted, model::TimePoint Now,
                  ResidencyEffectList &Out);
  void orderAnswered(uint64_t Number, gateway::OrderReply Reply,
                     model::TimePoint Now, ResidencyEffectList &Out);
  /// nullopt: no report came.
  void reported(const model::EndpointId &Endpoint,
                const std::optional<gateway::EngineState> &State,
                model::TimePoint Now, ResidencyEffectList &Out);
  /// Every 20 ms or so.
  void tick(model::TimePoint Now, ResidencyEffectList &Out);

private:
  struct Engine {
    explicit Engine(const gateway::EndpointEntry &Entry) : m_Book(Entry) {}
    EngineBook m_Book;
    bool m_Listed = true;
    std::optional<model::TimePoint> m_ReportAt;
    bool m_ReportAsked = false;
    std::map<std::string, model::TimePoint> m_LoadedAt;
  };
  /// An engine that a report is due of.
  struct DueReport {
    /// Lower goes first.
    uint32_t m_Rank = 0;
    Engine *m_Engine = nullptr;
  };
  struct Announcement {
    gateway::CopyChange m_News;
    model::TimePoint m_From;
    model::TimePoint m_Until;
    bool m_Told = false;
  };

  uint32_t reportRank(const EngineBook &Book) const;
  const gateway::EngineSpec *specOf(const std::string &Service) const;
  std::vector<const EngineBook *> enginesOf(const std::string &Service) const;
  bool isSettled(model::TimePoint Now);
  void serveWants(model::TimePoint Now, ResidencyEffectList &Out);
  void planService(const gateway::ServiceSpec &Service, model::TimePoint Now,
                   ResidencyEffectList &Out);
  void order(Engine &Target, gateway::OrderVerb Verb,
             const gateway::ModelRef &Use, const std::string &Reason,
             model::TimePoint Now, ResidencyEffectList &Out);
  void sendAgain(Engine &Target, model::TimePoint Now,
                 ResidencyEffectList &Out);
  /// A new engine makes the holder wait for those that may come with it.
  void enginesAdded(size_t Added, model::TimePoint Now);
  void askDueReports(model::TimePoint Now, ResidencyEffectList &Out);
  void orderEnded(Engine &Target, const gateway::PlacementOrder &Order,
                  model::TimePoint Now, ResidencyEffectList &Out);
  void announce(const gateway::CopyChange &News, model::TimePoint From);
  void tellAnnouncements(model::TimePoint Now, ResidencyEffectList &Out);
  void note(const char *Action, const gateway::PlacementOrder &Order,
            const std::string &Reason, ResidencyEffectList &Out) const;

  const ResidencySettings m_Settings;
  const model::NodeId m_Self;
  std::shared_ptr<const gateway::RouteTable> m_Table;
  std::optional<model::HeldLease> m_Lease;
  model::TimePoint m_LeaseSince;
  /// When an engine last came into the list.
  model::TimePoint m_EngineAddedAt;
  /// This term's holder has planned.
  bool m_HasSettled = false;
  model::TimePoint m_PlanAt;
  DemandBook m_Demand;
  AdapterDesk m_Adapters;
  std::map<model::EndpointId, Engine> m_Engines;
  std::map<std::string, LoadRate> m_LoadRates;
  std::map<model::EndpointId, std::string> m_Reserved;
  std::map<gateway::ModelRef, std::string> m_WantedService;
  /// Endpoint of each order under way.
  std::map<uint64_t, model::EndpointId> m_Orders;
  uint64_t m_LastOrder = 0;
  std::vector<Announcement> m_Announcements;
  model::TimePoint m_ToldAt;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYCORE_H
