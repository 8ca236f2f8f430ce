#include "Core/Adapters/Gateway/GatewayDaemon.h"

#include "Core/Adapters/Daemon/CrashReport.h"
#include "Core/Adapters/Daemon/SystemLimits.h"
#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/GatewayControl.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Settings/GatewaySettings.h"

#include <atomic>
#include <cmath>
#include <csignal>
#include <ctime>
#include <pthread.h>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace keys = settings::gateway;

namespace {

/// Nodes that start together have listed and heard each other by then.
constexpr model::Duration FirstLeaseDelay = std::chrono::seconds(2);
/// How often the settings are read again.
constexpr long SettingsPeriodNanos = 1'000'000'000;
/// How often the shutdown checks whether all requests have been answered.
constexpr long StopPeriodNanos = 20'000'000;
/// Part of the grace period that is reserved for ending the process itself.
constexpr model::Duration GraceMargin = std::chrono::milliseconds(400);
/// Part before that in which the last answers and refusals are written, and at
/// most the grace period divided by this.
constexpr model::Duration AnswerMargin = std::chrono::milliseconds(600);
constexpr int AnswerMarginDivisor = 10;
/// The lame-duck phase takes at most the grace period divided by this.
constexpr int LameDuckDivisor = 2;
/// A lease holder stops acting before its term ends, by the term divided by
/// this.
constexpr int LeaseMarginDivisor = 6;

sigset_t signalSet() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Returns the signal received within \p Nanos, or 0 if there was none.
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
  Relay.m_KeyRevocationTime = Settings.get(keys::KeyRevocationTime);
  Relay.m_Quotas = {Settings.get(keys::QuotaWindow),
                    Settings.get(keys::QuotaOverage),
                    Settings.get(keys::QuotaSlack)};
  Relay.m_OrdersBySlack = Settings.get(keys::WaitingOrder) == "slack";
  Relay.m_Domain = model::DomainId(Settings.get(keys::NodeDomain));
  return Relay;
}

uint32_t cpuPercent(double Cores) {
  constexpr double PercentOfCore = 100;
  return static_cast<uint32_t>(std::lround(Cores * PercentOfCore));
}

ProcessLimits processLimits(const settings::NodeSettings &Settings) {
  ProcessLimits Limits{Settings.get(keys::MemoryLimit).m_Value,
                       Settings.get(keys::DescriptorLimit)};
  if (Limits.m_MemoryBytes == 0)
    Limits.m_MemoryBytes = daemon::systemMemoryBytes();
  if (Limits.m_Descriptors == 0)
    Limits.m_Descriptors = daemon::systemDescriptors();
  return Limits;
}

model::Address forwardingAddress(const settings::NodeSettings &Settings) {
  model::Address Address = Settings.get(keys::ListenPeers);
  const uint64_t Port = Settings.get(keys::ListenForwardingPort);
  Address.m_Port = static_cast<uint16_t>(Port > 0 ? Port : Address.m_Port + 1);
  return Address;
}

ControlOptions controlOptions(const settings::NodeSettings &Settings) {
  ControlOptions Options;
  Options.m_Store = Settings.get(keys::PlatformStore);
  Options.m_Self = {model::NodeId(Settings.get(keys::NodeName)),
                    Settings.get(keys::ListenPeers),
                    model::DomainId(Settings.get(keys::NodeDomain)),
                    cpuPercent(Settings.get(keys::NodeCpuShare))};
  Options.m_FeedTimes = {Settings.get(keys::PlatformLeaveNotice),
                         Settings.get(keys::PlatformContactTime),
                         Settings.get(keys::KeyRevocationTime),
                         Settings.get(keys::PlatformConfigNotice)};
  Options.m_Lease.m_Term = Settings.get(keys::LeaseTerm);
  Options.m_Lease.m_Margin = Options.m_Lease.m_Term / LeaseMarginDivisor;
  // Handing the duty over gains nothing and makes the new holder request a
  // report from every engine.
  Options.m_Lease.m_HandOverDelay = std::chrono::hours(24);
  Options.m_Lease.m_InitialDelay = FirstLeaseDelay;
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
                   Settings.get(keys::ListenPeers), forwardingAddress(Settings),
                   Settings.get(keys::ListenMetrics)},
                  processLimits(Settings), relaySettings(Settings),
                  model::NodeId(Settings.get(keys::NodeName)), Dialect, m_Clock,
                  m_Log, m_Control) {}

  ~Impl() {
    m_Traffic.join();
    m_Control.join();
  }

  std::optional<std::string> start() {
    daemon::returnLargeBlocks();
    daemon::CrashReport::install(m_Settings.get(keys::NodeName));
    if (std::optional<std::string> Reason = m_Traffic.start())
      return Reason;
    if (std::optional<std::string> Reason = m_Control.start(m_Traffic))
      return Reason;
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
  void reload(bool IsRequested) {
    std::string Reason;
    const std::optional<settings::NodeSettings> NewSettings = m_Source(Reason);
    if (!NewSettings) {
      if (IsRequested || Reason != m_ReloadReason)
        m_Log.write("process", "reload_refused", {{"reason", Reason}});
      m_ReloadReason = Reason;
      return;
    }
    m_ReloadReason.clear();
    const bool Changed = *NewSettings != m_Settings;
    if (!IsRequested && !Changed)
      return;
    // Addresses and names are fixed while the process runs; differences are
    // only logged.
    m_Log.write("process", "reload",
                {{"reason", Changed ? "the settings changed; those of a stop "
                                      "take effect now, the others at the "
                                      "next start"
                                    : "the settings have not changed"}});
    if (Changed)
      m_Settings = *NewSettings;
  }

  bool stop() {
    const model::Duration Grace = m_Settings.get(keys::StopGrace);
    const model::Duration LameDuck =
        std::min(m_Settings.get(keys::StopLameDuck), Grace / LameDuckDivisor);
    m_Log.write("process", "stop", {});
    const model::TimePoint GiveUpAt = m_Clock.now() + Grace - GraceMargin;
    std::atomic<bool> Drained = false;
    std::atomic<bool> Released = false;
    const model::TimePoint AnsweredBy =
        GiveUpAt - std::min(AnswerMargin, Grace / AnswerMarginDivisor);
    m_Traffic.stop(LameDuck, AnsweredBy, [&Drained] { Drained = true; });
    m_Control.stop([&Released] { Released = true; });
    while (!Drained && m_Clock.now() < GiveUpAt)
      waitForSignal(StopPeriodNanos);
    const bool Finished = Drained;
    m_Traffic.logRequestsLeft();
    m_Log.write("process", "end",
                {{"reason", Finished ? "all requests were answered"
                                     : "the grace period expired"}});
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
