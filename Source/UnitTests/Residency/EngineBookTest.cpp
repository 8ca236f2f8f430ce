#include "Core/Residency/EngineBook.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using gateway::EngineState;
using gateway::OrderReply;

gateway::EngineSpec spec() {
  gateway::EngineSpec Spec;
  Spec.m_WeightsMb = 200;
  Spec.m_AdapterSlots = 2;
  Spec.m_Models = {{"m", 100, {}, 4, 5}, {"n", 90, {}, 0, 5}};
  return Spec;
}

EngineState state(uint64_t Count, std::vector<gateway::LoadedModel> Models,
                  bool Busy = false) {
  EngineState State;
  State.m_OrderCount = Count;
  State.m_Models = std::move(Models);
  State.m_Busy = Busy;
  return State;
}

gateway::PlacementOrder load(const gateway::ModelRef &Use, uint64_t Expected) {
  gateway::PlacementOrder Order;
  Order.m_ModelRef = Use;
  Order.m_ExpectedOrderCount = Expected;
  return Order;
}

EngineBook book() {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId("e");
  Entry.m_Models = {{"m", {}}};
  EngineBook Book(Entry);
  Book.reported(state(3, {{"m", {}}}));
  return Book;
}

} // namespace

TEST_CASE("nothing is ordered before the engine itself has reported") {
  gateway::EndpointEntry Entry;
  CHECK_FALSE(EngineBook(Entry).isFree());
  CHECK(book().isFree());
}

TEST_CASE("an unanswered load stays promised until the engine's count rises") {
  EngineBook Book = book();
  Book.orderSent(1, load({"n", ""}, 3), {});
  CHECK(Book.freeMb(spec()) == 10);
  CHECK_FALSE(Book.orderAnswered(OrderReply::Unknown));
  // It may still be carried out: the same count is no proof.
  CHECK_FALSE(Book.reported(state(3, {{"m", {}}})));
  CHECK(Book.freeMb(spec()) == 10);
  CHECK_FALSE(Book.isFree());
  CHECK(Book.open()->m_Phase == OrderPhase::Doubtful);
  // It was accepted and runs; then it is done.
  CHECK_FALSE(Book.reported(state(4, {{"m", {}}}, true)));
  CHECK(Book.open()->m_Phase == OrderPhase::Running);
  CHECK(Book.reported(state(4, {{"m", {}}, {"n", {}}})));
  CHECK(Book.isFree());
  CHECK(Book.freeMb(spec()) == 10);
}

TEST_CASE("a report from before the last order says nothing") {
  EngineBook Book = book();
  Book.orderSent(1, load({"m", "a1"}, 3), {});
  CHECK(Book.orderAnswered(OrderReply::Accepted));
  CHECK(Book.freeAdapterPlaces(spec()) == 1);
  CHECK_FALSE(Book.reported(state(3, {{"m", {}}})));
  CHECK(Book.holds({"m", "a1"}));
}

TEST_CASE("an entry may be older than orders: it ends a running one and takes "
          "nothing else back") {
  EngineBook Book = book();
  Book.orderSent(1, load({"m", "a1"}, 3), {});
  Book.orderAnswered(OrderReply::Accepted);
  Book.orderSent(2, load({"n", ""}, 4), {});
  Book.orderAnswered(OrderReply::Accepted);
  gateway::EndpointEntry Old = Book.entry();
  Old.m_Renewals = 7;
  CHECK_FALSE(Book.setEntry(Old));
  gateway::EndpointEntry Done = Old;
  Done.m_Models = {{"m", {}}, {"n", {}}};
  CHECK(Book.setEntry(Done));
  CHECK(Book.isFree());
  CHECK(Book.holds({"m", "a1"}));
  CHECK(Book.freeMb(spec()) == 5);
}

TEST_CASE("an engine that started again is not known") {
  EngineBook Book = book();
  gateway::EndpointEntry Reborn = Book.entry();
  Reborn.m_StartedAtMs = 99;
  Reborn.m_Models.clear();
  Book.setEntry(Reborn);
  CHECK_FALSE(Book.isFree());
  EngineState Fresh = state(0, {});
  Fresh.m_StartedAtMs = 99;
  Book.reported(Fresh);
  CHECK(Book.isFree());
  CHECK(Book.orderCount() == 0);
}

TEST_CASE("an unanswered load stays promised in the engine's next life, where "
          "its count may fit again") {
  EngineBook Book = book();
  Book.orderSent(1, load({"n", ""}, 3), model::TimePoint());
  Book.orderAnswered(OrderReply::Unknown);
  // Sent again, it meets the engine's next life and is refused.
  Book.orderSent(2, load({"n", ""}, 3), model::TimePoint());
  Book.orderAnswered(OrderReply::Busy);
  gateway::EndpointEntry Reborn = Book.entry();
  Reborn.m_StartedAtMs = 99;
  Book.setEntry(Reborn);
  EngineState Fresh = state(0, {});
  Fresh.m_StartedAtMs = 99;
  Book.reported(Fresh);
  CHECK(Book.freeMb(spec()) == 110);
  Book.expireLate(model::TimePoint(std::chrono::seconds(14)));
  CHECK(Book.freeMb(spec()) == 200);
}

TEST_CASE("what is not declared leaves no room beside it") {
  EngineBook Book = book();
  Book.reported(state(4, {{"strange", {}}}));
  CHECK(Book.freeMb(spec()) <= 0);
}

} // namespace bronzepass::core::residency
