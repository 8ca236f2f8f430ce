#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H

#include "Core/Gateway/Dialect.h"
#include "Core/Settings/NodeSettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// Settings read anew, or findings and nothing.
using SettingsSource =
    std::function<std::optional<settings::NodeSettings>(std::string &Reason)>;

/// One node in front of the platform's endpoints, from start to end.
class GatewayDaemon {
public:
  /// \p Dialect outlives it. \p Source is asked on SIGHUP and once a second.
  GatewayDaemon(const settings::NodeSettings &Settings,
                const core::gateway::Dialect &Dialect, SettingsSource Source);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Before any thread starts.
  static void blockSignals();
  /// The reason where it can't start.
  std::optional<std::string> start();
  /// Until SIGTERM or SIGINT; true where every request had its answer in time.
  bool runUntilStopped();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYDAEMON_H
