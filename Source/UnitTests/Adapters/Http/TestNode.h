#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_TESTNODE_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_TESTNODE_H

#include "Core/Adapters/Callers/CallerServer.h"
#include "Core/Adapters/Traffic/TrafficCoreDecider.h"
#include "Core/Adapters/Traffic/TrafficDriver.h"
#include "StandIns/EngineStandIn.h"
#include "StandIns/ServiceStandIn.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::adapters::http {

class SteadyClock : public core::ports::Clock {
public:
  core::model::TimePoint now() const override {
    return core::model::TimePoint(
        std::chrono::duration_cast<core::model::Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
  }
};

class CountingRandom : public core::ports::Random {
public:
  uint64_t next() override { return m_Next++; }

private:
  uint64_t m_Next = 0;
};

/// Records every event. Grants each claim immediately or, if a run with the
/// same key has ended, answers with that run's result.
class ControlStub : public core::ports::EventSink {
public:
  void post(core::ports::Event Received) override;
  /// Number of recorded events of the type \p EventT.
  template <typename EventT> size_t count() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    size_t Count = 0;
    for (const core::ports::Event &Each : m_Events)
      Count += std::holds_alternative<EventT>(Each) ? 1 : 0;
    return Count;
  }
  template <typename EventT> EventT last() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    EventT Found{};
    for (const core::ports::Event &Each : m_Events)
      if (std::holds_alternative<EventT>(Each))
        Found = std::get<EventT>(Each);
    return Found;
  }

  std::atomic<core::adapters::traffic::TrafficDriver *> m_Driver = nullptr;

private:
  core::ports::ClaimVerdict
  makeVerdict(const core::ports::ClaimRequested &Request) const;

  std::mutex m_Mutex;
  std::vector<core::ports::Event> m_Events;
};

class SilentLog : public core::ports::DecisionLog {
public:
  void write(const core::model::Decision & /*Line*/) override {}
};

class SilentMetrics : public core::ports::Metrics {
public:
  void add(core::ports::Metric /*Which*/, const std::string & /*Label*/,
           double /*Amount*/) override {}
  void set(core::ports::Metric /*Which*/, const std::string & /*Label*/,
           double /*Value*/) override {}
};

/// The model that every engine of a TestNode serves.
core::model::ArtifactId testArtifact();

/// Starts an engine stand-in that serves testArtifact().
std::unique_ptr<stand_ins::EngineStandIn>
startEngine(stand_ins::EngineOptions Options);

/// A node's request path in one process: caller server, traffic thread, real
/// traffic core, and stand-ins for its endpoints.
class TestNode {
public:
  struct Settings {
    std::string m_Name = "node-1";
    stand_ins::EngineOptions m_Engine;
    core::adapters::callers::CallerServerOptions m_CallerServer;
    core::routing::TrafficSettings m_Traffic;
    bool m_CanResume = false;
    /// Where the engine and the service listen; nullopt: the stand-ins.
    std::optional<uint16_t> m_EnginePort;
    std::optional<uint16_t> m_ServicePort;
  };

  explicit TestNode(Settings InitialSettings);
  ~TestNode();

  uint16_t port() const { return m_CallerServer->port(); }
  core::model::NodeInfo info() const;
  /// Sets a routing table for a cluster of \p Nodes, where \p Degree nodes send
  /// to each endpoint directly. Returns whether this node sends directly to its
  /// engine.
  bool joinNodes(const std::vector<core::model::NodeInfo> &Nodes,
                 uint32_t Degree);
  stand_ins::EngineStandIn &engine() { return *m_Engine; }
  stand_ins::ServiceStandIn &service() { return *m_Service; }
  core::adapters::traffic::TrafficDriver &driver() { return *m_Driver; }
  ControlStub &control() { return m_Control; }

  /// Returns the counter \p Name of "counts" in the engine's report.
  uint64_t engineCount(const std::string &Name) const;
  uint64_t serviceRuns() const;
  /// Posts \p Json to /faults of \p StandIn.
  static void setFaults(const stand_ins::StandIn &StandIn,
                        const std::string &Json);

private:
  std::shared_ptr<const core::routing::RoutingTable>
  makeTable(const std::vector<core::model::NodeInfo> &Nodes,
            uint32_t Degree) const;

  Settings m_Settings;
  SteadyClock m_Clock;
  CountingRandom m_Random;
  ControlStub m_Control;
  SilentLog m_Log;
  SilentMetrics m_Metrics;
  std::unique_ptr<stand_ins::EngineStandIn> m_Engine;
  std::unique_ptr<stand_ins::ServiceStandIn> m_Service;
  std::unique_ptr<core::adapters::traffic::TrafficDriver> m_Driver;
  std::unique_ptr<core::adapters::callers::CallerServer> m_CallerServer;
};

/// The body of a chat completion request for testArtifact().
std::string chatBody(const std::string &User, uint32_t Tokens, bool Stream);

} // namespace bronzepass::unit_tests::adapters::http

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_TESTNODE_H
