#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_DAEMON_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_DAEMON_H

#include "Core/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::daemon {

/// One node: every adapter, the control thread and the traffic thread,
/// composed from checked settings.
class Daemon {
public:
  explicit Daemon(const settings::NodeSettings &Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Returns an error message if it cannot listen on an address.
  std::optional<std::string> start();

  /// Blocks until SIGTERM or SIGINT, then stops gracefully. Returns true if
  /// every request in progress was completed; a second signal or the stop
  /// timeout aborts the remaining ones. Call blockSignals() before the first
  /// thread starts.
  bool runUntilStopped();
  static void blockSignals();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_DAEMON_H
