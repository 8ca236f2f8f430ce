#include "Core/Adapters/Curl/CurlEngineClient.h"
#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Adapters/Http/TestNode.h"

#include <doctest/doctest.h>
#include <memory>
#include <mutex>
#include <vector>

namespace bronzepass::unit_tests::adapters::http {

namespace model = core::model;
namespace ports = core::ports;
namespace routing = core::routing;

namespace {

constexpr uint64_t CopyBytes = 1 << 20;

model::EngineOrder makeOrder(model::OrderKind Kind, uint64_t Id, uint64_t Token,
                             const std::string &ModelName) {
  model::EngineOrder Order;
  Order.m_Id = {Id};
  Order.m_Token = {Token};
  Order.m_Endpoint = model::EndpointId("engine-1");
  Order.m_Kind = Kind;
  Order.m_Artifact = {model::ModelId(ModelName), "1", model::AdapterId("a")};
  Order.m_MemoryBytes = CopyBytes;
  return Order;
}

/// An engine stand-in and a client that sends to it.
class EngineFixture {
public:
  explicit EngineFixture(stand_ins::EngineOptions Options) {
    Options.m_Name = model::EndpointId("engine-1");
    m_Engine = startEngine(Options);
    m_Client = std::make_unique<core::adapters::curl::CurlEngineClient>(
        core::adapters::curl::EngineClientOptions{}, m_Clock, m_Control,
        [this](routing::TrafficEvent Event) {
          const std::lock_guard<std::mutex> Lock(m_Mutex);
          m_Traffic.push_back(std::move(Event));
        });
  }

  model::OrderAnswer send(const model::EngineOrder &Order) {
    const size_t Before = m_Control.count<model::OrderAnswer>();
    m_Client->send(Order, m_Engine->address());
    REQUIRE(waitFor([this, Before] {
      return m_Control.count<model::OrderAnswer>() > Before;
    }));
    return m_Control.last<model::OrderAnswer>();
  }

  model::EngineReport report() {
    const size_t Before = m_Control.count<model::EngineReport>();
    m_Client->requestReport(model::EndpointId("engine-1"), m_Engine->address());
    REQUIRE(waitFor([this, Before] {
      return m_Control.count<model::EngineReport>() > Before;
    }));
    return m_Control.last<model::EngineReport>();
  }

  routing::CacheChanged lastCache() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    routing::CacheChanged Last;
    for (const routing::TrafficEvent &Each : m_Traffic)
      if (std::holds_alternative<routing::CacheChanged>(Each))
        Last = std::get<routing::CacheChanged>(Each);
    return Last;
  }

  SteadyClock m_Clock;
  ControlStub m_Control;
  std::mutex m_Mutex;
  std::vector<routing::TrafficEvent> m_Traffic;
  std::unique_ptr<stand_ins::EngineStandIn> m_Engine;
  std::unique_ptr<core::adapters::curl::CurlEngineClient> m_Client;
};

} // namespace

TEST_CASE("a load order takes effect and appears in reports") {
  stand_ins::EngineOptions Options;
  Options.m_LoadTime = std::chrono::milliseconds(10);
  EngineFixture Fixture(Options);
  const model::OrderAnswer Answer =
      Fixture.send(makeOrder(model::OrderKind::Load, 5, 3, "oil"));
  CHECK(Answer.m_Id.m_Value == 5);
  CHECK(Answer.m_Status == model::OrderStatus::Accepted);
  CHECK(Answer.m_HighestToken.m_Value == 3);
  const model::ArtifactId Loaded =
      makeOrder(model::OrderKind::Load, 5, 3, "oil").m_Artifact;
  CHECK(waitFor([&Fixture, &Loaded] {
    const model::EngineReport Report = Fixture.report();
    for (const model::CopyReport &Copy : Report.m_Copies)
      if (Copy ==
          model::CopyReport{Loaded, model::CopyState::Serving, CopyBytes})
        return Report.m_UsedBytes == 2 * CopyBytes;
    return false;
  }));
  CHECK(
      Fixture.send(makeOrder(model::OrderKind::Unload, 6, 3, "oil")).m_Status ==
      model::OrderStatus::Accepted);
  CHECK(Fixture.report().m_UsedBytes == CopyBytes);
}

TEST_CASE("an old token is refused only by engines that check tokens") {
  EngineFixture Refusing({});
  Refusing.send(makeOrder(model::OrderKind::Load, 1, 9, "oil"));
  const model::OrderAnswer Stale =
      Refusing.send(makeOrder(model::OrderKind::Unload, 2, 8, "oil"));
  CHECK(Stale.m_Status == model::OrderStatus::StaleToken);
  CHECK(Stale.m_HighestToken.m_Value == 9);
  CHECK(Refusing.report().m_Copies.size() == 2);
  stand_ins::EngineOptions Options;
  Options.m_Fencing = model::FencingMode::Ignores;
  EngineFixture Ignoring(Options);
  Ignoring.send(makeOrder(model::OrderKind::Load, 1, 9, "oil"));
  CHECK(Ignoring.send(makeOrder(model::OrderKind::Unload, 2, 8, "oil"))
            .m_Status == model::OrderStatus::Accepted);
  CHECK(Ignoring.report().m_Copies.size() == 1);
}

TEST_CASE("orders that fail or can't be sent have distinct statuses") {
  stand_ins::EngineOptions Options;
  Options.m_MemoryBytes = CopyBytes;
  EngineFixture Fixture(Options);
  CHECK(Fixture.send(makeOrder(model::OrderKind::Load, 1, 1, "oil")).m_Status ==
        model::OrderStatus::NoMemory);
  Fixture.m_Client->requestReport(model::EndpointId("another"),
                                  Fixture.m_Engine->address());
  CHECK(waitFor([&Fixture] {
    return Fixture.m_Control.count<ports::ReportFailed>() == 1;
  }));
  Fixture.m_Engine->stop();
  CHECK(Fixture.send(makeOrder(model::OrderKind::Load, 2, 1, "oil")).m_Status ==
        model::OrderStatus::NotSent);
  Fixture.m_Client->requestReport(model::EndpointId("engine-1"),
                                  Fixture.m_Engine->address());
  CHECK(waitFor([&Fixture] {
    return Fixture.m_Control.count<ports::ReportFailed>() == 2 &&
           Fixture.m_Control.last<ports::ReportFailed>().m_Refused;
  }));
}

TEST_CASE("each report contains only the cache events since the last one") {
  EngineFixture Fixture({});
  const std::string Body =
      R"({"model":"gas@1","prompt":")" + std::string(600, 'p') + R"("})";
  fetch(Fixture.m_Engine->port(), "POST", "/v1/completions", Body);
  Fixture.report();
  const routing::CacheChanged First = Fixture.lastCache();
  CHECK(First.m_Added.size() == 2);
  CHECK(First.m_Sequence == 2);
  Fixture.report();
  CHECK(Fixture.lastCache().m_Added.empty());
  CHECK(Fixture.lastCache().m_Sequence == 2);
}

} // namespace bronzepass::unit_tests::adapters::http
