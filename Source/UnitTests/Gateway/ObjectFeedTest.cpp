#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/EndpointRegistry.h"

#include "UnitTests/Fakes/FixedRandom.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

FeedObject object(const char *Name, uint64_t Revision,
                  const char *Content = "x") {
  return {Name, Revision, false, Content};
}

FeedAnswer answer(uint64_t Revision, std::vector<FeedObject> Objects,
                  bool HasMore = false) {
  FeedAnswer Answer;
  Answer.m_Status = FeedStatus::Ok;
  Answer.m_Revision = Revision;
  Answer.m_Objects = std::move(Objects);
  Answer.m_HasMore = HasMore;
  return Answer;
}

/// A store of objects of one kind that keeps its history and can list past
/// states.
class VersionedStore {
public:
  void write(const std::string &Name, const std::string &Content) {
    m_Log.push_back({Name, ++m_Revision, false, Content});
  }
  void remove(const std::string &Name) {
    m_Log.push_back({Name, ++m_Revision, true, ""});
  }
  void compact() { m_OldestWatchable = m_Revision; }
  void backUp() { m_BackedUp = m_Log.size(); }
  /// Restores the last backup; revisions since are assigned again.
  void restore() {
    m_Log.resize(m_BackedUp);
    m_Revision = m_Log.empty() ? 0 : m_Log.back().m_Revision;
    m_OldestWatchable = std::min(m_OldestWatchable, m_Revision);
  }
  uint64_t revision() const { return m_Revision; }

  std::map<std::string, FeedObject> stateAt(uint64_t Revision) const {
    std::map<std::string, FeedObject> State;
    for (const FeedObject &Each : m_Log) {
      if (Each.m_Revision > Revision)
        break;
      if (Each.m_Deleted)
        State.erase(Each.m_Name);
      else
        State[Each.m_Name] = Each;
    }
    return State;
  }

  /// The list as of \p Revision, which may be in the past.
  FeedAnswer list(uint64_t Revision) const {
    std::vector<FeedObject> Objects;
    for (const auto &Each : stateAt(Revision))
      Objects.push_back(Each.second);
    return answer(Revision, std::move(Objects));
  }

  FeedAnswer watch(uint64_t From) const {
    if (From < m_OldestWatchable || From > m_Revision) {
      FeedAnswer Gone;
      Gone.m_Status = FeedStatus::HistoryGone;
      return Gone;
    }
    std::vector<FeedObject> Events;
    for (const FeedObject &Each : m_Log)
      if (Each.m_Revision > From)
        Events.push_back(Each);
    return answer(m_Revision, std::move(Events));
  }

private:
  std::vector<FeedObject> m_Log;
  uint64_t m_Revision = 0;
  uint64_t m_OldestWatchable = 0;
  size_t m_BackedUp = 0;
};

} // namespace

TEST_CASE("a feed lists page by page, then watches from the first page's "
          "revision") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  const std::optional<FeedCall> First = Feed.nextCall(at(0s));
  REQUIRE(First);
  CHECK(First->m_Verb == FeedCall::Verb::List);
  CHECK_FALSE(Feed.nextCall(at(0s)));
  CHECK(Feed.handleAnswer(answer(10, {object("a", 3)}, true), at(0s)).size() ==
        1);
  CHECK(Feed.nextCall(at(0s))->m_After == "a");
  CHECK_FALSE(Feed.isComplete());
  CHECK(Feed.handleAnswer(answer(12, {object("b", 4)}), at(0s)).size() == 1);
  CHECK(Feed.isComplete());
  const std::optional<FeedCall> Watch = Feed.nextCall(at(0s));
  CHECK(Watch->m_Verb == FeedCall::Verb::Watch);
  CHECK(Watch->m_Revision == 10);
  CHECK(Watch->m_Timeout > Watch->m_Wait);
}

TEST_CASE(
    "a stale list after a newer event does not revert or delete objects") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(10, {object("a", 3, "old")}), at(0s));
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(20, {object("a", 15, "new"), object("b", 16)}),
                    at(0s));
  Feed.nextCall(at(1s));
  FeedAnswer Gone;
  Gone.m_Status = FeedStatus::HistoryGone;
  Feed.handleAnswer(Gone, at(1s));
  Feed.nextCall(at(1s));
  // As of revision 12: neither the new "a" nor "b" is in it.
  CHECK(Feed.handleAnswer(answer(12, {object("a", 3, "old")}), at(1s)).empty());
  CHECK(Feed.nextCall(at(1s))->m_Revision == 20);
}

// Guards against a change that is skipped until the next one, since a watch
// that heard nothing named a revision beyond it.
TEST_CASE("a watch goes on from where a change may have been missed") {
  constexpr model::Duration Deaf = 1s;
  for (const model::Duration Watch : {150ms, 540ms, 2400ms})
    for (const model::Duration ChangedAt : {0ms, 400ms, 990ms}) {
      CAPTURE(Watch.count());
      CAPTURE(ChangedAt.count());
      unit_tests::fakes::FixedRandom FeedRandom(1);
      ObjectFeed Feed({}, FeedRandom);
      Feed.nextCall(at(0s));
      Feed.handleAnswer(answer(5, {object("main", 3)}), at(0s));
      // Answers name one more revision each 10 ms, as other objects change.
      const auto RevisionAt = [](model::Duration At) {
        return 5 + static_cast<uint64_t>(At / 10ms);
      };
      const uint64_t Missed = RevisionAt(ChangedAt) + 1;
      std::optional<model::Duration> KnownAt;
      for (model::Duration Now = 0ms; Now < 6s && !KnownAt;) {
        const std::optional<FeedCall> Call = Feed.nextCall(at(Now));
        REQUIRE(Call);
        const bool Hears = Now >= Deaf && Call->m_Revision < Missed;
        Now += Hears ? model::Duration(1ms) : Watch;
        std::vector<FeedObject> Events;
        if (Hears)
          Events.push_back(object("main", Missed, "new"));
        if (!Feed.handleAnswer(answer(RevisionAt(Now), Events), at(Now))
                 .empty())
          KnownAt = Now;
      }
      REQUIRE(KnownAt);
      CHECK(*KnownAt <= Deaf + Watch + 1ms);
    }
}

// Guards against the same where the store was asked beside the watch.
TEST_CASE("a confirmation that brings nothing skips no change") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(5, {object("a", 3)}), at(0s));
  CHECK(Feed.handleConfirmation(answer(9, {})).empty());
  CHECK(Feed.nextCall(at(0s))->m_Revision == 5);
  CHECK(Feed.handleConfirmation(answer(9, {object("b", 8)})).size() == 1);
  CHECK(Feed.revision() == 9);
}

// Guards against a watch that goes on from so long ago that the store has
// dropped the history.
TEST_CASE("a watch that hears nothing for long goes on from lately") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(5, {object("main", 3)}), at(0s));
  for (int Second = 1; Second < 60; ++Second) {
    const std::optional<FeedCall> Call = Feed.nextCall(at(1s * Second));
    REQUIRE(Call);
    CHECK(Call->m_Revision + 4 >= 5U + static_cast<uint64_t>(Second));
    Feed.handleAnswer(answer(5U + static_cast<uint64_t>(Second), {}),
                      at(1s * Second));
  }
}

TEST_CASE("a failed call backs off; the store's recovery ends the backoff") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(FeedAnswer(), at(0s));
  CHECK(Feed.isFailing());
  CHECK_FALSE(Feed.nextCall(at(0s)));
  Feed.onStoreRecovered(at(1ms));
  CHECK(Feed.nextCall(at(1ms)));
}

TEST_CASE("a feed never reports an older revision and converges to the store's "
          "state") {
  std::mt19937_64 Random(7);
  constexpr int Runs = 2000;
  for (int Run = 0; Run < Runs; ++Run) {
    unit_tests::fakes::FixedRandom FeedRandom(1);
    ObjectFeed Feed({}, FeedRandom);
    VersionedStore Store;
    std::map<std::string, uint64_t> Newest;
    std::map<std::string, std::string> Seen;
    model::TimePoint Now;
    const auto Step = [&](bool StoreUpToDate) {
      Now += 1s;
      const std::optional<FeedCall> Call = Feed.nextCall(Now);
      if (!Call)
        return;
      FeedAnswer Answer;
      const uint64_t Lag = StoreUpToDate ? 0 : Random() % 4;
      const bool Fails = !StoreUpToDate && Random() % 5 == 0;
      if (!Fails)
        Answer =
            Call->m_Verb == FeedCall::Verb::List
                ? Store.list(Store.revision() - std::min(Lag, Store.revision()))
                : Store.watch(Call->m_Revision);
      for (const FeedChange &Change : Feed.handleAnswer(Answer, Now)) {
        if (!Change.m_Content) {
          Seen.erase(Change.m_Name);
          continue;
        }
        const uint64_t Version = std::stoull(*Change.m_Content);
        CHECK(Version > Newest[Change.m_Name]);
        Newest[Change.m_Name] = Version;
        Seen[Change.m_Name] = *Change.m_Content;
      }
    };
    for (int I = 0; I < 30; ++I) {
      const std::string Name(1, static_cast<char>('a' + Random() % 3));
      if (Random() % 3 == 0)
        Store.remove(Name);
      else
        Store.write(Name, std::to_string(Store.revision() + 1));
      if (Random() % 8 == 0)
        Store.compact();
      if (Random() % 2 == 0)
        Step(false);
    }
    for (int I = 0; I < 6; ++I)
      Step(true);
    std::map<std::string, std::string> StoreState;
    for (const auto &Each : Store.stateAt(Store.revision()))
      StoreState[Each.first] = Each.second.m_Content;
    REQUIRE(Seen == StoreState);
  }
}

TEST_CASE("after a restore a feed lists again and compares by content") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  ObjectFeed Feed({}, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(20, {object("a", 3, "x"), object("b", 15, "new"),
                                object("c", 16, "lost")}),
                    at(0s));
  // A watch is in flight when the store is restored.
  REQUIRE(Feed.nextCall(at(1s)));
  Feed.onStoreRestored(at(1s), 0ms);
  CHECK_FALSE(Feed.isCurrent());
  CHECK(Feed.handleAnswer(answer(30, {object("d", 25)}), at(1s)).empty());
  const std::optional<FeedCall> List = Feed.nextCall(at(2s));
  REQUIRE(List);
  CHECK(List->m_Verb == FeedCall::Verb::List);
  CHECK_FALSE(List->m_MayBeStale);
  const std::vector<FeedChange> Changes = Feed.handleAnswer(
      answer(12, {object("a", 3, "x"), object("b", 9, "old")}), at(2s));
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0] == FeedChange{"b", "old"});
  CHECK(Changes[1] == FeedChange{"c", std::nullopt});
  CHECK(Feed.isCurrent());
  CHECK(Feed.nextCall(at(2s))->m_Revision == 12);
}

// Guards against nodes that know only those that started before them for a
// whole period, and take all duties for their own meanwhile.
TEST_CASE("the second list comes soon and is up to date") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  FeedSettings Settings;
  Settings.m_ListPeriod = 5s;
  Settings.m_SecondListDelay = 1s;
  ObjectFeed Feed(Settings, FeedRandom);
  std::vector<model::Duration> Lists;
  std::vector<bool> Stale;
  for (model::Duration Now = 0s; Now < 14s; Now += 100ms)
    if (const std::optional<FeedCall> Call = Feed.nextCall(at(Now))) {
      Lists.push_back(Now);
      Stale.push_back(Call->m_MayBeStale);
      Feed.handleAnswer(answer(20, {object("a", 3)}), at(Now));
    }
  CHECK(Lists == std::vector<model::Duration>{0s, 1s, 6s, 11s});
  CHECK(Stale == std::vector<bool>{false, false, true, true});
}

TEST_CASE("a feed that lists periodically keeps lost objects for one period") {
  unit_tests::fakes::FixedRandom FeedRandom(1);
  FeedSettings Settings;
  Settings.m_ListPeriod = 5s;
  ObjectFeed Feed(Settings, FeedRandom);
  Feed.nextCall(at(0s));
  Feed.handleAnswer(answer(20, {object("a", 3), object("b", 15)}), at(0s));
  Feed.onStoreRestored(at(1s), 100ms);
  REQUIRE(Feed.nextCall(at(1100ms)));
  CHECK(Feed.handleAnswer(answer(12, {object("a", 3)}), at(1100ms)).empty());
  REQUIRE(Feed.nextCall(at(6100ms)));
  CHECK(Feed.handleAnswer(answer(14, {object("a", 3)}), at(6100ms)) ==
        std::vector<FeedChange>{{"b", std::nullopt}});
}

namespace {

/// An operator and endpoints that write to a store which is restored from
/// backups, and a node that follows both kinds of object.
class RestoreRun {
public:
  explicit RestoreRun(uint64_t Seed)
      : m_Random(Seed), m_FeedRandom(Seed), m_Feed({}, m_FeedRandom) {}

  void run() {
    constexpr int Steps = 60;
    for (int I = 0; I < Steps; ++I) {
      m_Now += 300ms;
      writeSomething();
      if (m_Random() % 6 == 0)
        m_Store.backUp();
      if (m_Random() % 10 == 0)
        restore();
      if (m_Random() % 3 != 0)
        answerCall();
      check();
    }
    settle();
  }

private:
  struct Endpoint {
    uint64_t m_Renewals = 1;
    bool m_Draining = false;
    bool m_Gone = false;
  };

  void writeSomething() {
    const std::string Name(1, static_cast<char>('a' + m_Random() % 3));
    Endpoint &Chosen = m_Endpoints[Name];
    if (Chosen.m_Gone)
      return;
    ++Chosen.m_Renewals;
    const uint64_t Kind = m_Random() % 12;
    Chosen.m_Draining = Chosen.m_Draining || Kind == 0;
    Chosen.m_Gone = Chosen.m_Draining && Kind < 3;
    if (Chosen.m_Gone)
      m_Store.remove(Name);
    else
      write(Name);
  }

  void write(const std::string &Name) {
    const Endpoint &Each = m_Endpoints[Name];
    m_Store.write(Name, std::to_string(Each.m_Renewals) +
                            (Each.m_Draining ? "d" : "r"));
  }

  void restore() {
    m_Store.restore();
    if (m_Random() % 2 == 0) // The node learns of it from another call.
      m_RestoreUnknown = true;
    else
      onRestored();
  }

  void onRestored() {
    m_RestoreUnknown = false;
    m_Health.recordRestore(m_Now);
    m_Registry.onStoreRestored(m_Now);
    m_Feed.onStoreRestored(m_Now, 100ms);
  }

  void answerCall() {
    const std::optional<FeedCall> Call = m_Feed.nextCall(m_Now);
    if (!Call)
      return;
    const uint64_t Revision = m_Store.revision();
    const FeedAnswer Answer = Call->m_Verb == FeedCall::Verb::List
                                  ? m_Store.list(Revision)
                                  : m_Store.watch(Call->m_Revision);
    // The era of this answer tells of the restore before its content is used.
    if (m_RestoreUnknown)
      onRestored();
    for (const FeedChange &Change : m_Feed.handleAnswer(Answer, m_Now))
      take(Change);
  }

  void take(const FeedChange &Change) {
    const model::EndpointId Id(Change.m_Name);
    if (!Change.m_Content) {
      m_Registry.remove(Id, m_Health, m_Now);
      m_KnownGone[Change.m_Name] =
          m_KnownGone[Change.m_Name] || !m_Registry.find(Id);
      return;
    }
    EndpointEntry Entry;
    Entry.m_Id = Id;
    Entry.m_Renewals = std::stoull(*Change.m_Content);
    Entry.m_Draining = Change.m_Content->back() == 'd';
    m_KnownDraining[Change.m_Name] =
        m_KnownDraining[Change.m_Name] || Entry.m_Draining;
    m_Registry.set(Entry, m_Now);
  }

  void check() {
    m_Registry.dropLapsed(m_Health, m_Now);
    for (const EndpointEntry &Each : m_Registry.entries()) {
      const std::string &Name = Each.m_Id.str();
      CHECK(Each.m_Renewals >= m_NewestSeen[Name]);
      m_NewestSeen[Name] = Each.m_Renewals;
      CHECK((Each.m_Draining || !m_KnownDraining[Name]));
      CHECK_FALSE((m_KnownGone[Name] && m_Endpoints[Name].m_Gone));
    }
  }

  /// Endpoints that are alive write their entries again, once; the store drops
  /// those of the others. Within seconds the node knows that state.
  void settle() {
    for (auto &Each : m_Endpoints) {
      ++Each.second.m_Renewals;
      if (Each.second.m_Gone)
        m_Store.remove(Each.first);
      else
        write(Each.first);
    }
    for (int I = 0; I < 10; ++I) {
      m_Now += 500ms;
      answerCall();
      check();
    }
    for (const auto &Each : m_Endpoints) {
      const EndpointEntry *const Known =
          m_Registry.find(model::EndpointId(Each.first));
      CHECK((Known != nullptr) == !Each.second.m_Gone);
      if (Known)
        CHECK(Known->m_Renewals == Each.second.m_Renewals);
    }
  }

  std::mt19937_64 m_Random;
  unit_tests::fakes::FixedRandom m_FeedRandom;
  ObjectFeed m_Feed;
  VersionedStore m_Store;
  StoreHealth m_Health;
  EndpointRegistry m_Registry{2150ms};
  std::map<std::string, Endpoint> m_Endpoints;
  std::map<std::string, uint64_t> m_NewestSeen;
  std::map<std::string, bool> m_KnownDraining;
  std::map<std::string, bool> m_KnownGone;
  bool m_RestoreUnknown = false;
  model::TimePoint m_Now = at(100s);
};

} // namespace

TEST_CASE("endpoints that left or drain stay so, and the store's state is "
          "reached, over 10,000 runs with restores from a backup") {
  constexpr uint64_t Seeds = 10000;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RestoreRun(Seed).run();
  }
}

} // namespace bronzepass::core::gateway
