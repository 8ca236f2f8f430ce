#include "Core/Residency/AdapterScheduler.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;
using gateway::ModelUse;
using gateway::OrderVerb;

gateway::EngineSpec spec() {
  gateway::EngineSpec Spec;
  Spec.m_WeightsMb = 200;
  Spec.m_AdapterPlaces = 2;
  Spec.m_Models = {{"m", 100, {}, 9, 1}};
  return Spec;
}

EngineRecord engine(const char *Id, std::vector<std::string> Adapters,
                    bool Busy = false) {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId(Id);
  EngineRecord Book(Entry);
  gateway::EngineState State;
  State.m_Models = {{"m", std::move(Adapters)}};
  State.m_Busy = Busy;
  Book.onReport(State);
  return Book;
}

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

} // namespace

TEST_CASE("an adapter goes where most places are free") {
  const AdapterScheduler Desk(1500ms);
  const EngineRecord Full = engine("a", {"a1"});
  const EngineRecord Empty = engine("b", {});
  const std::optional<AdapterStep> Step =
      Desk.stepFor({"m", "a9"}, spec(), {&Full, &Empty}, at(10s));
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Load);
  CHECK(Step->m_Endpoint == model::EndpointId("b"));
}

TEST_CASE("without a place the adapter used longest ago makes way, and none "
          "that is in use") {
  AdapterScheduler Desk(1500ms);
  const EngineRecord Full = engine("a", {"a1", "a2"});
  Desk.used({"m", "a1"}, at(9s));
  Desk.used({"m", "a2"}, at(3s));
  const std::optional<AdapterStep> Step =
      Desk.stepFor({"m", "a9"}, spec(), {&Full}, at(10s));
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Unload);
  CHECK(Step->m_Use == ModelUse{"m", "a2"});
  Desk.used({"m", "a2"}, at(10s));
  CHECK_FALSE(Desk.stepFor({"m", "a9"}, spec(), {&Full}, at(10s)));
}

TEST_CASE("a busy engine takes no order; a want ends by itself") {
  AdapterScheduler Desk(1500ms);
  const EngineRecord Busy = engine("a", {}, true);
  CHECK_FALSE(Desk.stepFor({"m", "a9"}, spec(), {&Busy}, at(10s)));
  Desk.want({"m", "a9"}, at(11s));
  Desk.expire(at(10s));
  CHECK(Desk.wanted().size() == 1);
  Desk.expire(at(11s));
  CHECK(Desk.wanted().empty());
}

} // namespace bronzepass::core::residency
