#include "Core/Adapters/Gateway/GatewayDaemon.h"

#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/GatewayControl.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Settings/GatewaySettings.h"

#include <atomic>
#include <csignal>
#include <ctime>
#include <pthread.h>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace keys = settings::gateway;

namespace {

/// How often the settings file is looked at.
constexpr long SettingsPeriodNanos = 1'000'000'000;
/// How often an end of the stop is looked for.
constexpr long StopPeriodNanos = 20'000'000;
/// Kept of the grace for the process's own end.
constexpr model::Duration GraceMargin = std::chrono::milliseconds(400);
/// Of the grace that a lame duck may take at most.
constexpr int LameDuckParts = 2;
/// A holder stops acting this part of its term before the term is out.
constexpr int LeaseMarginParts = 6;

sigset_t signalSet() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// The signal that came within \p Nanos; 0 where none did.
int waitForSignal(long Nanos) {
  constexpr long NanosPerSecond = 1'000'000'000;
  const sigset_t Signals = signalSet();
  const timespec Pause{.tv_sec = Nanos / NanosPerSecond,
                       .tv_nsec = Nanos % NanosPerSecond};
  const int Signal = sigtimedwait(&Signals, nullptr, &Pause);
  return Signal > 0 ? Signal : 0;
}

core::gateway::RelaySettings
relaySettings(const settings::NodeSettings &Settings) {
  core::gateway::RelaySettings Relay;
  Relay.m_Retries.m_Ratio = Settings.get(keys::RetryRatio);
  Relay.m_Retries.m_Slack = Settings.get(keys::RetrySlack);
  Relay.m_Retries.m_Window = Settings.get(keys::RetryWindow);
  Relay.m_Domain = model::DomainId(Settings.get(keys::NodeDomain));
  return Relay;
}

ControlOptions controlOptions(const settings::NodeSettings &Settings) {
  ControlOptions Options;
  Options.m_Store = Settings.get(keys::PlatformStore);
  Options.m_Self = {model::NodeId(Settings.get(keys::NodeName)),
                    Settings.get(keys::ListenPeers),
                    model::DomainId(Settings.get(keys::NodeDomain))};
  Options.m_Lease.m_Term = Settings.get(keys::LeaseTerm);
  Options.m_Lease.m_Margin = Options.m_Lease.m_Term / LeaseMarginParts;
  // A move of the duty costs reports of every engine and gains nothing.
  Options.m_Lease.m_HandOverDelay = std::chrono::hours(24);
  return Options;
}

} // namespace

class GatewayDaemon::Impl {
public:
  Impl(const settings::NodeSettings &Settings,
       const core::gateway::Dialect &Dialect, SettingsSource Source)
      : m_Settings(Settings), m_Source(std::move(Source)),
        m_Log(Settings.get(keys::NodeName)),
        m_Control(controlOptions(Settings), Dialect, m_Clock, m_Log),
        m_Traffic({Settings.get(keys::ListenCallers),
                   Settings.get(keys::ListenReady),
                   Settings.get(keys::ListenPeers),
                   Settings.get(keys::ListenMetrics)},
                  relaySettings(Settings),
                  model::NodeId(Settings.get(keys::NodeName)), Dialect, m_Clock,
                  m_Log, m_Control) {}

  ~Impl() {
    m_Traffic.join();
    m_Control.join();
  }

  std::optional<std::string> start() {
    if (std::optional<std::string> Reason = m_Traffic.start())
      return Reason;
    m_Control.start(m_Traffic);
    m_Log.write("process", "start", {});
    return std::nullopt;
  }

  bool runUntilStopped() {
    for (;;) {
      const int Signal = waitForSignal(SettingsPeriodNanos);
      if (Signal == SIGTERM || Signal == SIGINT)
        break;
      reload(Signal == SIGHUP);
    }
    return stop();
  }

private:
  void reload(bool Asked) {
    std::string Reason;
    const std::optional<settings::NodeSettings> Read = m_Source(Reason);
    if (!Read) {
      if (Asked || Reason != m_ReloadReason)
        m_Log.write("process", "reload_refused", {{"reason", Reason}});
      m_ReloadReason = Reason;
      return;
    }
    m_ReloadReason.clear();
    const bool Changed = *Read != m_Settings;
    if (!Asked && !Changed)
      return;
    // Addresses and names hold for a process's life; what differs is told.
    m_Log.write("process", "reload",
                {{"reason", Changed ? "the settings differ; they are taken up "
                                      "at the next start"
                                    : "nothing has changed"}});
    if (Changed)
      m_Settings = *Read;
  }

  bool stop() {
    const model::Duration Grace = m_Settings.get(keys::StopGrace);
    const model::Duration LameDuck =
        std::min(m_Settings.get(keys::StopLameDuck), Grace / LameDuckParts);
    m_Log.write("process", "stop", {});
    const model::TimePoint GiveUpAt = m_Clock.now() + Grace - GraceMargin;
    std::atomic<bool> Empty = false;
    std::atomic<bool> Released = false;
    m_Traffic.stop(LameDuck, [&Empty] { Empty = true; });
    m_Control.stop([&Released] { Released = true; });
    while (!Empty && m_Clock.now() < GiveUpAt)
      waitForSignal(StopPeriodNanos);
    const bool Finished = Empty;
    m_Log.write("process", "end",
                {{"reason", Finished ? "every request has its answer"
                                     : "the grace is over"}});
    m_Traffic.join();
    m_Control.join();
    m_Log.flush();
    return Finished;
  }

  settings::NodeSettings m_Settings;
  SettingsSource m_Source;
  std::string m_ReloadReason;
  BootClock m_Clock;
  GatewayLog m_Log;
  GatewayControl m_Control;
  GatewayTraffic m_Traffic;
};

GatewayDaemon::GatewayDaemon(const settings::NodeSettings &Settings,
                             const core::gateway::Dialect &Dialect,
                             SettingsSource Source)
    : m_Impl(std::make_unique<Impl>(Settings, Dialect, std::move(Source))) {}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::blockSignals() {
  const sigset_t Signals = signalSet();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

std::optional<std::string> GatewayDaemon::start() { return m_Impl->start(); }

bool GatewayDaemon::runUntilStopped() { return m_Impl->runUntilStopped(); }

} // namespace bronzepass::core::adapters::gateway
