#ifndef BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H
#define BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H

#include "Core/Membership/Backoff.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Ports.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// A list or watch call to the store that the feed asks for.
struct FeedCall {
  enum class Verb { List, Watch };

  Verb m_Verb = Verb::List;
  /// List: start after this name.
  std::string m_After;
  /// List: data some seconds old is acceptable, which costs the store less.
  bool m_MayBeStale = false;
  /// Watch: report changes newer than this revision.
  uint64_t m_Revision = 0;
  /// Watch: how long the store may hold the call open without a change.
  model::Duration m_Wait{0};
  /// Time after which the answer counts as lost.
  model::Duration m_Timeout{0};

  friend auto operator<=>(const FeedCall &, const FeedCall &) = default;
};

/// An object as the store returned it; its content is not parsed here.
struct FeedObject {
  std::string m_Name;
  uint64_t m_Revision = 0;
  bool m_Deleted = false;
  std::string m_Content;

  friend auto operator<=>(const FeedObject &, const FeedObject &) = default;
};

enum class FeedStatus {
  Ok,
  /// The store has dropped the history from that revision on.
  HistoryGone,
  /// The call was refused, lost, or its answer could not be parsed.
  Failed,
};

struct FeedAnswer {
  FeedStatus m_Status = FeedStatus::Failed;
  std::vector<FeedObject> m_Objects;
  /// List: more objects follow after the last name.
  bool m_HasMore = false;
  /// The revision of the store that the answer reflects.
  uint64_t m_Revision = 0;
  std::string m_Reason;
  /// The places in the answer of objects of which not even the name could be
  /// read; the others hold.
  std::vector<std::string> m_Unreadable;

  friend auto operator<=>(const FeedAnswer &, const FeedAnswer &) = default;
};

/// An object that was created, changed or deleted.
struct FeedChange {
  std::string m_Name;
  /// nullopt: the object was deleted.
  std::optional<std::string> m_Content;

  friend auto operator<=>(const FeedChange &, const FeedChange &) = default;
};

struct FeedSettings {
  /// How long one watch call stays open. Short, so that a dead connection is
  /// detected when the call times out, and below the time in which a change has
  /// to be known.
  model::Duration m_WatchTimeout = std::chrono::milliseconds(2400);
  /// Time for the answer: for a list, or beyond m_WatchTimeout for a watch.
  model::Duration m_AnswerTimeout = std::chrono::milliseconds(600);
  model::Duration m_BaseBackoff = std::chrono::milliseconds(100);
  /// Short enough that the store's recovery is noticed while lapsed entries are
  /// still retained.
  model::Duration m_MaxBackoff = std::chrono::milliseconds(700);
  /// Delay of the next watch after a change, so that one call fetches several
  /// changes.
  model::Duration m_BatchDelay = std::chrono::milliseconds(50);
  /// A watch may hear nothing for some time and yet name a later revision: it
  /// is watched from the one that was named so long ago.
  model::Duration m_RevisionDelay = std::chrono::seconds(2);
  /// If set: lists again after this period instead of watching.
  std::optional<model::Duration> m_ListPeriod;
  /// With m_ListPeriod: the second list comes after this time instead, and is
  /// up to date; others that start together write their objects meanwhile.
  std::optional<model::Duration> m_SecondListDelay;

  friend auto operator<=>(const FeedSettings &, const FeedSettings &) = default;
};

/// Tracks all objects of one kind in the store: lists them, then watches for
/// changes. Never reports an older revision of an object after a newer one,
/// even if a list is stale. Has one call in flight at a time.
///
/// After a restore of the store, earlier revisions are not comparable: the
/// feed lists again and reports what differs in content. The receiver decides
/// whether to accept content that is older than what it knows.
class ObjectFeed {
public:
  /// \p Random must outlive the feed.
  ObjectFeed(const FeedSettings &Settings, ports::Random &Random);

  /// The call to make now, if one is due.
  std::optional<FeedCall> nextCall(model::TimePoint Now);
  /// Processes the answer to the last call from nextCall().
  std::vector<FeedChange> handleAnswer(const FeedAnswer &Answer,
                                       model::TimePoint Now);

  /// Processes the answer to a watch from revision() that was made beside the
  /// calls from nextCall().
  std::vector<FeedChange> handleConfirmation(const FeedAnswer &Answer);

  /// The call from nextCall() brought no answer, and another way will be tried
  /// at once: does not count as a failure.
  void abandonCall();

  /// Another call has shown that the store answers again: ends the backoff.
  void onStoreRecovered(model::TimePoint Now);

  /// The store has been restored from a backup. Discards the answer of a call
  /// in flight. The next list is made within \p MaxDelay, at a random time.
  void onStoreRestored(model::TimePoint Now, model::Duration MaxDelay);

  /// The revision of an object in the store; nullopt if it is not known, or
  /// was not seen since the last restore.
  std::optional<uint64_t> revisionOf(const std::string &Name) const;

  /// At least one list has been completed.
  bool isComplete() const { return m_ListedOnce; }
  /// The objects have been listed since the last restore.
  bool isCurrent() const { return m_ListedOnce && !m_RestorePending; }
  /// The last call failed.
  bool isFailing() const { return m_Failing; }
  /// The store's revision up to which all changes are certainly known.
  uint64_t revision() const { return m_Revision; }
  /// The revision from which on all deletions are known, also of objects that
  /// were created after it.
  uint64_t completeFrom() const { return m_CompleteFrom; }
  /// Takes effect with the next failure.
  void setMaxBackoff(model::Duration Max) { m_Backoff.setCap(Max); }
  /// Takes effect with the next call. \p AnswerTimeout is that of watches.
  void setWatchTimes(model::Duration WatchTimeout,
                     model::Duration AnswerTimeout,
                     model::Duration BatchDelay) {
    m_Settings.m_WatchTimeout = WatchTimeout;
    m_WatchAnswerTimeout = AnswerTimeout;
    m_Settings.m_BatchDelay = BatchDelay;
  }

private:
  /// The revision that the answer to a watch named.
  struct ReportedRevision {
    model::TimePoint m_At;
    uint64_t m_Revision = 0;
  };

  void apply(const FeedObject &Object, std::vector<FeedChange> &Changes);
  /// Goes on from an answer to a watch that brought nothing.
  void advanceWithDelay(uint64_t Named, model::TimePoint Now);
  void startList();
  void finishList(std::vector<FeedChange> &Changes);

  FeedSettings m_Settings;
  model::Duration m_WatchAnswerTimeout;
  membership::Backoff m_Backoff;
  ports::Random &m_Random;
  bool m_CallInProgress = false;
  bool m_Watching = false;
  bool m_ListedOnce = false;
  /// The next list is the second one.
  bool m_IsSecondListDue = false;
  bool m_Failing = false;
  model::TimePoint m_NextCallAt;
  uint64_t m_Revision = 0;
  /// Named by answers that brought nothing, oldest first; beyond m_Revision.
  std::deque<ReportedRevision> m_ReportedRevisions;
  uint64_t m_CompleteFrom = 0;
  std::string m_After;
  std::set<std::string> m_ListedNames;
  std::optional<uint64_t> m_ListRevision;
  /// The call in flight was made before the last restore.
  bool m_DiscardAnswer = false;
  /// No list has been completed since the last restore.
  bool m_RestorePending = false;
  /// The newest state seen of an object, deleted ones included.
  struct SeenObject {
    /// Zero: seen before the last restore and not since.
    uint64_t m_Revision = 0;
    bool m_Deleted = false;
    uint64_t m_ContentHash = 0;
  };
  std::map<std::string, SeenObject> m_Seen;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H
