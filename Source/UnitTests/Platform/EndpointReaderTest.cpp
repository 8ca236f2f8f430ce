#include "platform/EndpointReader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzepass::platform {

namespace {

nlohmann::json entry() {
  return nlohmann::json::parse(
      R"({"Service":"s","Address":"10.1.2.3:8080","Zone":"z","Version":"v1","Slots":48,
"State":"ready","ColdLeftMs":0,"Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],
"Sequence":4,"born":1700000000123})");
}

bool isAccepted(const nlohmann::json &Value) {
  return readEndpoint("i-1", Value.dump()).m_Value.has_value();
}

} // namespace

TEST_CASE("a registration yields an endpoint and its start time") {
  const core::gateway::EndpointEntry Entry =
      *readEndpoint("i-1", entry().dump()).m_Value;
  CHECK(Entry.m_Id == core::model::EndpointId("i-1"));
  CHECK(Entry.m_StartedAtMs == 1700000000123);
  CHECK(Entry.m_Address == core::model::Address{"10.1.2.3", 8080});
  CHECK(Entry.m_Models[0].hasAdapter("a1"));
  CHECK_FALSE(Entry.m_Draining);
  CHECK(Entry.m_SoftwareVersion == "v1");
}

TEST_CASE("an incomplete or malformed registration yields no endpoint") {
  for (const char *const Key :
       {"Service", "Address", "Zone", "Slots", "State"}) {
    nlohmann::json Missing = entry();
    Missing.erase(Key);
    CHECK_FALSE(isAccepted(Missing));
    for (const nlohmann::json &BadValue :
         {nlohmann::json(-1), nlohmann::json::array(), nlohmann::json("odd"),
          nlohmann::json(1.5), nlohmann::json(nullptr)}) {
      nlohmann::json Modified = entry();
      Modified[Key] = BadValue;
      const bool AcceptsAnyText =
          BadValue == "odd" &&
          (std::string(Key) == "Service" || std::string(Key) == "Zone");
      CHECK(isAccepted(Modified) == AcceptsAnyText);
    }
  }
  nlohmann::json BadStartTime = entry();
  BadStartTime["born"] = 17.5;
  CHECK_FALSE(isAccepted(BadStartTime));
  nlohmann::json BadModels = entry();
  BadModels["Models"] = {{"m", 1}};
  CHECK_FALSE(isAccepted(BadModels));
  CHECK_FALSE(readEndpoint("i-1", "\xff\xfe").m_Value);
  CHECK_FALSE(readEndpoint("i-1", "null").m_Value);
}

TEST_CASE("an engine's report lists loaded models and pending loads") {
  const core::gateway::EngineState State =
      *readReport(
           R"({"Phase":"colocated","Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],
"Busy":true,"Sequence":2,"Pending":["m/a3@1"],"Available":{"Resident":["m@1"],"OnDisk":["n"]}})")
           .m_Value;
  CHECK(State.m_OrderCount == 2);
  CHECK(State.m_Busy);
  CHECK(State.m_Pending == std::vector<core::gateway::ModelRef>{{"m", "a3"}});
  CHECK(State.m_LocalWeights == std::vector<std::string>{"m", "n"});
  CHECK_FALSE(readReport(R"({"Models":[]})").m_Value);
}

TEST_CASE("counts that do not fit their type are errors") {
  nlohmann::json Large = entry();
  Large["Slots"] = 4294967297;
  CHECK_FALSE(isAccepted(Large));
  Large["Slots"] = 18446744073709551615ULL;
  CHECK_FALSE(isAccepted(Large));
  Large["Slots"] = 4294967295;
  CHECK(isAccepted(Large));
}

} // namespace bronzepass::platform
