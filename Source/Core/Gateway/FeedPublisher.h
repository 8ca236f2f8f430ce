#ifndef BRONZEPASS_CORE_GATEWAY_FEEDPUBLISHER_H
#define BRONZEPASS_CORE_GATEWAY_FEEDPUBLISHER_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// A node's question to a watcher: what changed after a revision.
struct FeedQuery {
  FeedKind m_Kind = FeedKind::Config;
  uint64_t m_Revision = 0;
  /// Era of m_Revision; nullopt if the store names none.
  std::optional<model::StoreEra> m_Era;
  /// How long the watcher may wait for a change.
  model::Duration m_Wait{0};
  /// All objects, whatever the revision, instead of changes.
  bool m_IsList = false;

  friend auto operator<=>(const FeedQuery &, const FeedQuery &) = default;
};

struct FeedReply {
  /// False: this node can't tell the state of the store; ask the store.
  bool m_IsAvailable = false;
  /// With m_IsAvailable false: the store does not answer this node.
  bool m_IsStoreFailing = false;
  /// Objects that changed after the query's revision, deleted ones included.
  std::vector<FeedObject> m_Objects;
  /// The revision of the store that the reply reflects.
  uint64_t m_Revision = 0;
  /// From the moment at which the watcher received the query to the latest at
  /// which the store was known to hold nothing newer; negative if that was
  /// before. nullopt if the watcher doesn't know.
  std::optional<model::Duration> m_ProofOffset;
  /// With m_IsAvailable false: deletions since the query's revision are not
  /// known, but a list would be replied to.
  bool m_IsHistoryGone = false;
  /// The store's era, if it names one; also with m_IsAvailable false.
  std::optional<model::StoreEra> m_Era;

  friend auto operator<=>(const FeedReply &, const FeedReply &) = default;
};

/// A node's copy of the objects of one kind, as the store returned them, and
/// the queries that wait for a change. It holds nothing that is not in the
/// store, and answers only while this node itself watches the store and the
/// store answers.
class FeedPublisher {
public:
  using ReplyHandler = std::function<void(const FeedReply &)>;

  /// Whether this node may tell others the state of the store.
  struct Standing {
    bool m_IsCurrent = false;
    bool m_IsStoreFailing = false;
    std::optional<model::StoreEra> m_Era;
    /// The revision from which on this node knows all deletions. A node that is
    /// behind it may hold an object that this one never knew.
    uint64_t m_CompleteFrom = 0;

    friend auto operator<=>(const Standing &, const Standing &) = default;
  };

  /// Takes over an answer of the store: the objects that it contains, and the
  /// changes that the feed derived from it. \p Revision: that the feed has
  /// reached. \p ProvenAt: by then or later the store held nothing newer.
  void record(const std::vector<FeedObject> &Objects,
              const std::vector<FeedChange> &Changes, uint64_t Revision,
              std::optional<model::TimePoint> ProvenAt = std::nullopt);
  /// Replies to all waiting queries if this node may no longer tell.
  void setStanding(const Standing &Current);
  /// The store was restored from a backup: earlier revisions mean nothing.
  void clear();

  /// Calls \p OnReply now or later, unless cancelled.
  /// Returns an id for cancel().
  uint64_t ask(const FeedQuery &Query, model::TimePoint Now,
               ReplyHandler OnReply);
  void cancel(uint64_t Id) { m_Waiting.erase(Id); }
  /// Replies to the queries whose wait is over.
  void tick(model::TimePoint Now);

private:
  struct Entry {
    FeedObject m_Object;
    /// The store's revision with which this node learned of the object.
    uint64_t m_LearnedAt = 0;
  };
  struct WaitingQuery {
    FeedQuery m_Query;
    model::TimePoint m_ReceivedAt;
    model::TimePoint m_Until;
    ReplyHandler m_OnReply;
  };

  bool mayReply(const FeedQuery &Query) const;
  bool knowsEraOf(const FeedQuery &Query) const;
  FeedReply replyTo(const FeedQuery &Query, model::TimePoint ReceivedAt) const;
  void replyWhere(const std::function<bool(const WaitingQuery &)> &IsDue);

  std::map<std::string, Entry> m_Objects;
  uint64_t m_Revision = 0;
  std::optional<model::TimePoint> m_ProvenAt;
  Standing m_Standing;
  std::map<uint64_t, WaitingQuery> m_Waiting;
  uint64_t m_LastId = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_FEEDPUBLISHER_H
