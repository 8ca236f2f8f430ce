#include "Core/Adapters/Yaml/YamlIntentReader.h"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace bronzepass::unit_tests::adapters::yaml {

using namespace core;

namespace {

ports::IntentReadResult read(const std::string &Text) {
  return core::adapters::yaml::YamlIntentReader().read(Text, "intent.yaml");
}

std::string formatFindings(const model::FindingList &Findings) {
  std::string Text;
  for (const model::Finding &Each : Findings)
    Text += model::toString(Each) + "\n";
  return Text;
}

std::string fileText(const std::string &Path) {
  std::ifstream Stream(Path);
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace

TEST_CASE(
    "eight faults in an intent are reported together with their positions") {
  const std::string Text = R"(name: broken
modles: []
models:
  - name: gas
    versions:
      - {version: "1", memory: 14, load-time: 40s}
      - {version: "1", memory: 14GiB, load-time: forty}
  - name: gas
    versions: [{version: "1", memory: 1GiB, load-time: 1s}]
adapters:
  - {name: river, base: gaz, memory: 100MiB, load-time: 1s}
pools:
  - name: engines
    fencing: refuse
    endpoints:
      - {name: e1, address: engine.example:8000, failure-domain: a, memory: 80GiB}
)";
  const ports::IntentReadResult Result = read(Text);
  CHECK_FALSE(Result.m_Intent.has_value());
  CHECK(
      formatFindings(Result.m_Findings) ==
      R"(intent.yaml:2:1: error: intent: unknown key 'modles' (did you mean 'models'?)
intent.yaml:6:32: error: version: 'memory' is '14', expected a size with its unit, e.g. 14GiB
intent.yaml:7:9: error: model 'gas': version '1' is given twice
intent.yaml:7:50: error: version: 'load-time' is 'forty', expected a time with its unit, e.g. 40s
intent.yaml:8:11: error: models: name 'gas' is given twice
intent.yaml:11:25: error: adapter 'river': no model 'gaz' (did you mean 'gas'?)
intent.yaml:14:14: error: pool: 'fencing' is 'refuse', expected one of refuses, ignores (did you mean 'refuses'?)
intent.yaml:16:29: error: endpoint: 'address' is 'engine.example:8000', expected an IP number and a port, e.g. 10.1.0.11:8000
)");
}

TEST_CASE("a syntax error is reported as a finding, not an exception") {
  const ports::IntentReadResult Result = read("name: [");
  REQUIRE(Result.m_Findings.size() == 1);
  CHECK(Result.m_Findings[0].m_Location.m_Line == 1);
  CHECK_FALSE(read("").m_Intent.has_value());
  CHECK_FALSE(read("- 1\n- 2\n").m_Intent.has_value());
}

TEST_CASE("a model that fits on no engine is refused") {
  const ports::IntentReadResult Result = read(R"(name: tight
models:
  - {name: big, versions: [{version: "1", memory: 95GiB, load-time: 40s}]}
pools:
  - name: engines
    kv-reserve-percent: 10
    endpoints:
      - {name: e1, address: "10.0.0.1:1", failure-domain: a, memory: 100GiB}
)");
  REQUIRE(Result.m_Findings.size() == 1);
  CHECK(Result.m_Findings[0].m_Message.find("fits on no engine") !=
        std::string::npos);
}

TEST_CASE("more engine pools than concurrent loads are refused") {
  const ports::IntentReadResult Result = read(R"(name: crowded
weight-store: {concurrent-loads: 1}
pools:
  - name: first
    endpoints:
      - {name: e1, address: "10.0.0.1:1", failure-domain: a, memory: 100GiB}
  - name: second
    endpoints:
      - {name: e2, address: "10.0.0.2:1", failure-domain: a, memory: 100GiB}
)");
  REQUIRE(Result.m_Findings.size() == 1);
  CHECK(Result.m_Findings[0].m_Location.m_Line == 4);
}

TEST_CASE("the example intents of both deployments are read in full") {
  const std::string Dielectrica = fileText("Examples/dielectrica/intent.yaml");
  const ports::IntentReadResult First = read(Dielectrica);
  CHECK(formatFindings(First.m_Findings).empty());
  REQUIRE(First.m_Intent.has_value());
  CHECK(First.m_Intent->m_Models.size() == 15);
  CHECK(First.m_Intent->m_Adapters.size() == 77);
  CHECK(First.m_Intent->m_Pools.at(0).m_Endpoints.size() == 12);
  CHECK(First.m_Intent->m_Pools.at(1).m_Endpoints.size() == 4);
  CHECK(First.m_Intent->m_WeightStore ==
        model::WeightStoreSpec{.m_LoadsPerSecond = 2, .m_ConcurrentLoads = 8});

  const ports::IntentReadResult Second =
      read(fileText("Examples/nile/intent.yaml"));
  CHECK(formatFindings(Second.m_Findings).empty());
  REQUIRE(Second.m_Intent.has_value());
  CHECK(Second.m_Intent->m_Models.size() == 31);
  CHECK(Second.m_Intent->m_Adapters.size() == 98);
  CHECK(Second.m_Intent->m_Pools.at(0).m_Endpoints.size() == 18);
  CHECK(Second.m_Intent->m_Pools.at(1).m_Endpoints.size() == 3);
}

} // namespace bronzepass::unit_tests::adapters::yaml
