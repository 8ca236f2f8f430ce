#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/RelayDriver.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "UnitTests/Adapters/Http/HttpClient.h"
#include "platform/PlatformDialect.h"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <stdexcept>
#include <string>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

namespace relay = core::gateway;
using namespace std::chrono_literals;

/// A node whose handler of requested copies throws, in front of one silent
/// endpoint that holds no model.
class ThrowingNode {
public:
  ThrowingNode()
      : m_Endpoint([](ScriptConnection &, const std::string &, int) {}),
        m_Log("test"), m_Core({}, m_Random),
        m_Driver(m_Thread.loop(), m_Dialect, m_Core, m_Clock, m_Log, m_Metrics,
                 [](const relay::CopyRequest &) {
                   throw std::runtime_error("at a requested copy");
                 }),
        m_Server(m_Thread.loop(), m_Driver) {
    m_Thread.loop().setFaultHandler([](const std::string &) {});
    REQUIRE_FALSE(m_Server.listen({"127.0.0.1", 0}));
    relay::GatewayConfig Config;
    Config.m_Version = 1;
    relay::RouteSpec Route;
    Route.m_Host = "h";
    Route.m_PathPrefix = "/";
    Route.m_Services = {{"s", 1}};
    Route.m_Timeout = 20s;
    Config.m_Routes = {Route};
    relay::ServiceSpec Service;
    Service.m_Name = "s";
    Service.m_Engine = relay::EngineSpec();
    Service.m_Engine->m_Models = {{"m", 10, 3s, 4, 1}};
    Config.m_Services = {Service};
    m_Core.setTable(std::make_shared<relay::RouteTable>(Config));
    relay::EndpointEntry Entry;
    Entry.m_Id = core::model::EndpointId("e");
    Entry.m_Service = "s";
    Entry.m_Address = {"127.0.0.1", m_Endpoint.port()};
    m_Driver.decide([&](relay::RelayCore &Core, core::model::TimePoint Now,
                        relay::RelayEffectList &Out) {
      Core.setEndpoints({Entry}, Now, Out);
    });
    m_Thread.start();
  }
  ~ThrowingNode() { m_Thread.stop(); }

  uint16_t port() const { return m_Server.port(); }
  int connections() const { return m_Endpoint.connections(); }
  /// Ends all requests in a call of the core that throws in the end.
  void throwAfterEnds() {
    m_Thread.loop().post([this] {
      m_Driver.decide([](relay::RelayCore &Core, core::model::TimePoint Now,
                         relay::RelayEffectList &Out) {
        Core.beginStop(Now, Now, Out);
        Core.tick(Now, Out);
        throw std::runtime_error("in the core");
      });
    });
  }

private:
  ScriptedEndpoint m_Endpoint;
  core::adapters::daemon::SystemRandom m_Random;
  core::adapters::gateway::BootClock m_Clock;
  core::adapters::gateway::GatewayLog m_Log;
  core::adapters::gateway::GatewayMetrics m_Metrics;
  platform::PlatformDialect m_Dialect;
  relay::RelayCore m_Core;
  core::adapters::net::LoopThread m_Thread;
  core::adapters::gateway::RelayDriver m_Driver;
  core::adapters::front::FrontServer m_Server;
};

std::string request(const std::string &ExtraHeaders = "") {
  return "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n" + ExtraHeaders +
         "Content-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a request that waits for ever, since an effect threw.
TEST_CASE("a refusal is written though an effect before it throws") {
  ThrowingNode Node;
  http::RawConnection Caller(Node.port());
  Caller.send(request("X-Model: m\r\n"));
  CHECK(Caller.readUntil("\r\n\r\n"));
  CHECK(Caller.text().rfind("HTTP/1.1 503", 0) == 0);
}

// Guards against requests that the core has ended and no caller learns of it.
TEST_CASE("answers that were decided are written though the core throws") {
  ThrowingNode Node;
  http::RawConnection Caller(Node.port());
  Caller.send(request());
  REQUIRE(http::waitFor([&Node] { return Node.connections() == 1; }));
  Node.throwAfterEnds();
  CHECK(Caller.readUntil("\r\n\r\n"));
  CHECK(Caller.text().rfind("HTTP/1.1 504", 0) == 0);
}

} // namespace bronzepass::unit_tests::adapters::gateway
