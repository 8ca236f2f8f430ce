#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYLOG_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYLOG_H

#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Finding.h"
#include "Core/Residency/ResidencyTypes.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
} // namespace details
} // namespace spdlog

namespace bronzepass::core::adapters::gateway {

using LogValue = std::variant<std::string, int64_t>;
using LogField = std::pair<const char *, LogValue>;

/// Writes one JSON object per line to standard output; the fields are listed in
/// docs/LOGS.md. Thread-safe. Writing never blocks on a slow reader: when the
/// queue is full, the oldest lines are dropped and counted.
class GatewayLog {
public:
  explicit GatewayLog(std::string Node);
  ~GatewayLog();
  GatewayLog(const GatewayLog &) = delete;
  GatewayLog &operator=(const GatewayLog &) = delete;

  /// \p Category: "request", "quarantine", "placement", "config", "endpoint",
  /// "dependency", "process", "streams". Fields with an empty text are omitted.
  void write(const char *Category, const std::string &Action,
             const std::vector<LogField> &Fields);
  void write(const core::gateway::RelayLogEntry &Entry);
  void write(const core::gateway::QuarantineChange &Change);
  void write(const core::gateway::StatementChange &Change);
  void write(const core::gateway::PauseBegun &Pause);
  void write(const core::gateway::LinksChange &Change);
  void write(const core::gateway::ProofChange &Change);
  void write(const residency::ResidencyLogEntry &Entry);
  /// Writes one line for each finding in the data that the store or an engine
  /// sent about \p Name.
  void writeFindings(const char *Category, const std::string &Name,
                     const model::FindingList &Findings);

  /// Number of lines dropped because the queue was full.
  uint64_t dropped() const;
  void flush();

private:
  std::string m_Node;
  std::shared_ptr<spdlog::details::thread_pool> m_Pool;
  std::shared_ptr<spdlog::logger> m_Logger;
  std::atomic<uint64_t> m_DroppedReported = 0;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYLOG_H
