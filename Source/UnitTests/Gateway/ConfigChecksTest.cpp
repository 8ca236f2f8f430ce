#include "Core/Gateway/ConfigChecks.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

namespace bronzepass::unit_tests {

namespace gateway = core::gateway;
namespace model = core::model;
namespace organisations = core::organisations;
using namespace std::chrono_literals;

namespace {

gateway::RouteSpec route(const std::string &Name, const std::string &Prefix) {
  gateway::RouteSpec Route;
  Route.m_Name = Name;
  Route.m_Host = "h";
  Route.m_PathPrefix = Prefix;
  Route.m_Services = {{"s", 1}};
  Route.m_Timeout = 4s;
  Route.m_LatencyTarget = 1s;
  return Route;
}

gateway::GatewayConfig soundConfig() {
  gateway::GatewayConfig Config;
  Config.m_Version = 1;
  Config.m_Routes = {route("r", "/a/"), route("q", "/a/b/")};
  gateway::ServiceSpec Service;
  Service.m_Name = "s";
  Service.m_Engine = gateway::EngineSpec();
  Service.m_Engine->m_WeightsMb = 100;
  Service.m_Engine->m_AdapterSlots = 2;
  Service.m_Engine->m_LoadsPerSecond = 1;
  Service.m_Engine->m_Models = {{"m", 40, 2s, 3, 1}};
  Config.m_Services = {Service};
  const organisations::QuotaSpec Quota{organisations::QuotaSpec::Unit::Tokens,
                                       4200, 8400, 200};
  Config.m_Organisations = {{"o", {organisations::digestOf("1")}, 1, Quota}};
  return Config;
}

bool finds(const gateway::GatewayConfig &Config, model::Severity Level,
           const std::string &Place, const std::string &Words) {
  const model::FindingList Findings = gateway::checkConfig(Config);
  return std::any_of(
      Findings.begin(), Findings.end(), [&](const model::Finding &Each) {
        return Each.m_Severity == Level && Each.m_Location.m_File == Place &&
               Each.m_Message.find(Words) != std::string::npos;
      });
}

} // namespace

TEST_CASE("a sound configuration has no findings") {
  CHECK(gateway::checkConfig(soundConfig()).empty());
}

TEST_CASE("routes that can never match are found") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Routes.push_back(route("again", "/a/"));
  Config.m_Routes.push_back(route("odd", "/c"));
  CHECK(finds(Config, model::Severity::Warning, "route r", "never matches"));
  CHECK(finds(Config, model::Severity::Warning, "route odd", "slash"));
  CHECK_FALSE(
      finds(Config, model::Severity::Warning, "route again", "never matches"));
}

TEST_CASE("hosts are compared as routes are found: without case and port") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Routes.push_back(route("again", "/a/"));
  Config.m_Routes.back().m_Host = "H:80";
  CHECK(finds(Config, model::Severity::Warning, "route r", "never matches"));
}

TEST_CASE("services that are missing or get nothing are found") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Routes[0].m_Services = {{"s", 0}, {"t", 3}};
  Config.m_Routes[1].m_Services = {{"s", 0}};
  CHECK(finds(Config, model::Severity::Error, "route r", "called t"));
  CHECK(finds(Config, model::Severity::Warning, "route r", "weight is 0"));
  CHECK(finds(Config, model::Severity::Warning, "route q", "all weights"));
  CHECK_FALSE(
      finds(Config, model::Severity::Warning, "route q", "gets no request"));
}

TEST_CASE("limits of a route that contradict each other are found") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Routes[0].m_LatencyTarget = 5s;
  Config.m_Routes[1].m_Resumable = true;
  Config.m_Routes[1].m_EventGapTarget = 1s;
  CHECK(finds(Config, model::Severity::Warning, "route r", "latency target"));
  CHECK(finds(Config, model::Severity::Warning, "route q", "no stream"));
  CHECK(finds(Config, model::Severity::Warning, "route q", "event gap"));
}

TEST_CASE("models that no engine can hold are found") {
  gateway::GatewayConfig Config = soundConfig();
  gateway::EngineSpec &Engine = *Config.m_Services[0].m_Engine;
  Engine.m_Models[0].m_WeightsMb = 102;
  Engine.m_AdapterSlots = 0;
  CHECK(finds(Config, model::Severity::Error, "service s", "larger"));
  CHECK(finds(Config, model::Severity::Warning, "service s", "adapters"));
}

TEST_CASE("keys held twice and organisations without a key are found") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Organisations->push_back(
      {"p", {organisations::digestOf("1")}, {}, {}});
  Config.m_Organisations->push_back({"n", {}, {}, {}});
  CHECK(finds(Config, model::Severity::Error, "organisation p", "holds a key"));
  CHECK(finds(Config, model::Severity::Warning, "organisation n", "no key"));
  Config = soundConfig();
  (*Config.m_Organisations)[0].m_Keys.push_back(organisations::digestOf("1"));
  CHECK(finds(Config, model::Severity::Warning, "organisation o", "twice"));
}

TEST_CASE("a route that nobody has a key for is an error unless it is open") {
  gateway::GatewayConfig Config = soundConfig();
  Config.m_Organisations = {{"n", {}, {}, {}}};
  Config.m_Routes[1].m_IsOpen = true;
  CHECK(finds(Config, model::Severity::Error, "route r", "nobody can use it"));
  CHECK_FALSE(
      finds(Config, model::Severity::Error, "route q", "nobody can use it"));
}

TEST_CASE("quotas that hold no whole request are found") {
  gateway::GatewayConfig Config = soundConfig();
  organisations::QuotaSpec &Quota = *(*Config.m_Organisations)[0].m_Quota;
  Quota.m_Burst = 100;
  CHECK(finds(Config, model::Severity::Warning, "organisation o", "burst"));
  CHECK_FALSE(
      finds(Config, model::Severity::Warning, "organisation o", "token count"));
  Quota.m_PerSecond = 100;
  CHECK(
      finds(Config, model::Severity::Warning, "organisation o", "token count"));
  Quota = {organisations::QuotaSpec::Unit::Requests, 0.5, 0.5, 0};
  CHECK(finds(Config, model::Severity::Warning, "organisation o",
              "whole request"));
}

} // namespace bronzepass::unit_tests
