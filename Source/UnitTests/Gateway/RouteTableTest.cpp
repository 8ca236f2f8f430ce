#include "Core/Gateway/RouteTable.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

RouteSpec route(const char *Name, const char *Host, const char *Prefix) {
  RouteSpec Route;
  Route.m_Name = Name;
  Route.m_Host = Host;
  Route.m_PathPrefix = Prefix;
  Route.m_Services = {{"s", 1}};
  return Route;
}

RouteTable table() {
  GatewayConfig Config;
  Config.m_Version = 1;
  Config.m_Routes = {
      route("all", "a.example", "/"), route("long", "a.example", "/x/y/"),
      route("short", "a.example", "/x/"), route("other", "b.example", "/z/")};
  return RouteTable(Config);
}

} // namespace

TEST_CASE("the longest matching path prefix wins") {
  const RouteTable Table = table();
  CHECK(Table.find("a.example", "/x/y/1")->m_Name == "long");
  CHECK(Table.find("a.example", "/x/y")->m_Name == "short");
  CHECK(Table.find("a.example", "/x/yy/")->m_Name == "short");
  CHECK(Table.find("a.example", "/")->m_Name == "all");
  CHECK(Table.find("b.example", "/z/q")->m_Name == "other");
  CHECK_FALSE(Table.find("b.example", "/x/"));
  CHECK_FALSE(Table.find("c.example", "/"));
  CHECK_FALSE(Table.find("a.example", ""));
}

TEST_CASE("a host may have a port, and its case is ignored") {
  CHECK(table().find("A.Example:8080", "/x/")->m_Name == "short");
}

TEST_CASE("a route's requests are split among its services by weight") {
  RouteSpec Route = route("r", "a", "/");
  Route.m_Services = {{"s", 90}, {"t", 10}, {"u", 0}};
  int Counts[2] = {0, 0};
  for (uint64_t Draw = 0; Draw < 1000; ++Draw)
    ++Counts[RouteTable::pickService(Route, Draw) == "t" ? 1 : 0];
  CHECK(Counts[0] == 900);
  CHECK(Counts[1] == 100);
}

TEST_CASE("a service's event gap target is the shortest of its routes") {
  GatewayConfig Config;
  RouteSpec Route = route("one", "a.example", "/a/");
  Route.m_Services = {{"s", 1}, {"t", 1}};
  Route.m_EventGapTarget = std::chrono::milliseconds(300);
  Config.m_Routes.push_back(Route);
  Route = route("two", "a.example", "/b/");
  Route.m_EventGapTarget = std::chrono::milliseconds(200);
  Config.m_Routes.push_back(Route);
  Route = route("three", "a.example", "/c/");
  Route.m_Services = {{"u", 1}};
  Config.m_Routes.push_back(Route);
  const RouteTable Table(Config);
  CHECK(Table.shortestEventGapTarget("s") ==
        model::Duration(std::chrono::milliseconds(200)));
  CHECK(Table.shortestEventGapTarget("t") ==
        model::Duration(std::chrono::milliseconds(300)));
  CHECK_FALSE(Table.shortestEventGapTarget("u"));
}

} // namespace bronzepass::core::gateway
