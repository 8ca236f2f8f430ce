#ifndef BRONZEPASS_CORE_LEASES_LEASETRACKER_H
#define BRONZEPASS_CORE_LEASES_LEASETRACKER_H

#include "Core/Model/Id.h"
#include "Core/Model/Lease.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::leases {

struct LeaseSettings {
  model::Duration m_Term = std::chrono::seconds(10);
  /// The holder stops acting this long before its term is out, and a waiter
  /// waits this much longer than a term: for clocks that run unevenly.
  model::Duration m_Margin = std::chrono::seconds(1);
  /// Ranks that look at a lease; the others cost no calls.
  uint32_t m_WatchingRanks = 3;
  /// How long a holder that is no longer first keeps a lease before it gives
  /// it back.
  model::Duration m_HandOverAfter = std::chrono::seconds(30);
  model::Duration m_BackoffBase = std::chrono::milliseconds(100);
  model::Duration m_BackoffMax = std::chrono::seconds(2);
};

enum class LeaseChange { Gained, Lost };

/// A lease that this node may act on from now on, or no longer.
struct LeaseNotice {
  LeaseChange m_Change = LeaseChange::Lost;
  model::HeldLease m_Lease;
  std::string m_Reason;

  friend auto operator<=>(const LeaseNotice &, const LeaseNotice &) = default;
};

/// One lease as one node sees it: at most one call to the object API at a time.
class LeaseTracker {
public:
  LeaseTracker(const model::LeaseName &Name, const LeaseSettings &Settings,
               const model::NodeId &Self, ports::Random &Source);

  const model::LeaseName &name() const { return m_Name; }
  void setRank(uint32_t Rank, model::TimePoint Now);
  /// Stops acting now, and gives the lease back.
  void giveBack();

  /// Set while this node may act at \p Now.
  std::optional<model::HeldLease> heldAt(model::TimePoint Now) const;
  /// Notes by the clock whether the lease is out; gives the call that is due.
  std::optional<ports::StoreCall> advance(model::TimePoint Now);
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  /// What has changed since the last call.
  std::vector<LeaseNotice> takeNotices();
  /// Whether the lease, no longer wanted, has been given back or was not held.
  bool isFinished() const;

private:
  enum class Action { None, Read, Take, Renew, Release };

  bool isOurs() const { return m_Record.m_Holder == m_Self; }
  void stopActing(const std::string &Reason);
  Action nextAction(model::TimePoint Now) const;
  Action actionOnOwn(model::TimePoint Now) const;
  Action actionOnOthers(model::TimePoint Now) const;
  model::Duration lookPeriod() const;
  model::Duration renewPeriod() const;

  bool mayWatch() const {
    return m_Wanted && m_Rank < m_Settings.m_WatchingRanks;
  }
  bool isHandOverDue(model::TimePoint Now) const;
  ports::StoreCall readCall() const;
  ports::StoreCall writeCall(Action Why, model::TimePoint Now);
  void onRead(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void onWritten(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void observe(const model::LeaseRecord &Record, model::ObjectVersion Version,
               model::TimePoint Now);
  /// The write that was sent last is known to have taken effect.
  void confirm(model::TimePoint Now);
  void backOff(model::TimePoint Now);

  model::LeaseName m_Name;
  LeaseSettings m_Settings;
  model::NodeId m_Self;
  ports::Random &m_Random;
  ports::ObjectKey m_Key;
  uint32_t m_Rank = 0;
  model::TimePoint m_RankSince;
  bool m_Wanted = true;

  /// Whether m_Record and m_Version (zero: absent) are known.
  bool m_Known = false;
  bool m_Seen = false;
  model::LeaseRecord m_Record;
  model::ObjectVersion m_Version;
  /// When the record was first seen as it is.
  model::TimePoint m_StillSince;
  model::TimePoint m_LookAt;

  Action m_Under = Action::None;
  /// The last write sent, until it is confirmed or known to have failed.
  std::optional<model::LeaseRecord> m_Written;
  Action m_WrittenFor = Action::None;
  model::TimePoint m_SentAt;
  /// No two writes of this node are alike, lest one be taken for the other.
  uint64_t m_LastRenewals = 0;
  model::FencingToken m_HighestToken;
  model::TimePoint m_RetryAt;
  uint32_t m_Failures = 0;

  bool m_Acting = false;
  model::FencingToken m_ActingToken;
  model::TimePoint m_ValidUntil;
  model::TimePoint m_RenewAt;
  std::vector<LeaseNotice> m_Notices;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_LEASETRACKER_H
