#include "Core/Gateway/LinkMonitor.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

namespace gateway = core::gateway;
namespace model = core::model;
using namespace std::chrono_literals;

const model::EndpointId First("e1");
const model::EndpointId Second("e2");
const model::EndpointId Third("e3");
const model::TimePoint Start = model::TimePoint(100s);

gateway::LinkMonitor monitorOf(size_t Endpoints) {
  gateway::LinkMonitor Links;
  Links.setEndpointCount("s", Endpoints);
  return Links;
}

} // namespace

TEST_CASE("One endpoint that fails many times does not cost the links") {
  gateway::LinkMonitor Links = monitorOf(12);
  for (int I = 0; I < 20; ++I)
    Links.onConnectFailed("s", First, Start + I * 10ms);
  CHECK_FALSE(Links.isLost("s"));
}

TEST_CASE("Links are lost when several endpoints fail and none answers") {
  gateway::LinkMonitor Links = monitorOf(12);
  Links.onConnectFailed("s", First, Start);
  Links.onConnectFailed("s", Second, Start);
  CHECK_FALSE(Links.isLost("s"));
  Links.onConnectFailed("s", Third, Start + 1s);
  CHECK(Links.isLost("s"));
  CHECK(Links.lostServices() == std::vector<std::string>{"s"});
  const std::vector<gateway::LinksChange> Changes = Links.takeChanges();
  REQUIRE(Changes.size() == 2);
  CHECK(Changes[0] == gateway::LinksChange{"s", true, 3, 0});
  CHECK(Changes[1] == gateway::LinksChange{"", true, 3, 0});
  CHECK(Links.takeChanges().empty());
}

TEST_CASE("Failures long apart have nothing to do with each other") {
  gateway::LinkMonitor Links = monitorOf(12);
  Links.onConnectFailed("s", First, Start);
  Links.onConnectFailed("s", Second, Start + 2s);
  Links.onConnectFailed("s", Third, Start + 4s);
  CHECK_FALSE(Links.isLost("s"));
}

TEST_CASE("Answers over kept connections do not show that new ones open") {
  gateway::LinkMonitor Links = monitorOf(12);
  Links.onConnectFailed("s", First, Start);
  Links.onHeard("s", false);
  Links.onConnectFailed("s", Second, Start);
  Links.onHeard("s", false);
  Links.onConnectFailed("s", Third, Start);
  Links.onHeard("s", false);
  CHECK(Links.isLost("s"));
  Links.onHeard("s", true);
  CHECK_FALSE(Links.isLost("s"));
}

TEST_CASE("Silent endpoints count until one is heard") {
  gateway::LinkMonitor Links = monitorOf(12);
  Links.onSilence("s", First, Start);
  Links.onSilence("s", Second, Start);
  Links.onHeard("s", false);
  Links.onSilence("s", Third, Start);
  CHECK_FALSE(Links.isLost("s"));
  Links.onSilence("s", First, Start);
  Links.onSilence("s", Second, Start);
  CHECK(Links.isLost("s"));
  Links.onHeard("s", false);
  CHECK_FALSE(Links.isLost("s"));
}

TEST_CASE("A service of two endpoints is lost when both fail") {
  gateway::LinkMonitor Links = monitorOf(2);
  Links.onConnectFailed("s", First, Start);
  CHECK_FALSE(Links.isLost("s"));
  Links.onConnectFailed("s", Second, Start);
  CHECK(Links.isLost("s"));
  CHECK_FALSE(Links.isLost("other"));
}

TEST_CASE("Endpoints of several services that fail cost the links to all") {
  gateway::LinkMonitor Links = monitorOf(12);
  Links.setEndpointCount("other", 12);
  Links.onConnectFailed("s", First, Start);
  Links.onConnectFailed("s", Second, Start);
  Links.onConnectFailed("other", Third, Start);
  CHECK(Links.isLost("s"));
  CHECK(Links.isLost("other"));
}

} // namespace bronzepass::unit_tests
