#ifndef BRONZEPASS_CORE_ADAPTERS_LOG_SPDLOGDECISIONLOG_H
#define BRONZEPASS_CORE_ADAPTERS_LOG_SPDLOGDECISIONLOG_H

#include "Core/Ports/Ports.h"
#include "Core/Settings/NodeSettings.h"

#include <map>
#include <memory>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
} // namespace details
} // namespace spdlog

namespace bronzepass::core::adapters::log {

/// Writes each decision to standard error as one line of key=value fields,
/// under the category of the subsystem that decided. Callable from any thread.
/// write() never waits for a slow reader: when the queue is full, the oldest
/// lines are dropped.
class SpdlogDecisionLog : public ports::DecisionLog {
public:
  explicit SpdlogDecisionLog(const settings::NodeSettings &Settings);
  ~SpdlogDecisionLog() override;

  void write(const model::Decision &Line) override;
  /// Waits until the lines written so far are output.
  void flush();

private:
  /// The loggers hold only weak references to it, so it must outlive them.
  std::shared_ptr<spdlog::details::thread_pool> m_Pool;
  std::map<model::DecisionKind, std::shared_ptr<spdlog::logger>> m_Loggers;
};

/// "action=route subject=... chosen=... reason=\"...\" runners_up=\"a: why, b:
/// why\"".
std::string formatDecision(const model::Decision &Line);

} // namespace bronzepass::core::adapters::log

#endif // BRONZEPASS_CORE_ADAPTERS_LOG_SPDLOGDECISIONLOG_H
