#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H

#include "Core/Gateway/Dialect.h"
#include "Core/Settings/NodeSettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// Reads the settings again; returns nullopt and sets \p Reason on failure.
using SettingsSource =
    std::function<std::optional<settings::NodeSettings>(std::string &Reason)>;

/// Runs one gateway node in front of the platform's endpoints, from start to
/// shutdown.
class GatewayDaemon {
public:
  /// \p Dialect must outlive this object. \p Source is called on SIGHUP and
  /// once a second.
  GatewayDaemon(const settings::NodeSettings &Settings,
                const core::gateway::Dialect &Dialect, SettingsSource Source);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Must be called before any thread starts.
  static void blockSignals();
  /// Returns the reason if the node cannot start.
  std::optional<std::string> start();
  /// Runs until SIGTERM or SIGINT; returns true if every request was answered
  /// within the grace period.
  bool runUntilStopped();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H
