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
  /// The holder stops acting this long before its term ends, and a waiter waits
  /// this much longer than a term, to allow for clocks that run at different
  /// rates.
  model::Duration m_Margin = std::chrono::seconds(1);
  /// Candidates below this rank read the lease; the others make no calls.
  uint32_t m_WatchingRanks = 3;
  /// How long a holder that no longer has rank 0 keeps a lease before it
  /// releases it.
  model::Duration m_HandOverDelay = std::chrono::seconds(30);
  /// How long a lease that nobody has ever held is left, so that candidates
  /// that start together know their ranks.
  model::Duration m_InitialDelay{0};
  model::Duration m_BackoffBase = std::chrono::milliseconds(100);
  model::Duration m_BackoffMax = std::chrono::seconds(2);
};

enum class LeaseChange { Gained, Lost };

/// Tells that this node may act on a lease from now on, or no longer.
struct LeaseNotice {
  LeaseChange m_Change = LeaseChange::Lost;
  model::HeldLease m_Lease;
  std::string m_Reason;

  friend auto operator<=>(const LeaseNotice &, const LeaseNotice &) = default;
};

/// State of one lease at one node. Makes at most one call to the object API at
/// a time.
class LeaseTracker {
public:
  LeaseTracker(const model::LeaseName &Name, const LeaseSettings &Settings,
               const model::NodeId &Self, ports::Random &Source);

  const model::LeaseName &name() const { return m_Name; }
  void setRank(uint32_t Rank, model::TimePoint Now);
  /// Stops acting at once, and then releases the lease.
  void release();
  /// Sets the store's era, as named by an answer. A change of era means that
  /// the store was restored from a backup: the lease is void, and the answer of
  /// a call in flight must not be passed to onAnswer() any more.
  void setStoreEra(model::StoreEra Era, model::TimePoint Now);

  /// The lease, if this node may act on it at \p Now.
  std::optional<model::HeldLease> heldAt(model::TimePoint Now) const;
  /// Stops acting if the term has ended; returns the call that is due, if any.
  std::optional<ports::StoreCall> advance(model::TimePoint Now);
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  /// Changes since the last call.
  std::vector<LeaseNotice> takeNotices();
  /// Whether this node is no longer a candidate and has released the lease or
  /// never held it.
  bool isFinished() const;

private:
  enum class Action { None, Read, Acquire, Renew, Release };

  bool isHolder() const { return m_Record.m_Holder == m_Self; }
  /// The record, or its absence, may date from before a restore of the store.
  /// Another node may act on a lease that the restore has lost.
  bool isFromBackup() const;
  bool isTakeOverDue(model::TimePoint Now) const;
  model::FencingToken nextToken() const;
  void stopActing(const std::string &Reason);
  Action nextAction(model::TimePoint Now) const;
  Action actionAsHolder(model::TimePoint Now) const;
  Action actionAsWaiter(model::TimePoint Now) const;
  model::Duration readPeriod() const;
  model::Duration renewPeriod() const;

  bool mayWatch() const {
    return m_IsCandidate && m_Rank < m_Settings.m_WatchingRanks;
  }
  bool isHandOverDue(model::TimePoint Now) const;
  ports::StoreCall readCall() const;
  ports::StoreCall writeCall(Action Why, model::TimePoint Now);
  void onRead(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void onWritten(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void observe(const model::LeaseRecord &Record, model::ObjectVersion Version,
               model::TimePoint Now);
  /// Called when the last write is known to have taken effect.
  void confirm(model::TimePoint Now);
  void backOff(model::TimePoint Now);

  model::LeaseName m_Name;
  LeaseSettings m_Settings;
  model::NodeId m_Self;
  ports::Random &m_Random;
  ports::ObjectKey m_Key;
  uint32_t m_Rank = 0;
  model::TimePoint m_RankSince;
  bool m_IsCandidate = true;

  /// Whether m_Record and m_Version are current; the version is zero if the
  /// record does not exist.
  bool m_IsRecordKnown = false;
  bool m_HasBeenRead = false;
  model::LeaseRecord m_Record;
  model::ObjectVersion m_Version;
  /// When the current state of the record was first read.
  model::TimePoint m_UnchangedSince;
  model::TimePoint m_NextReadAt;

  Action m_CallInFlight = Action::None;
  /// The last write, until it is confirmed or known to have failed.
  std::optional<model::LeaseRecord> m_PendingWrite;
  Action m_PendingWriteAction = Action::None;
  model::TimePoint m_WriteSentAt;
  /// Makes every write of this node distinct, so that reading the record back
  /// identifies which write took effect.
  uint64_t m_LastRenewals = 0;
  model::FencingToken m_HighestToken;
  std::optional<model::StoreEra> m_Era;
  /// This node acted on the lease when it learned of the last restore, so that
  /// no other node can have acted on it then.
  bool m_ActedAtRestore = false;
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
