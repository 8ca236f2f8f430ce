#ifndef BRONZEPASS_CORE_LEASES_LEASEMANAGER_H
#define BRONZEPASS_CORE_LEASES_LEASEMANAGER_H

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

/// A lease that this node may hold, and its rank among the candidates.
struct LeaseCandidacy {
  model::LeaseName m_Name;
  /// 0 for the preferred holder, 1 for the next candidate, and so on.
  uint32_t m_Rank = 0;

  friend auto operator<=>(const LeaseCandidacy &,
                          const LeaseCandidacy &) = default;
};

/// Acquires, renews and releases this node's leases in the object API. A lease
/// changes holder only by a conditional update of its record, which increases
/// its token.
///
/// A holder acts until its term less a margin has passed on its own clock since
/// it sent the last confirmed renewal. A waiter takes over once the record has
/// not changed for a term on the waiter's clock. Clocks of different nodes are
/// never compared. A holder that resumes after a pause sees from find() and
/// held(), called with the current time, that its lease has expired.
class LeaseManager {
public:
  /// \p Governor and \p Source must outlive this object.
  LeaseManager(const LeaseSettings &Settings, const model::NodeId &Self,
               StoreGovernor &Governor, ports::Random &Source);
  LeaseManager(const LeaseManager &) = delete;
  LeaseManager &operator=(const LeaseManager &) = delete;

  /// Sets the leases that this node is a candidate for; call again when they
  /// change. A lease that is no longer listed is released.
  void setCandidacies(const std::vector<LeaseCandidacy> &Candidacies,
                      model::TimePoint Now, ports::EffectList &Out);

  /// The lease, if this node may act on it at \p Now.
  std::optional<model::HeldLease> find(const model::LeaseName &Name,
                                       model::TimePoint Now) const;
  /// All leases that this node may act on at \p Now, by name.
  std::vector<model::HeldLease> held(model::TimePoint Now) const;

  /// Makes the renewals, acquisitions, releases and reads that are due; returns
  /// the leases gained and lost since the last call.
  std::vector<LeaseNotice> tick(model::TimePoint Now, ports::EffectList &Out);
  /// Handles an answer that the governor routed to StoreClient::Leases.
  std::vector<LeaseNotice> onStoreAnswer(const ports::StoreAnswer &Answer,
                                         model::TimePoint Now,
                                         ports::EffectList &Out);

  /// Sets the store's era, as named by an answer. In a new era all leases are
  /// void, and answers to calls made before are ignored.
  std::vector<LeaseNotice> setStoreEra(model::StoreEra Era,
                                       model::TimePoint Now,
                                       ports::EffectList &Out);

  /// Stops acting on all leases at once and releases them. The caller must have
  /// ended all work that it did under them.
  void stop(model::TimePoint Now, ports::EffectList &Out);
  /// Whether every lease has been released after stop().
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
  std::optional<model::StoreEra> m_Era;
  bool m_Stopping = false;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_LEASEMANAGER_H
