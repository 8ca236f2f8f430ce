#include "Core/Gateway/ObjectFeed.h"

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
    if (From < m_OldestWatchable) {
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

} // namespace bronzepass::core::gateway
