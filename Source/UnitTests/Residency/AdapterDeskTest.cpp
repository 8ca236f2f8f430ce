#include "Core/Residency/AdapterDesk.h"

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

EngineBook engine(const char *Id, std::vector<std::string> Adapters,
                  bool Busy = false) {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId(Id);
  EngineBook Book(Entry);
  gateway::EngineState State;
  State.m_Models = {{"m", std::move(Adapters)}};
  State.m_Busy = Busy;
  Book.reported(State);
  return Book;
}

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

} // namespace

TEST_CASE("an adapter goes where most places are free") {
  const AdapterDesk Desk(1500ms);
  const EngineBook Full = engine("a", {"a1"});
  const EngineBook Empty = engine("b", {});
  const std::optional<AdapterStep> Step =
      Desk.stepFor({"m", "a9"}, spec(), {&Full, &Empty}, at(10s));
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Load);
  CHECK(Step->m_Endpoint == model::EndpointId("b"));
}

TEST_CASE("without a place the adapter used longest ago makes way, and none "
          "that is in use") {
  AdapterDesk Desk(1500ms);
  const EngineBook Full = engine("a", {"a1", "a2"});
  Desk.used({"m", "a1"}, at(9s));
  Desk.used({"m", "a2"}, at(3s));
  const std::optional<AdapterStep> Step =
      Desk.stepFor({"m", "a9"}, spec(), {&Full}, at(10s));
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Unload);
  CHECK(Step->m_ModelRef == ModelRef{"m", "a2"});
  Desk.used({"m", "a2"}, at(10s));
  CHECK_FALSE(Desk.stepFor({"m", "a9"}, spec(), {&Full}, at(10s)));
}

TEST_CASE("a busy engine takes no order; a want ends by itself") {
  AdapterDesk Desk(1500ms);
  const EngineBook Busy = engine("a", {}, true);
  CHECK_FALSE(Desk.stepFor({"m", "a9"}, spec(), {&Busy}, at(10s)));
  Desk.want({"m", "a9"}, at(11s));
  Desk.expire(at(10s));
  CHECK(Desk.wanted().size() == 1);
  Desk.expire(at(11s));
  CHECK(Desk.wanted().empty());
}

} // namespace bronzepass::core::residency
