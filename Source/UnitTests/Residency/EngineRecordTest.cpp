#include "Core/Residency/EngineRecord.h"

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

gateway::PlacementOrder unload(const gateway::ModelRef &Use,
                               uint64_t Expected) {
  gateway::PlacementOrder Order;
  Order.m_Verb = gateway::OrderVerb::Unload;
  Order.m_ModelRef = Use;
  Order.m_ExpectedOrderCount = Expected;
  return Order;
}

gateway::PlacementOrder load(const gateway::ModelRef &Use, uint64_t Expected) {
  gateway::PlacementOrder Order;
  Order.m_ModelRef = Use;
  Order.m_ExpectedOrderCount = Expected;
  return Order;
}

EngineRecord record() {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId("e");
  Entry.m_Models = {{"m", {}}};
  EngineRecord Record(Entry);
  Record.onReport(state(3, {{"m", {}}}));
  return Record;
}

} // namespace

TEST_CASE("nothing is ordered before the engine itself has reported") {
  gateway::EndpointEntry Entry;
  CHECK_FALSE(EngineRecord(Entry).canTakeOrder());
  CHECK(record().canTakeOrder());
}

TEST_CASE("an unanswered load stays promised until the engine's count rises") {
  EngineRecord Record = record();
  Record.onOrderSent(1, load({"n", ""}, 3), {});
  CHECK(Record.freeMb(spec()) == 10);
  CHECK_FALSE(Record.onOrderReply(OrderReply::Unknown));
  // It may still be carried out: the same count is no proof.
  CHECK_FALSE(Record.onReport(state(3, {{"m", {}}})));
  CHECK(Record.freeMb(spec()) == 10);
  CHECK_FALSE(Record.canTakeOrder());
  CHECK(Record.openOrder()->m_Phase == OrderPhase::Unanswered);
  // It was accepted and runs; then it is done.
  CHECK_FALSE(Record.onReport(state(4, {{"m", {}}}, true)));
  CHECK(Record.openOrder()->m_Phase == OrderPhase::Running);
  CHECK(Record.onReport(state(4, {{"m", {}}, {"n", {}}})));
  CHECK(Record.canTakeOrder());
  CHECK(Record.freeMb(spec()) == 10);
}

TEST_CASE("a report from before the last order is ignored") {
  EngineRecord Record = record();
  Record.onOrderSent(1, load({"m", "a1"}, 3), {});
  CHECK(Record.onOrderReply(OrderReply::Accepted));
  CHECK(Record.freeAdapterSlots(spec()) == 1);
  CHECK_FALSE(Record.onReport(state(3, {{"m", {}}})));
  CHECK(Record.holds({"m", "a1"}));
}

TEST_CASE("an entry that may be older than orders ends a running one and "
          "reverts nothing") {
  EngineRecord Record = record();
  Record.onOrderSent(1, load({"m", "a1"}, 3), {});
  Record.onOrderReply(OrderReply::Accepted);
  Record.onOrderSent(2, load({"n", ""}, 4), {});
  Record.onOrderReply(OrderReply::Accepted);
  gateway::EndpointEntry Old = Record.entry();
  Old.m_Renewals = 7;
  CHECK_FALSE(Record.setEntry(Old));
  gateway::EndpointEntry Done = Old;
  Done.m_Models = {{"m", {}}, {"n", {}}};
  CHECK(Record.setEntry(Done));
  CHECK(Record.canTakeOrder());
  CHECK(Record.holds({"m", "a1"}));
  CHECK(Record.freeMb(spec()) == 5);
}

// Guards against a load into the place of an adapter that requests still use.
TEST_CASE("an adapter whose unload waits for requests keeps its place until a "
          "report shows that it is gone, and other orders go on") {
  EngineRecord Record = record();
  Record.onReport(state(3, {{"m", {"a1", "a2"}}}));
  CHECK(Record.freeAdapterSlots(spec()) == 0);
  CHECK(Record.freeMb(spec()) == 90);
  Record.onOrderSent(1, unload({"m", "a1"}, 3), {});
  CHECK(Record.onOrderReply(OrderReply::Accepted));
  CHECK_FALSE(Record.holds({"m", "a1"}));
  CHECK(Record.freeAdapterSlots(spec()) == 0);
  CHECK(Record.freeMb(spec()) == 90);
  CHECK(Record.canTakeOrder());
  // The report may be older than the order.
  CHECK_FALSE(Record.onReport(state(3, {{"m", {"a2"}}})));
  CHECK(Record.freeAdapterSlots(spec()) == 0);
  Record.onReport(state(4, {{"m", {"a1", "a2"}}}));
  CHECK_FALSE(Record.holds({"m", "a1"}));
  CHECK(Record.freeAdapterSlots(spec()) == 0);
  Record.onReport(state(4, {{"m", {"a2"}}}));
  CHECK(Record.freeAdapterSlots(spec()) == 1);
  CHECK(Record.freeMb(spec()) == 95);
  CHECK(Record.leavingAdapters().empty());
}

TEST_CASE("an adapter that is loaded again while its unload waits has one "
          "place, and no place in a restarted engine") {
  EngineRecord Record = record();
  Record.onReport(state(3, {{"m", {"a1"}}}));
  Record.onOrderSent(1, unload({"m", "a1"}, 3), {});
  Record.onOrderReply(OrderReply::Accepted);
  CHECK(Record.freeAdapterSlots(spec()) == 1);
  Record.onOrderSent(2, load({"m", "a1"}, 4), {});
  CHECK(Record.freeAdapterSlots(spec()) == 1);
  Record.onOrderReply(OrderReply::Accepted);
  CHECK(Record.holds({"m", "a1"}));
  CHECK(Record.freeAdapterSlots(spec()) == 1);
  Record.onOrderSent(3, unload({"m", "a1"}, 5), {});
  Record.onOrderReply(OrderReply::Accepted);
  gateway::EndpointEntry Restarted = Record.entry();
  Restarted.m_StartedAtMs = 99;
  Record.setEntry(Restarted);
  CHECK(Record.freeAdapterSlots(spec()) == 2);
}

TEST_CASE("the state of a restarted engine is unknown until it reports") {
  EngineRecord Record = record();
  gateway::EndpointEntry Restarted = Record.entry();
  Restarted.m_StartedAtMs = 99;
  Restarted.m_Models.clear();
  Record.setEntry(Restarted);
  CHECK_FALSE(Record.canTakeOrder());
  EngineState Fresh = state(0, {});
  Fresh.m_StartedAtMs = 99;
  Record.onReport(Fresh);
  CHECK(Record.canTakeOrder());
  CHECK(Record.orderCount() == 0);
}

TEST_CASE("an unanswered load stays promised after a restart of the engine, "
          "where its expected count may match again") {
  EngineRecord Record = record();
  Record.onOrderSent(1, load({"n", ""}, 3), model::TimePoint());
  Record.onOrderReply(OrderReply::Unknown);
  // Sent again, it reaches the restarted engine and is refused.
  Record.onOrderSent(2, load({"n", ""}, 3), model::TimePoint());
  Record.onOrderReply(OrderReply::Busy);
  gateway::EndpointEntry Restarted = Record.entry();
  Restarted.m_StartedAtMs = 99;
  Record.setEntry(Restarted);
  EngineState Fresh = state(0, {});
  Fresh.m_StartedAtMs = 99;
  Record.onReport(Fresh);
  CHECK(Record.freeMb(spec()) == 110);
  Record.expireUnanswered(model::TimePoint(std::chrono::seconds(14)));
  CHECK(Record.freeMb(spec()) == 200);
}

TEST_CASE("an undeclared model leaves no free memory beside it") {
  EngineRecord Record = record();
  Record.onReport(state(4, {{"strange", {}}}));
  CHECK(Record.freeMb(spec()) <= 0);
}

} // namespace bronzepass::core::residency
