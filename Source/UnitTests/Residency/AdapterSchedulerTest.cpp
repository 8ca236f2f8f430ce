#include "Core/Residency/AdapterScheduler.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;
using gateway::ModelRef;
using gateway::OrderVerb;

gateway::EngineSpec spec() {
  gateway::EngineSpec Spec;
  Spec.m_WeightsMb = 200;
  Spec.m_AdapterSlots = 2;
  Spec.m_Models = {{"m", 100, {}, 9, 1}};
  return Spec;
}

EngineRecord engine(const char *Id, std::vector<std::string> Adapters,
                    bool Busy = false) {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId(Id);
  EngineRecord Record(Entry);
  gateway::EngineState State;
  State.m_Models = {{"m", std::move(Adapters)}};
  State.m_Busy = Busy;
  Record.onReport(State);
  return Record;
}

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

} // namespace

TEST_CASE("an adapter is loaded on the engine with the most free slots") {
  const AdapterScheduler Scheduler(1500ms);
  const EngineRecord Full = engine("a", {"a1"});
  const EngineRecord Empty = engine("b", {});
  const std::optional<AdapterOrder> Order =
      Scheduler.nextOrder({"m", "a9"}, spec(), {&Full, &Empty}, at(10s));
  REQUIRE(Order);
  CHECK(Order->m_Verb == OrderVerb::Load);
  CHECK(Order->m_Endpoint == model::EndpointId("b"));
}

TEST_CASE("without a free slot the least recently used adapter is unloaded, "
          "but none that is in use") {
  AdapterScheduler Scheduler(1500ms);
  const EngineRecord Full = engine("a", {"a1", "a2"});
  Scheduler.recordUse({"m", "a1"}, at(9s));
  Scheduler.recordUse({"m", "a2"}, at(3s));
  const std::optional<AdapterOrder> Order =
      Scheduler.nextOrder({"m", "a9"}, spec(), {&Full}, at(10s));
  REQUIRE(Order);
  CHECK(Order->m_Verb == OrderVerb::Unload);
  CHECK(Order->m_ModelRef == ModelRef{"m", "a2"});
  Scheduler.recordUse({"m", "a2"}, at(10s));
  CHECK_FALSE(Scheduler.nextOrder({"m", "a9"}, spec(), {&Full}, at(10s)));
}

TEST_CASE("a busy engine gets no order, and a request expires") {
  AdapterScheduler Scheduler(1500ms);
  const EngineRecord Busy = engine("a", {}, true);
  CHECK_FALSE(Scheduler.nextOrder({"m", "a9"}, spec(), {&Busy}, at(10s)));
  Scheduler.request({"m", "a9"}, at(11s));
  Scheduler.expire(at(10s));
  CHECK(Scheduler.requested().size() == 1);
  Scheduler.expire(at(11s));
  CHECK(Scheduler.requested().empty());
}

} // namespace bronzepass::core::residency
