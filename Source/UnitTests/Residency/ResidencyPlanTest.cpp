#include "Core/Residency/ResidencyPlan.h"

#include <doctest/doctest.h>
#include <memory>

namespace bronzepass::core::residency {

namespace {

using gateway::OrderVerb;

constexpr double TokensPerRequest = 50;

/// Engines with room for two models each; all models are of the same size.
class PlanFixture {
public:
  explicit PlanFixture(const std::vector<std::vector<std::string>> &Held) {
    m_Spec.m_Slots = 10;
    m_Spec.m_WeightsMb = 210;
    m_Spec.m_AdapterSlots = 8;
    for (const char *const Name : {"hot", "warm", "cold", "rare"})
      m_Spec.m_Models.push_back({Name, 100, std::chrono::seconds(4), 2, 1});
    for (size_t I = 0; I < Held.size(); ++I) {
      gateway::EndpointEntry Entry;
      Entry.m_Id = model::EndpointId("e" + std::to_string(I));
      m_Records.push_back(std::make_unique<EngineRecord>(Entry));
      gateway::EngineState State;
      for (const std::string &Model : Held[I])
        State.m_Models.push_back({Model, {}});
      m_Records.back()->onReport(State);
    }
  }

  std::optional<PlanStep> next(std::map<std::string, double> Demand) {
    PlanInputs Inputs;
    Inputs.m_Spec = &m_Spec;
    for (const std::unique_ptr<EngineRecord> &Each : m_Records)
      Inputs.m_Engines.push_back(Each.get());
    for (const auto &Each : Demand)
      Inputs.m_DemandSamples += Each.second / TokensPerRequest;
    Inputs.m_Demand = std::move(Demand);
    Inputs.m_ReservedFor = m_ReservedFor;
    Inputs.m_StoreLoadAllowed = m_StoreLoadAllowed;
    return planStep(Inputs);
  }

  gateway::EngineSpec m_Spec;
  std::vector<std::unique_ptr<EngineRecord>> m_Records;
  std::map<model::EndpointId, std::string> m_ReservedFor;
  bool m_StoreLoadAllowed = true;
};

} // namespace

TEST_CASE("a model without a copy is loaded first, whatever demand says") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"hot"}});
  const std::optional<PlanStep> Step = Plan.next({{"hot", 90000}});
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Load);
  CHECK(Step->m_Model == "rare");
  CHECK(Step->m_Endpoint == model::EndpointId("e2"));
}

TEST_CASE("demand that shifts to another model evicts copies of the idle "
          "one, but never a last copy") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"hot", "rare"}});
  const std::optional<PlanStep> Step = Plan.next({{"warm", 90000}});
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Unload);
  CHECK(Step->m_Model == "hot");
  CHECK(Step->m_ForModel == "warm");
  PlanFixture Full({{"hot", "warm"}, {"cold", "rare"}});
  CHECK_FALSE(Full.next({{"warm", 90000}}));
}

TEST_CASE("room that was made is filled with the model it was made for") {
  PlanFixture Plan({{"hot", "warm"}, {"cold"}, {"hot", "rare"}});
  Plan.m_ReservedFor[model::EndpointId("e1")] = "warm";
  const std::optional<PlanStep> Step = Plan.next({{"warm", 90000}});
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Load);
  CHECK(Step->m_Model == "warm");
  CHECK(Step->m_Endpoint == model::EndpointId("e1"));
}

TEST_CASE("single requests on idle engines move nothing") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"hot", "rare"}});
  CHECK_FALSE(Plan.next({{"warm", 10}}));
  CHECK_FALSE(Plan.next({}));
}

TEST_CASE("without demand every copy stays where it is, and free room takes "
          "second copies") {
  PlanFixture Plan({{"hot", "warm"},
                    {"hot", "cold"},
                    {"hot", "rare"},
                    {"hot"},
                    {"hot"},
                    {"hot"}});
  const std::optional<PlanStep> Step = Plan.next({});
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Load);
  CHECK(Step->m_Model != "hot");
  PlanFixture Full({{"hot", "warm"}, {"hot", "cold"}, {"hot", "rare"}});
  CHECK_FALSE(Full.next({}));
}

TEST_CASE("the first requests after idle time evict no copy of another model") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"warm", "rare"}});
  CHECK_FALSE(Plan.next({{"hot", 140}}));
}

TEST_CASE("no load from the weight store starts above its rate") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"hot"}});
  Plan.m_StoreLoadAllowed = false;
  CHECK_FALSE(Plan.next({}));
}

TEST_CASE("constant demand leads to a stable placement") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"warm", "rare"}});
  CHECK_FALSE(Plan.next({{"hot", 50000}, {"warm", 50000}}));
}

TEST_CASE("demand moves down the list while engines have slots to spare: "
          "copies follow at once") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"hot", "rare"}});
  Plan.m_Spec.m_Slots = 96;
  // Some 50 requests of the last seconds, three quarters for the other model.
  const std::optional<PlanStep> Step =
      Plan.next({{"hot", 600}, {"warm", 1900}});
  REQUIRE(Step);
  CHECK(Step->m_Verb == OrderVerb::Unload);
  CHECK(Step->m_Model == "hot");
  CHECK(Step->m_ForModel == "warm");
}

TEST_CASE("few requests that differ by chance move nothing") {
  PlanFixture Plan({{"hot", "warm"}, {"hot", "cold"}, {"warm", "rare"}});
  CHECK_FALSE(Plan.next({{"hot", 200}, {"warm", 100}}));
  CHECK_FALSE(Plan.next({{"hot", 100}, {"warm", 200}}));
}

} // namespace bronzepass::core::residency
