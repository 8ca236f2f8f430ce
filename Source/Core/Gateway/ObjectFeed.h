#ifndef BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H
#define BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H

#include "Core/Membership/Backoff.h"
#include "Core/Model/Time.h"
#include "Core/Ports/Ports.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// The next call that a feed wants made.
struct FeedCall {
  enum class Verb { List, Watch };

  Verb m_Verb = Verb::List;
  /// List: begin behind this name.
  std::string m_After;
  /// List: what is some seconds old will do, and costs the store less.
  bool m_MayBeStale = false;
  /// Watch: tell what is newer than this.
  uint64_t m_Revision = 0;
  /// Watch: how long the store may keep it waiting.
  model::Duration m_Wait{0};
  /// After which the answer counts as lost.
  model::Duration m_Timeout{0};

  friend auto operator<=>(const FeedCall &, const FeedCall &) = default;
};

/// An object as the store told it; its content stays text here.
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
  /// Refused, lost, or not to be understood.
  Failed,
};

struct FeedAnswer {
  FeedStatus m_Status = FeedStatus::Failed;
  std::vector<FeedObject> m_Objects;
  /// List: more follow behind the last name.
  bool m_HasMore = false;
  /// Revision that the answer stands for.
  uint64_t m_Revision = 0;
  std::string m_Reason;

  friend auto operator<=>(const FeedAnswer &, const FeedAnswer &) = default;
};

/// One object that is new, has changed or is gone.
struct FeedChange {
  std::string m_Name;
  /// nullopt: it is gone.
  std::optional<std::string> m_Content;

  friend auto operator<=>(const FeedChange &, const FeedChange &) = default;
};

struct FeedSettings {
  /// A watch waits in short turns: a connection that has gone silent is found
  /// at a turn's end. Below the time in which a change is to be known.
  model::Duration m_WatchTurn = std::chrono::milliseconds(2400);
  /// Beyond a watch's turn, or for a list.
  model::Duration m_AnswerTime = std::chrono::milliseconds(600);
  model::Duration m_BackoffBase = std::chrono::milliseconds(100);
  /// A store that is back must be found so while its lapsed entries are still
  /// waited for.
  model::Duration m_BackoffMost = std::chrono::milliseconds(700);
  /// After changes, so that several are fetched with one call.
  model::Duration m_Gather = std::chrono::milliseconds(50);
  /// Set: list anew after this long, instead of watching.
  std::optional<model::Duration> m_ListPeriod;

  friend auto operator<=>(const FeedSettings &, const FeedSettings &) = default;
};

/// Follows all objects of one kind in the store: lists them, then watches. No
/// object goes back to an older revision, whichever call tells of it. One call
/// at a time.
class ObjectFeed {
public:
  /// \p Dice outlives the feed.
  ObjectFeed(const FeedSettings &Settings, ports::Random &Dice);

  /// The call that is due, if there is one.
  std::optional<FeedCall> nextCall(model::TimePoint Now);
  /// The answer to the call that nextCall() gave last.
  std::vector<FeedChange> answered(const FeedAnswer &Answer,
                                   model::TimePoint Now);

  /// Another call has shown that the store answers again: no waiting.
  void storeAnswers(model::TimePoint Now);

  /// A list has come whole since the start.
  bool isComplete() const { return m_Complete; }
  /// The last call failed.
  bool isFailing() const { return m_Failing; }

private:
  void apply(const FeedObject &Object, std::vector<FeedChange> &Changes);
  void endList(std::vector<FeedChange> &Changes);

  FeedSettings m_Settings;
  membership::Backoff m_Backoff;
  ports::Random &m_Dice;
  bool m_UnderWay = false;
  bool m_Watching = false;
  bool m_Complete = false;
  bool m_Failing = false;
  model::TimePoint m_DueAt;
  uint64_t m_Revision = 0;
  std::string m_After;
  std::set<std::string> m_ListedNames;
  std::optional<uint64_t> m_ListRevision;
  /// Newest revision seen of each name, of those deleted too.
  struct Known {
    uint64_t m_Revision = 0;
    bool m_Deleted = false;
  };
  std::map<std::string, Known> m_Known;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_OBJECTFEED_H
