#include "Core/Adapters/Log/SpdlogDecisionLog.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bronzepass::core::adapters::log {

namespace {

/// Lines queued while standard error is slow to accept output.
constexpr size_t MaxQueuedLines = 8192;
constexpr const char *LinePattern = "%Y-%m-%dT%H:%M:%S.%e%z %l %n %v";

/// Quotes a value that is empty or contains a space, quote, '=' or newline.
std::string quoted(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"=\n") == std::string::npos)
    return Value;
  std::string Text = "\"";
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Text += '\\';
    Text += C == '\n' ? ' ' : C;
  }
  return Text + "\"";
}

struct Category {
  model::DecisionKind m_Kind;
  const char *m_Name;
  const settings::Setting<std::string> &m_Level;
};

} // namespace

std::string formatDecision(const model::Decision &Line) {
  std::string Text =
      "action=" + quoted(Line.m_Action) + " subject=" + quoted(Line.m_Subject);
  if (!Line.m_Chosen.empty())
    Text += " chosen=" + quoted(Line.m_Chosen);
  if (!Line.m_Reason.empty())
    Text += " reason=" + quoted(Line.m_Reason);
  if (Line.m_RunnersUp.empty())
    return Text;
  std::string Others;
  for (const model::RunnerUp &Each : Line.m_RunnersUp)
    Others += (Others.empty() ? "" : ", ") + Each.m_Name + ": " + Each.m_Why;
  return Text + " runners_up=" + quoted(Others);
}

SpdlogDecisionLog::SpdlogDecisionLog(const settings::NodeSettings &Settings) {
  auto Pool = std::make_shared<spdlog::details::thread_pool>(MaxQueuedLines, 1);
  auto Sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  const Category Categories[] = {
      {model::DecisionKind::Routing, "routing", settings::LogRouting},
      {model::DecisionKind::Placement, "placement", settings::LogPlacement},
      {model::DecisionKind::Membership, "membership", settings::LogMembership},
      {model::DecisionKind::Claims, "claims", settings::LogClaims},
      {model::DecisionKind::Intent, "intent", settings::LogIntent},
  };
  for (const Category &Each : Categories) {
    auto Logger = std::make_shared<spdlog::async_logger>(
        Each.m_Name, Sink, Pool, spdlog::async_overflow_policy::overrun_oldest);
    Logger->set_pattern(LinePattern);
    Logger->set_level(spdlog::level::from_str(Settings.get(Each.m_Level)));
    Logger->flush_on(spdlog::level::info);
    m_Loggers[Each.m_Kind] = std::move(Logger);
  }
  m_Pool = std::move(Pool);
}

SpdlogDecisionLog::~SpdlogDecisionLog() { flush(); }

void SpdlogDecisionLog::write(const model::Decision &Line) {
  const std::shared_ptr<spdlog::logger> &Logger = m_Loggers.at(Line.m_Kind);
  if (Logger->should_log(spdlog::level::info))
    Logger->info(formatDecision(Line));
}

void SpdlogDecisionLog::flush() {
  for (const auto &Entry : m_Loggers)
    Entry.second->flush();
}

} // namespace bronzepass::core::adapters::log
