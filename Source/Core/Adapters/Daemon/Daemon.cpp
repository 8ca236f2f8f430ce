#include "Core/Adapters/Daemon/Daemon.h"

#include "Core/Adapters/Callers/CallerServer.h"
#include "Core/Adapters/Curl/CurlEngineClient.h"
#include "Core/Adapters/Daemon/ControlThread.h"
#include "Core/Adapters/Daemon/DecisionRing.h"
#include "Core/Adapters/Daemon/EffectExecutor.h"
#include "Core/Adapters/Daemon/NodeSetup.h"
#include "Core/Adapters/Daemon/StatusPages.h"
#include "Core/Adapters/Daemon/StopSignals.h"
#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Log/SpdlogDecisionLog.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/ObjectApi/ObjectApiClient.h"
#include "Core/Adapters/Operator/OperatorServer.h"
#include "Core/Adapters/Prometheus/PrometheusMetrics.h"
#include "Core/Adapters/Traffic/TrafficCoreDecider.h"
#include "Core/Adapters/Traffic/TrafficDriver.h"
#include "Core/Adapters/WebSocket/PeerSockets.h"
#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Node/ControlCore.h"

#include <utility>

namespace bronzepass::core::adapters::daemon {

class Daemon::Impl : private ports::EventSink {
public:
  explicit Impl(const settings::NodeSettings &Settings)
      : m_Settings(Settings), m_Self(makeSelf(Settings, m_Clock.now())),
        m_Log(Settings), m_Decisions(m_Log),
        m_Core(makeNodeConfig(Settings, m_Self), m_Random, m_Reader),
        m_Traffic(makeTrafficOptions(m_Self),
                  std::make_unique<traffic::TrafficCoreDecider>(
                      makeTrafficSettings(Settings), m_TrafficRandom, m_Self),
                  {m_Clock, *this, m_Decisions, m_Metrics}),
        m_CallerServer(makeCallerServerOptions(Settings), m_Traffic, m_Clock),
        m_Operators(
            makeOperatorServerOptions(Settings),
            [this] { return m_Metrics.text(); },
            [this](pistache::HttpRequest Request,
                   operators::OperatorServer::PageDone Done) {
              servePage(std::move(Request), std::move(Done));
            }),
        m_Store(m_StoreThread.loop(), makeObjectApiSettings(Settings), *this),
        m_Engines({}, m_Clock, *this,
                  [this](routing::TrafficEvent Event) {
                    m_Traffic.post(std::move(Event));
                  }),
        m_Peers(m_Self, *this, m_Metrics),
        m_Executor({m_Store, m_Store, m_Engines, m_Peers, m_Decisions,
                    m_Metrics, m_Traffic, m_CallerServer, m_Operators,
                    [this] { m_Signals.notifyFinished(); }}),
        m_Control(
            m_Core, m_Clock,
            [this](const ports::Effect &Each) { m_Executor.carryOut(Each); },
            [this](const std::string &What) { logFault(What); }) {
    const net::EventLoop::FaultHandler OnFault =
        [this](const std::string &What) { logFault(What); };
    m_StoreThread.loop().setFaultHandler(OnFault);
    m_Traffic.loop().setFaultHandler(OnFault);
  }

  ~Impl() override { stop(); }

  std::optional<std::string> start() {
    m_StoreThread.start();
    m_Traffic.start();
    if (!m_Peers.listen())
      return "peers: " + m_Peers.lastReason();
    if (std::optional<std::string> Reason = m_Operators.start())
      return "operators: " + *Reason;
    if (std::optional<std::string> Reason = m_CallerServer.start())
      return "callers: " + *Reason;
    m_Control.start();
    return std::nullopt;
  }

  bool runUntilStopped() {
    m_Signals.waitForStopSignal();
    logNodeDecision("stop", "received a signal: stopping gracefully");
    post(ports::StopRequested());
    const StopOutcome Outcome =
        m_Signals.waitForOutcome(m_Settings.get(settings::TimeoutStop));
    if (Outcome == StopOutcome::Finished)
      logNodeDecision("stopped", "all requests in progress were completed");
    else
      logNodeDecision(
          "cut",
          Outcome == StopOutcome::SecondSignal
              ? "received a second signal: aborting the requests in progress"
              : "the stop timeout expired: aborting the requests in progress");
    m_Log.flush();
    return Outcome == StopOutcome::Finished;
  }

private:
  void post(ports::Event Incoming) override {
    m_Control.post(std::move(Incoming));
  }

  void logNodeDecision(const std::string &Action, const std::string &Reason) {
    m_Decisions.write({.m_Kind = model::DecisionKind::Membership,
                       .m_Subject = m_Self.m_Node.str(),
                       .m_Action = Action,
                       .m_Reason = Reason});
  }

  void logFault(const std::string &What) { logNodeDecision("exception", What); }

  void servePage(pistache::HttpRequest Request,
                 operators::OperatorServer::PageDone Done) {
    m_Control.runTask([this, Request = std::move(Request),
                       Done = std::move(Done)](const node::ControlCore &Core) {
      Done(makePage(Request, Core, m_Decisions, m_Clock.now()));
    });
  }

  /// Stops the servers first and the threads that they call after them, so that
  /// nothing calls a stopped component.
  void stop() {
    m_CallerServer.stop();
    m_Operators.stop();
    m_Control.stop();
    m_Traffic.stop();
    m_StoreThread.stop();
  }

  const settings::NodeSettings m_Settings;
  SystemClock m_Clock;
  // One per thread, because SystemRandom is not thread-safe.
  SystemRandom m_Random;
  SystemRandom m_TrafficRandom;
  yaml::YamlIntentReader m_Reader;
  StopSignals m_Signals;
  const model::NodeInfo m_Self;
  log::SpdlogDecisionLog m_Log;
  DecisionRing m_Decisions;
  prometheus::PrometheusMetrics m_Metrics;
  node::ControlCore m_Core;
  traffic::TrafficDriver m_Traffic;
  callers::CallerServer m_CallerServer;
  operators::OperatorServer m_Operators;
  net::LoopThread m_StoreThread;
  object_api::ObjectApiClient m_Store;
  curl::CurlEngineClient m_Engines;
  web_socket::PeerSockets m_Peers;
  EffectExecutor m_Executor;
  ControlThread m_Control;
};

Daemon::Daemon(const settings::NodeSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}

Daemon::~Daemon() = default;

std::optional<std::string> Daemon::start() { return m_Impl->start(); }

bool Daemon::runUntilStopped() { return m_Impl->runUntilStopped(); }

void Daemon::blockSignals() { StopSignals::block(); }

} // namespace bronzepass::core::adapters::daemon
