#include "Core/Gateway/FeedPublisher.h"

#include "UnitTests/Fakes/FixedRandom.h"

#include <chrono>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

FeedObject object(const std::string &Name, uint64_t Revision,
                  const std::string &Content = "x") {
  return {Name, Revision, false, Content};
}

/// Keeps the reply to one query.
struct Asked {
  std::optional<FeedReply> m_Reply;
  FeedPublisher::ReplyHandler handler() {
    return [this](const FeedReply &Reply) { m_Reply = Reply; };
  }
};

FeedQuery since(uint64_t Revision,
                std::optional<model::StoreEra> Era = std::nullopt) {
  return {FeedKind::Endpoints, Revision, Era, 1s};
}

} // namespace

TEST_CASE("a query is answered with what changed after its revision") {
  FeedPublisher Publisher;
  Publisher.setStanding({true, false, std::nullopt});
  Publisher.record({object("a", 3), object("b", 7)}, {}, 8);
  Asked Old;
  Publisher.ask(since(2), at(0s), Old.handler());
  REQUIRE(Old.m_Reply);
  CHECK(Old.m_Reply->m_Objects.size() == 2);
  CHECK(Old.m_Reply->m_Revision == 8);
  Asked Current;
  Publisher.ask(since(8), at(0s), Current.handler());
  CHECK_FALSE(Current.m_Reply);
  Publisher.record({object("a", 9, "new")}, {}, 9);
  REQUIRE(Current.m_Reply);
  CHECK(Current.m_Reply->m_Objects ==
        std::vector<FeedObject>{object("a", 9, "new")});
}

// Guards against a node that starts while the store refuses it and learns only
// what changes from then on, or objects that are gone.
TEST_CASE("a list is answered at once, with all objects that are there") {
  FeedPublisher Publisher;
  const auto ListIn = [&](std::optional<model::StoreEra> Era) {
    Asked List;
    FeedQuery Query = since(0, Era);
    Query.m_IsList = true;
    Publisher.ask(Query, at(0s), List.handler());
    REQUIRE(List.m_Reply);
    return *List.m_Reply;
  };
  const model::StoreEra Era{4};
  CHECK_FALSE(ListIn(std::nullopt).m_IsAvailable);
  Publisher.setStanding({true, false, Era, 6});
  Publisher.record({object("a", 3), object("b", 7), {"c", 8, true, ""}}, {}, 8);
  for (const std::optional<model::StoreEra> Known :
       {std::optional<model::StoreEra>(), std::optional(Era)}) {
    const FeedReply Reply = ListIn(Known);
    CHECK(Reply.m_IsAvailable);
    CHECK(Reply.m_Era == Era);
    CHECK(Reply.m_Revision == 8);
    CHECK(Reply.m_Objects ==
          std::vector<FeedObject>{object("a", 3), object("b", 7)});
  }
  // Revisions of another era would be compared with these.
  const FeedReply Other = ListIn(model::StoreEra{3});
  CHECK_FALSE(Other.m_IsAvailable);
  CHECK_FALSE(Other.m_IsHistoryGone);
  CHECK(Other.m_Era == Era);
  Asked Behind;
  Publisher.ask(since(5, Era), at(0s), Behind.handler());
  REQUIRE(Behind.m_Reply);
  CHECK_FALSE(Behind.m_Reply->m_IsAvailable);
  CHECK(Behind.m_Reply->m_IsHistoryGone);
}

TEST_CASE("a reply tells how long before or after its query the store was last "
          "known to hold nothing newer") {
  FeedPublisher Publisher;
  Publisher.setStanding({true, false, std::nullopt});
  Publisher.record({object("a", 3)}, {}, 8);
  Asked Unproven;
  Publisher.ask(since(2), at(10s), Unproven.handler());
  REQUIRE(Unproven.m_Reply);
  CHECK_FALSE(Unproven.m_Reply->m_ProofOffset);
  Publisher.record({}, {}, 8, at(9s));
  Asked Old;
  Publisher.ask(since(2), at(10s), Old.handler());
  REQUIRE(Old.m_Reply);
  CHECK(Old.m_Reply->m_ProofOffset == -1s);
  Asked Waiting;
  Publisher.ask(since(8), at(10s), Waiting.handler());
  // An answer that was asked for earlier proves nothing more.
  Publisher.record({}, {}, 8, at(10500ms));
  Publisher.record({}, {}, 8, at(8s));
  Publisher.tick(at(11s));
  REQUIRE(Waiting.m_Reply);
  CHECK(Waiting.m_Reply->m_ProofOffset == 500ms);
  Publisher.clear();
  Asked Restored;
  Publisher.ask({FeedKind::Endpoints, 0, std::nullopt, 0s}, at(12s),
                Restored.handler());
  Publisher.tick(at(12s));
  REQUIRE(Restored.m_Reply);
  CHECK_FALSE(Restored.m_Reply->m_ProofOffset);
}

TEST_CASE("a query without news is answered when its wait is over") {
  FeedPublisher Publisher;
  Publisher.setStanding({true, false, std::nullopt});
  Publisher.record({object("a", 3)}, {}, 8);
  Asked Waiting;
  Publisher.ask(since(8), at(0s), Waiting.handler());
  Publisher.tick(at(900ms));
  CHECK_FALSE(Waiting.m_Reply);
  Publisher.tick(at(1s));
  REQUIRE(Waiting.m_Reply);
  CHECK(Waiting.m_Reply->m_IsAvailable);
  CHECK(Waiting.m_Reply->m_Objects.empty());
  CHECK(Waiting.m_Reply->m_Revision == 8);
}

TEST_CASE("deletions that a list implies are told") {
  FeedPublisher Publisher;
  Publisher.setStanding({true, false, std::nullopt});
  Publisher.record({object("a", 3), object("b", 4)}, {}, 5);
  Publisher.record({object("a", 3)}, {{"b", std::nullopt}}, 9);
  Asked Behind;
  Publisher.ask(since(5), at(0s), Behind.handler());
  REQUIRE(Behind.m_Reply);
  CHECK(Behind.m_Reply->m_Objects ==
        std::vector<FeedObject>{{"b", 9, true, ""}});
}

// Guards against nodes that follow a watcher which can't tell the state of the
// store.
TEST_CASE("a watcher that does not know the store's state says so at once") {
  for (const FeedPublisher::Standing &Lost :
       {FeedPublisher::Standing{false, false, std::nullopt},
        FeedPublisher::Standing{true, true, std::nullopt},
        FeedPublisher::Standing{true, false, model::StoreEra{2}},
        FeedPublisher::Standing{true, false, std::nullopt, 9}}) {
    FeedPublisher Publisher;
    Publisher.setStanding({true, false, std::nullopt});
    Publisher.record({object("a", 3)}, {}, 8);
    Asked Waiting;
    Publisher.ask(since(8), at(0s), Waiting.handler());
    Publisher.setStanding(Lost);
    REQUIRE(Waiting.m_Reply);
    CHECK_FALSE(Waiting.m_Reply->m_IsAvailable);
    CHECK(Waiting.m_Reply->m_IsStoreFailing == Lost.m_IsStoreFailing);
    Asked Later;
    Publisher.ask(since(2), at(0s), Later.handler());
    REQUIRE(Later.m_Reply);
    CHECK_FALSE(Later.m_Reply->m_IsAvailable);
    CHECK(Later.m_Reply->m_Objects.empty());
  }
}

TEST_CASE("a cancelled query is not answered") {
  FeedPublisher Publisher;
  Publisher.setStanding({true, false, std::nullopt});
  Asked Gone;
  Publisher.cancel(Publisher.ask(since(0), at(0s), Gone.handler()));
  Publisher.record({object("a", 3)}, {}, 3);
  CHECK_FALSE(Gone.m_Reply);
}

namespace {

/// The store's objects of one kind with their history.
class HistoryStore {
public:
  void write(const std::string &Name) {
    ++m_Revision;
    m_Log.push_back(object(Name, m_Revision, std::to_string(m_Revision)));
  }
  void remove(const std::string &Name) {
    if (content().contains(Name))
      m_Log.push_back({Name, ++m_Revision, true, ""});
  }
  /// Forgets the history: watches from before have to list again.
  void compact() { m_Oldest = m_Revision; }

  std::map<std::string, std::string> content() const {
    std::map<std::string, std::string> Objects;
    for (const FeedObject &Each : m_Log)
      if (Each.m_Deleted)
        Objects.erase(Each.m_Name);
      else
        Objects[Each.m_Name] = Each.m_Content;
    return Objects;
  }

  FeedAnswer answer(const FeedCall &Call) const {
    FeedAnswer Answer;
    Answer.m_Status = FeedStatus::Ok;
    Answer.m_Revision = m_Revision;
    if (Call.m_Verb == FeedCall::Verb::Watch && Call.m_Revision < m_Oldest) {
      Answer.m_Status = FeedStatus::HistoryGone;
      return Answer;
    }
    std::map<std::string, FeedObject> Last;
    for (const FeedObject &Each : m_Log)
      Last[Each.m_Name] = Each;
    for (const auto &Each : Last)
      if (Call.m_Verb == FeedCall::Verb::Watch
              ? Each.second.m_Revision > Call.m_Revision
              : !Each.second.m_Deleted)
        Answer.m_Objects.push_back(Each.second);
    return Answer;
  }

private:
  std::vector<FeedObject> m_Log;
  uint64_t m_Revision = 0;
  uint64_t m_Oldest = 0;
};

/// A node that asks the store or a watcher, and may be asked itself.
struct Node {
  explicit Node(ports::Random &Random) : m_Feed({}, Random) {}

  void apply(const FeedAnswer &Answer, model::TimePoint Now) {
    const std::vector<FeedChange> Changes = m_Feed.handleAnswer(Answer, Now);
    for (const FeedChange &Each : Changes)
      if (Each.m_Content)
        m_Known[Each.m_Name] = *Each.m_Content;
      else
        m_Known.erase(Each.m_Name);
    if (Answer.m_Status == FeedStatus::Ok)
      m_Publisher.record(Answer.m_Objects, Changes, m_Feed.revision());
  }

  ObjectFeed m_Feed;
  FeedPublisher m_Publisher;
  std::map<std::string, std::string> m_Known;
  uint64_t m_HighestRevision = 0;
};

} // namespace

// Pattern: many nodes learn of changes through watchers that change, fall
// behind and list again.
TEST_CASE("nodes that ask changing watchers never go back and end up with the "
          "store's content") {
  for (uint32_t Seed = 0; Seed < 10000; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Draw(Seed);
    unit_tests::fakes::FixedRandom FeedRandom(1);
    HistoryStore Store;
    std::vector<Node> Nodes(4, Node(FeedRandom));
    model::TimePoint Now;
    const auto Step = [&](Node &Asking, bool FromStore, Node &Watcher) {
      Now += 2s;
      const std::optional<FeedCall> Call = Asking.m_Feed.nextCall(Now);
      REQUIRE(Call);
      if (FromStore || Call->m_Verb == FeedCall::Verb::List) {
        Asking.apply(Store.answer(*Call), Now);
        return;
      }
      Watcher.m_Publisher.setStanding({Watcher.m_Feed.isCurrent(), false,
                                       std::nullopt,
                                       Watcher.m_Feed.completeFrom()});
      Asked Reply;
      Watcher.m_Publisher.ask(
          {FeedKind::Endpoints, Call->m_Revision, std::nullopt, 0s}, Now,
          Reply.handler());
      Watcher.m_Publisher.tick(Now);
      REQUIRE(Reply.m_Reply);
      if (Reply.m_Reply->m_IsAvailable) {
        Asking.apply({.m_Status = FeedStatus::Ok,
                      .m_Objects = Reply.m_Reply->m_Objects,
                      .m_Revision = Reply.m_Reply->m_Revision},
                     Now);
        return;
      }
      Asking.m_Feed.abandonCall();
      const std::optional<FeedCall> Again = Asking.m_Feed.nextCall(Now);
      REQUIRE(Again);
      Asking.apply(Store.answer(*Again), Now);
    };
    for (int Turn = 0; Turn < 60; ++Turn) {
      const std::string Name(1, static_cast<char>('a' + Draw() % 4));
      switch (Draw() % 8) {
      case 0:
      case 1:
        Store.write(Name);
        break;
      case 2:
        Store.remove(Name);
        break;
      case 3:
        Store.compact();
        break;
      default: {
        Node &Asking = Nodes[Draw() % Nodes.size()];
        Node &Watcher = Nodes[Draw() % Nodes.size()];
        Step(Asking, &Asking == &Watcher || Draw() % 3 == 0, Watcher);
        CHECK(Asking.m_Feed.revision() >= Asking.m_HighestRevision);
        Asking.m_HighestRevision = Asking.m_Feed.revision();
        break;
      }
      }
    }
    // One node reads the store to its end, the others ask it.
    for (int Turn = 0; Turn < 3; ++Turn)
      Step(Nodes[0], true, Nodes[0]);
    for (Node &Each : Nodes)
      for (int Turn = 0; Turn < 3; ++Turn)
        Step(Each, &Each == &Nodes[0], Nodes[0]);
    for (const Node &Each : Nodes)
      REQUIRE(Each.m_Known == Store.content());
  }
}

} // namespace bronzepass::core::gateway
