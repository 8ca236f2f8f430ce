#include "Core/IntentStore/IntentStore.h"

#include "Core/Membership/IntentParts.h"
#include "UnitTests/Fakes/FakeStore.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::intent_store {

using namespace core;
using core::intent_store::ApplyOutcome;
using core::intent_store::ApplyRequest;
using core::intent_store::ApplyStatus;
using core::intent_store::IntentStore;
using core::intent_store::ReadStatus;
using fakes::FakeStore;
using fakes::StoreFault;

namespace {

/// An operator's session on a fake store under virtual time. Several sessions
/// may share a store.
class FakeSession : public core::intent_store::StoreSession {
public:
  FakeSession(FakeStore &Store, std::string Operator)
      : m_Store(Store), m_Caller(std::move(Operator)) {}

  ports::StoreAnswer call(ports::StoreCall Call) override {
    if (m_BeforeCall)
      m_BeforeCall(Call);
    Call.m_Id = {++m_LastId};
    m_Store.submit(m_Caller, Call, m_Now);
    while (true) {
      m_Now += std::chrono::milliseconds(1);
      for (const FakeStore::DueAnswer &Due : m_Store.takeDue(m_Now))
        if (Due.m_Answer.m_Id == Call.m_Id)
          return Due.m_Answer;
    }
  }

  bool backOff() override { return --m_TriesLeft > 0; }

  std::function<void(const ports::StoreCall &)> m_BeforeCall;
  int m_TriesLeft = 5;

private:
  FakeStore &m_Store;
  model::NodeId m_Caller;
  model::TimePoint m_Now;
  uint64_t m_LastId = 0;
};

ApplyRequest request(const std::string &Text, uint64_t Base,
                     const std::string &Author) {
  return {Text, model::Generation{Base}, Author, Author + "'s change"};
}

bool isHeadWrite(const ports::StoreCall &Call) {
  return Call.m_Key == membership::intentHeadKey() && Call.m_Record.has_value();
}

} // namespace

TEST_CASE("of two operators who change the same generation, the second gets "
          "a conflict that lists the first's change") {
  FakeStore Store;
  FakeSession Ana(Store, "ana");
  FakeSession Luis(Store, "luis");
  CHECK(IntentStore(Ana).apply(request("a: 1\n", 0, "ana")).m_Status ==
        ApplyStatus::Accepted);
  // Another change is accepted between the read and the write of Luis' command.
  bool Overtaken = false;
  Luis.m_BeforeCall = [&](const ports::StoreCall &Call) {
    if (!isHeadWrite(Call) || Overtaken)
      return;
    Overtaken = true;
    CHECK(IntentStore(Ana).apply(request("a: 2\n", 1, "ana")).m_Status ==
          ApplyStatus::Accepted);
  };
  const ApplyOutcome Second =
      IntentStore(Luis).apply(request("a: 3\n", 1, "luis"));
  CHECK(Second.m_Status == ApplyStatus::Conflict);
  REQUIRE(Second.m_ChangesSinceBase.size() == 1);
  CHECK(Second.m_ChangesSinceBase[0].m_Author == "ana");
  CHECK(Second.m_ChangesSinceBase[0].m_Summary == "ana's change");
  CHECK(IntentStore(Ana).read().m_Current.m_Text == "a: 2\n");
}

TEST_CASE(
    "a write whose answer was lost is accepted once and reported accepted") {
  FakeStore Store;
  FakeSession Session(Store, "ana");
  int Lost = 0;
  Store.m_Fault = [&Lost](const ports::StoreCall &Call) {
    return isHeadWrite(Call) && Lost++ == 0 ? StoreFault::LostAnswer
                                            : StoreFault::None;
  };
  const ApplyOutcome Outcome =
      IntentStore(Session).apply(request("a: 1\n", 0, "ana"));
  CHECK(Outcome.m_Status == ApplyStatus::Accepted);
  CHECK(Outcome.m_Generation == model::Generation{1});
  CHECK(IntentStore(Session).read().m_Current.m_Head.m_Generation ==
        model::Generation{1});
}

TEST_CASE("a write with a lost answer is found accepted after another change") {
  FakeStore Store;
  FakeSession Ana(Store, "ana");
  FakeSession Luis(Store, "luis");
  int HeadWrites = 0;
  Store.m_Fault = [&HeadWrites](const ports::StoreCall &Call) {
    return isHeadWrite(Call) && HeadWrites++ == 0 ? StoreFault::LostAnswer
                                                  : StoreFault::None;
  };
  Ana.m_BeforeCall = [&](const ports::StoreCall &Call) {
    if (isHeadWrite(Call) && HeadWrites == 1)
      CHECK(IntentStore(Luis).apply(request("a: 2\n", 1, "luis")).m_Status ==
            ApplyStatus::Accepted);
  };
  CHECK(IntentStore(Ana).apply(request("a: 1\n", 0, "ana")).m_Status ==
        ApplyStatus::Accepted);
}

TEST_CASE("applying is unavailable while the store is down and unknown if "
          "the write of the head is lost") {
  FakeStore Store;
  FakeSession Session(Store, "ana");
  Store.m_Fault = [](const ports::StoreCall &) { return StoreFault::Down; };
  CHECK(IntentStore(Session).apply(request("a: 1\n", 0, "ana")).m_Status ==
        ApplyStatus::Unavailable);
  Session.m_TriesLeft = 5;
  Store.m_Fault = [](const ports::StoreCall &Call) {
    return isHeadWrite(Call) ? StoreFault::LostCall : StoreFault::None;
  };
  CHECK(IntentStore(Session).apply(request("a: 1\n", 0, "ana")).m_Status ==
        ApplyStatus::Unknown);
}

TEST_CASE(
    "parts that the new generation doesn't use are deleted, others kept") {
  FakeStore Store;
  FakeSession Session(Store, "ana");
  std::string Long;
  for (int I = 0; I < 20000; ++I)
    Long += "line: " + std::to_string(I * 7919) + "\n";
  IntentStore Intents(Session);
  CHECK(Intents.apply(request(Long, 0, "ana")).m_Status ==
        ApplyStatus::Accepted);
  const std::vector<uint64_t> Before =
      Intents.read().m_Current.m_Head.m_PartHashes;
  REQUIRE(Before.size() > 2);
  CHECK(Intents.apply(request(Long + "more: 1\n", 1, "ana")).m_Status ==
        ApplyStatus::Accepted);
  const auto Now = Intents.read();
  CHECK(Now.m_Status == ReadStatus::Found);
  CHECK(Now.m_Current.m_Text == Long + "more: 1\n");
  CHECK(Store.find(membership::intentPartKey(Before.front())) != nullptr);
  CHECK(Store.find(membership::intentPartKey(Before.back())) == nullptr);
}

} // namespace bronzepass::unit_tests::intent_store
