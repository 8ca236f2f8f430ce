#include "Core/Gateway/StreamRecordKeeper.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;
using Verb = StreamRecordCall::Verb;

StreamNotice record(StreamKey Stream, model::Duration Remaining = 60s) {
  return {{{Stream, "v1"}}, {{"s", Remaining}}};
}

struct Keeper {
  std::optional<StreamRecordCall> next() { return m_Keeper.nextCall(m_Now); }
  Verb nextVerb() {
    const std::optional<StreamRecordCall> Call = next();
    REQUIRE(Call);
    m_Last = *Call;
    return Call->m_Verb;
  }
  void answer(WriteResult Result) { m_Keeper.onWritten(m_Last, Result, m_Now); }

  StreamRecordKeeper m_Keeper;
  StreamRecordCall m_Last;
  model::TimePoint m_Now = model::TimePoint(100s);
};

} // namespace

TEST_CASE("what nodes have recorded is read in pages, and again after a "
          "failure") {
  Keeper Node;
  CHECK(Node.nextVerb() == Verb::List);
  CHECK_FALSE(Node.next());
  Node.m_Keeper.onListFailed(Node.m_Now);
  CHECK_FALSE(Node.next());
  Node.m_Now += 1s;
  CHECK(Node.nextVerb() == Verb::List);
  CHECK_FALSE(Node.m_Keeper.onListed({"0", "1"}, {record(1)}, true));
  CHECK(Node.nextVerb() == Verb::List);
  CHECK(Node.m_Last.m_After == "1");
  const std::optional<StreamNotice> All =
      Node.m_Keeper.onListed({"2"}, {record(2)}, false);
  REQUIRE(All);
  CHECK(All->m_Origins.size() == 2);
  CHECK_FALSE(Node.next());
}

// Guards against a record that is replaced by that of a node which does not
// know what the nodes before it recorded.
TEST_CASE("nothing is written before the list was read, nor without a slot") {
  Keeper Node;
  Node.m_Keeper.setSlot(1);
  Node.m_Keeper.setRecord(record(1));
  CHECK(Node.nextVerb() == Verb::List);
  Node.m_Keeper.onListed({}, {}, false);
  Node.m_Keeper.setSlot(std::nullopt);
  CHECK_FALSE(Node.next());
  Node.m_Keeper.setSlot(1);
  CHECK(Node.nextVerb() == Verb::Create);
  CHECK(Node.m_Last.m_Name == "1");
}

TEST_CASE("a record is written when it has news, and removed when no version "
          "is mixed any more") {
  Keeper Node;
  Node.nextVerb();
  Node.m_Keeper.onListed({"0", "2"}, {}, false);
  Node.m_Keeper.setSlot(0);
  CHECK_FALSE(Node.next());
  Node.m_Keeper.setRecord(record(1));
  CHECK(Node.nextVerb() == Verb::Replace);
  Node.answer(WriteResult::Done);
  Node.m_Keeper.setRecord(record(1, 59s));
  CHECK_FALSE(Node.next());
  Node.m_Keeper.setRecord(record(1, 49s));
  CHECK(Node.nextVerb() == Verb::Replace);
  Node.answer(WriteResult::Done);
  Node.m_Keeper.setRecord(record(2, 49s));
  CHECK(Node.nextVerb() == Verb::Replace);
  Node.answer(WriteResult::Done);
  Node.m_Keeper.setRecord({});
  CHECK(Node.nextVerb() == Verb::Remove);
  Node.answer(WriteResult::Done);
  CHECK(Node.nextVerb() == Verb::Remove);
  Node.answer(WriteResult::NotFound);
  CHECK_FALSE(Node.next());
}

TEST_CASE("a record is written again after a conflict, a failure and a "
          "restore of the store") {
  Keeper Node;
  Node.nextVerb();
  Node.m_Keeper.onListed({}, {}, false);
  Node.m_Keeper.setSlot(0);
  Node.m_Keeper.setRecord(record(1));
  CHECK(Node.nextVerb() == Verb::Create);
  Node.answer(WriteResult::AlreadyExists);
  CHECK(Node.nextVerb() == Verb::Replace);
  Node.answer(WriteResult::NotFound);
  CHECK(Node.nextVerb() == Verb::Create);
  Node.answer(WriteResult::Failed);
  CHECK_FALSE(Node.next());
  Node.m_Now += 2s;
  CHECK(Node.nextVerb() == Verb::Create);
  Node.answer(WriteResult::Done);
  CHECK_FALSE(Node.next());
  Node.m_Keeper.onStoreRestored();
  CHECK(Node.nextVerb() == Verb::Replace);
}

} // namespace bronzepass::core::gateway
