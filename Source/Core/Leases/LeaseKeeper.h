#ifndef BRONZEPASS_CORE_LEASES_LEASEKEEPER_H
#define BRONZEPASS_CORE_LEASES_LEASEKEEPER_H

#include "Core/Leases/LeaseTracker.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Model/Id.h"
#include "Core/Model/Lease.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Ports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::leases {

/// A lease that this node may hold, and how soon it is to try for it.
struct LeaseDuty {
  model::LeaseName m_Name;
  /// 0 for the node that is to hold it, 1 for the next in line, and so on.
  uint32_t m_Rank = 0;

  friend auto operator<=>(const LeaseDuty &, const LeaseDuty &) = default;
};

/// Holds this node's leases in the object API. A lease changes hands only by
/// conditional update of its record; its token rises with each change.
///
/// A holder acts until its term, counted from the sending of the last renewal
/// that was confirmed, is out on its own clock, less a margin. A waiter takes
/// over once the record has stood still for a term on the waiter's clock. No
/// two clocks are compared. A holder that was paused finds its lease out by
/// find() and held() at the time at which it wakes.
class LeaseKeeper {
public:
  /// \p Governor and \p Source outlive this.
  LeaseKeeper(const LeaseSettings &Settings, const model::NodeId &Self,
              StoreGovernor &Governor, ports::Random &Source);
  LeaseKeeper(const LeaseKeeper &) = delete;
  LeaseKeeper &operator=(const LeaseKeeper &) = delete;

  /// The leases that this node is to try for; call again when they change. One
  /// that is no longer listed is released.
  void setDuties(const std::vector<LeaseDuty> &Duties, model::TimePoint Now,
                 ports::EffectList &Out);

  /// The lease, if this node may act on it at \p Now.
  std::optional<model::HeldLease> find(const model::LeaseName &Name,
                                       model::TimePoint Now) const;
  /// All leases that this node may act on at \p Now, by name.
  std::vector<model::HeldLease> held(model::TimePoint Now) const;

  /// Renews, acquires, releases and looks at what is due; gives the leases
  /// gained and lost since the last call.
  std::vector<LeaseNotice> tick(model::TimePoint Now, ports::EffectList &Out);
  /// An answer that the governor routed to StoreClient::Leases.
  std::vector<LeaseNotice> onStoreAnswer(const ports::StoreAnswer &Answer,
                                         model::TimePoint Now,
                                         ports::EffectList &Out);

  /// Stops acting on all leases at once and gives them back. The caller has
  /// ended what it did under them.
  void stop(model::TimePoint Now, ports::EffectList &Out);
  /// Whether every lease has been given back, after stop().
  bool isStopped() const { return m_Stopping && m_Trackers.empty(); }

private:
  using TrackerMap = std::map<model::LeaseName, LeaseTracker>;

  void advance(LeaseTracker &Tracker, model::TimePoint Now,
               ports::EffectList &Out);
  void collect(LeaseTracker &Tracker, std::vector<LeaseNotice> &Notices,
               ports::EffectList &Out);

  LeaseSettings m_Settings;
  model::NodeId m_Self;
  StoreGovernor &m_Governor;
  ports::Random &m_Random;
  TrackerMap m_Trackers;
  std::map<model::CallId, model::LeaseName> m_Calls;
  bool m_Stopping = false;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_LEASEKEEPER_H
