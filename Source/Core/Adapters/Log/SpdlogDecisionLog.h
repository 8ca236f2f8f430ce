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

/// Writes each decision as one line of key=value fields to the standard
/// error, under the category of the subsystem that decided. Callable from any
/// thread; a line never waits for a slow reader of the log, lines past the
/// queue's end are dropped, oldest first.
class SpdlogDecisionLog : public ports::DecisionLog {
public:
  explicit SpdlogDecisionLog(const settings::NodeSettings &Settings);
  ~SpdlogDecisionLog() override;

  void write(const model::Decision &Line) override;
  /// Waits until what was written has left.
  void flush();

private:
  /// Loggers know it weakly only: it must live as long as they do.
  std::shared_ptr<spdlog::details::thread_pool> m_Pool;
  std::map<model::DecisionKind, std::shared_ptr<spdlog::logger>> m_Loggers;
};

/// "action=route subject=... chosen=... reason=\"...\" runners_up=[a: why]".
std::string formatDecision(const model::Decision &Line);

} // namespace bronzepass::core::adapters::log

#endif // BRONZEPASS_CORE_ADAPTERS_LOG_SPDLOGDECISIONLOG_H
