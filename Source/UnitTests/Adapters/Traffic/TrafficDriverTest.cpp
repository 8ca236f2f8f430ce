#include "Core/Adapters/Traffic/TrafficDriver.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <variant>

namespace bronzepass::unit_tests::adapters::traffic {

namespace {

namespace traffic = core::adapters::traffic;
namespace model = core::model;
namespace ports = core::ports;
namespace routing = core::routing;
using namespace std::chrono_literals;

class SteadyClock : public ports::Clock {
public:
  model::TimePoint now() const override {
    return model::TimePoint(std::chrono::duration_cast<model::Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

class SilentSink : public ports::EventSink {
public:
  void post(ports::Event /*Incoming*/) override {}
};

class SilentLog : public ports::DecisionLog {
public:
  void write(const model::Decision & /*Line*/) override {}
};

class SilentMetrics : public ports::Metrics {
public:
  void add(ports::Metric /*Which*/, const std::string & /*Label*/,
           double /*Amount*/) override {}
  void set(ports::Metric /*Which*/, const std::string & /*Label*/,
           double /*Value*/) override {}
};

/// Throws at the first tick and counts those after it.
class ThrowingDecider : public traffic::TrafficDecider {
public:
  explicit ThrowingDecider(std::atomic<int> &TicksAfter)
      : m_TicksAfter(TicksAfter) {}

  void handle(const routing::TrafficEvent &Event, model::TimePoint /*Now*/,
              routing::TrafficEffectList & /*Effects*/) override {
    if (!std::holds_alternative<routing::TrafficTick>(Event))
      return;
    if (!std::exchange(m_HasThrown, true))
      throw std::runtime_error("at a tick");
    ++m_TicksAfter;
  }

private:
  std::atomic<int> &m_TicksAfter;
  bool m_HasThrown = false;
};

} // namespace

// Guards against a node that answers no request any more after an exception.
TEST_CASE("events are handled after an exception while one is handled") {
  SteadyClock Clock;
  SilentSink Control;
  SilentLog Log;
  SilentMetrics Metrics;
  std::atomic<int> TicksAfter = 0;
  std::atomic<int> Faults = 0;
  traffic::TrafficDriver Driver({},
                                std::make_unique<ThrowingDecider>(TicksAfter),
                                {Clock, Control, Log, Metrics});
  Driver.loop().setFaultHandler([&Faults](const std::string &) { ++Faults; });
  Driver.start();
  for (int Wait = 0; Wait < 100 && TicksAfter < 2; ++Wait) {
    std::this_thread::sleep_for(20ms);
    Driver.post(routing::TrafficTick{});
  }
  CHECK(Faults == 1);
  CHECK(TicksAfter >= 2);
  Driver.stop();
}

// Guards against deadlines that are not kept any more after an exception.
TEST_CASE("ticks go on after an exception while one is handled") {
  SteadyClock Clock;
  SilentSink Control;
  SilentLog Log;
  SilentMetrics Metrics;
  std::atomic<int> TicksAfter = 0;
  traffic::TrafficDriver Driver({},
                                std::make_unique<ThrowingDecider>(TicksAfter),
                                {Clock, Control, Log, Metrics});
  Driver.loop().setFaultHandler([](const std::string &) {});
  Driver.start();
  for (int Wait = 0; Wait < 100 && TicksAfter < 2; ++Wait)
    std::this_thread::sleep_for(20ms);
  CHECK(TicksAfter >= 2);
  Driver.stop();
}

} // namespace bronzepass::unit_tests::adapters::traffic
