#include "Core/Adapters/Yaml/SettingsReader.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::adapters::yaml {

using namespace core;
using core::adapters::yaml::readSettings;
using core::adapters::yaml::SettingsReadResult;

TEST_CASE(
    "eight faults in settings are reported together with their positions") {
  const SettingsReadResult Result = readSettings(R"(node:
  vm: entry-1
  failure-domain: [a, b]
  regoin: caribbean
listen:
  callers: 127.0.0.1:80801
  peers: 127.0.0.1:1
  operators: 127.0.0.1:2
platform:
  object-api: 127.0.0.1:3
  calls-per-second: many
timeouts:
  connect: 300
  stop: 1ms
logs:
  routing: verbose
)",
                                                 "node.yaml");
  CHECK_FALSE(Result.m_Settings.has_value());
  std::string Listing;
  for (const model::Finding &Each : Result.m_Findings)
    Listing += model::toString(Each) + "\n";
  CHECK(Listing == R"(node.yaml:2:3: error: node: 'region' is missing
node.yaml:3:19: error: node: 'failure-domain' must be a single value
node.yaml:4:3: error: node: unknown key 'regoin' (did you mean 'region'?)
node.yaml:6:12: error: listen: 'callers' is '127.0.0.1:80801', expected an IP number and a port, e.g. 10.1.0.11:8000
node.yaml:11:21: error: platform: 'calls-per-second' is 'many', expected a whole number
node.yaml:13:12: error: timeouts: 'connect' is '300', expected a time with its unit, e.g. 40s
node.yaml:14:9: error: timeouts: 'stop' is 1ms, expected 1s to 3600s
node.yaml:16:12: error: logs: 'routing' is 'verbose', expected one of trace, debug, info, warn, error, off
)");
}

TEST_CASE("settings that are not given take their defaults") {
  const SettingsReadResult Result = readSettings(R"(
node: {vm: entry-1, failure-domain: a, region: r}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {object-api: "127.0.0.1:4"}
timeouts: {connect: 250ms}
)",
                                                 "node.yaml");
  REQUIRE(Result.m_Settings.has_value());
  const settings::NodeSettings &Settings = *Result.m_Settings;
  CHECK(Settings.get(settings::TimeoutConnect) ==
        std::chrono::milliseconds(250));
  CHECK(Settings.get(settings::TimeoutStop) ==
        *settings::TimeoutStop.m_Default);
  CHECK(Settings.get(settings::ListenPeers) == model::Address{"127.0.0.1", 2});
}

} // namespace bronzepass::unit_tests::adapters::yaml
