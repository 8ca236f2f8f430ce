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

model::EngineOrder orderOf(model::OrderKind Kind, uint64_t Id, uint64_t Token,
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

/// An engine and a client to it.
class EngineBench {
public:
  explicit EngineBench(stand_ins::EngineOptions Options) {
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

TEST_CASE("a load order takes effect and shows in reports") {
  stand_ins::EngineOptions Options;
  Options.m_LoadTime = std::chrono::milliseconds(10);
  EngineBench Bench(Options);
  const model::OrderAnswer Answer =
      Bench.send(orderOf(model::OrderKind::Load, 5, 3, "oil"));
  CHECK(Answer.m_Id.m_Value == 5);
  CHECK(Answer.m_Status == model::OrderStatus::Accepted);
  CHECK(Answer.m_HighestToken.m_Value == 3);
  const model::ArtifactId Loaded =
      orderOf(model::OrderKind::Load, 5, 3, "oil").m_Artifact;
  CHECK(waitFor([&Bench, &Loaded] {
    const model::EngineReport Report = Bench.report();
    for (const model::CopyReport &Copy : Report.m_Copies)
      if (Copy ==
          model::CopyReport{Loaded, model::CopyState::Serving, CopyBytes})
        return Report.m_UsedBytes == 2 * CopyBytes;
    return false;
  }));
  CHECK(Bench.send(orderOf(model::OrderKind::Unload, 6, 3, "oil")).m_Status ==
        model::OrderStatus::Accepted);
  CHECK(Bench.report().m_UsedBytes == CopyBytes);
}

TEST_CASE("an old token is refused by one kind of engine, taken by the other") {
  EngineBench Refusing({});
  Refusing.send(orderOf(model::OrderKind::Load, 1, 9, "oil"));
  const model::OrderAnswer Stale =
      Refusing.send(orderOf(model::OrderKind::Unload, 2, 8, "oil"));
  CHECK(Stale.m_Status == model::OrderStatus::StaleToken);
  CHECK(Stale.m_HighestToken.m_Value == 9);
  CHECK(Refusing.report().m_Copies.size() == 2);
  stand_ins::EngineOptions Options;
  Options.m_Fencing = model::FencingMode::Ignores;
  EngineBench Ignoring(Options);
  Ignoring.send(orderOf(model::OrderKind::Load, 1, 9, "oil"));
  CHECK(
      Ignoring.send(orderOf(model::OrderKind::Unload, 2, 8, "oil")).m_Status ==
      model::OrderStatus::Accepted);
  CHECK(Ignoring.report().m_Copies.size() == 1);
}

TEST_CASE("an order that can't be met or sent is told apart from a lost one") {
  stand_ins::EngineOptions Options;
  Options.m_MemoryBytes = CopyBytes;
  EngineBench Bench(Options);
  CHECK(Bench.send(orderOf(model::OrderKind::Load, 1, 1, "oil")).m_Status ==
        model::OrderStatus::NoMemory);
  Bench.m_Client->requestReport(model::EndpointId("another"),
                                Bench.m_Engine->address());
  CHECK(waitFor(
      [&Bench] { return Bench.m_Control.count<ports::ReportFailed>() == 1; }));
  Bench.m_Engine->stop();
  CHECK(Bench.send(orderOf(model::OrderKind::Load, 2, 1, "oil")).m_Status ==
        model::OrderStatus::NotSent);
  Bench.m_Client->requestReport(model::EndpointId("engine-1"),
                                Bench.m_Engine->address());
  CHECK(waitFor([&Bench] {
    return Bench.m_Control.count<ports::ReportFailed>() == 2 &&
           Bench.m_Control.last<ports::ReportFailed>().m_Refused;
  }));
}

TEST_CASE("cache events are read on from the last report") {
  EngineBench Bench({});
  const std::string Body =
      R"({"model":"gas@1","prompt":")" + std::string(600, 'p') + R"("})";
  fetch(Bench.m_Engine->port(), "POST", "/v1/completions", Body);
  Bench.report();
  const routing::CacheChanged First = Bench.lastCache();
  CHECK(First.m_Added.size() == 2);
  CHECK(First.m_Sequence == 2);
  Bench.report();
  CHECK(Bench.lastCache().m_Added.empty());
  CHECK(Bench.lastCache().m_Sequence == 2);
}

} // namespace bronzepass::unit_tests::adapters::http
