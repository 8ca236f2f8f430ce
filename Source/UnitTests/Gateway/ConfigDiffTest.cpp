#include "Core/Gateway/ConfigDiff.h"

#include <doctest/doctest.h>
#include <vector>

namespace bronzepass::unit_tests {

namespace gateway = core::gateway;
namespace organisations = core::organisations;
using namespace std::chrono_literals;

namespace {

gateway::GatewayConfig config() {
  gateway::GatewayConfig Config;
  Config.m_Version = 1;
  gateway::RouteSpec Route;
  Route.m_Name = "r";
  Route.m_Host = "h";
  Route.m_PathPrefix = "/a/";
  Route.m_Services = {{"s", 1}};
  Route.m_Timeout = 4s;
  Config.m_Routes = {Route};
  gateway::ServiceSpec Service;
  Service.m_Name = "s";
  Config.m_Services = {Service};
  Config.m_Organisations = {{"o", {organisations::digestOf("1")}, 1, {}}};
  return Config;
}

} // namespace

TEST_CASE("a configuration does not differ from itself") {
  CHECK(gateway::diffConfigs(config(), config()).empty());
}

TEST_CASE("added, removed and changed entries are listed with both values") {
  const gateway::GatewayConfig Old = config();
  gateway::GatewayConfig New = config();
  New.m_Routes[0].m_Timeout = 2s;
  New.m_Services[0].m_Name = "t";
  New.m_Limits.m_MaxBodyBytes = 1;
  const std::vector<gateway::ConfigChange> Changes =
      gateway::diffConfigs(Old, New);
  CHECK(Changes == std::vector<gateway::ConfigChange>{
                       {"changed", "route h/a/", "timeout: 4000 ms -> 2000 ms"},
                       {"removed", "service s", ""},
                       {"added", "service t", ""},
                       {"changed", "limits", "body bytes: 4194304 -> 1"}});
}

TEST_CASE("keys are counted and not told") {
  gateway::GatewayConfig New = config();
  (*New.m_Organisations)[0].m_Keys = {organisations::digestOf("2"),
                                      organisations::digestOf("3")};
  (*New.m_Organisations)[0].m_Priority.reset();
  CHECK(gateway::diffConfigs(config(), New) ==
        std::vector<gateway::ConfigChange>{
            {"changed", "organisation o",
             "keys: 2 added, 1 taken away; priority: 1 -> of the route"}});
}

TEST_CASE("it is told where callers begin or cease to need keys") {
  gateway::GatewayConfig New = config();
  New.m_Organisations.reset();
  CHECK(gateway::diffConfigs(config(), New) ==
        std::vector<gateway::ConfigChange>{
            {"changed", "keys", "callers need none any more"},
            {"removed", "organisation o", ""}});
}

} // namespace bronzepass::unit_tests
