#include "Core/Cli/ExplainCommand.h"

#include "Core/Cli/LogFiles.h"
#include "Core/Cli/NodePage.h"
#include "Core/Cli/Table.h"
#include "Core/Logs/RequestTimeline.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using nlohmann::ordered_json;

namespace {

void printDecisions(const ordered_json &Decisions, std::ostream &Out) {
  Table Rows({"Action", "Chosen", "Reason", "Runners-up"});
  for (const ordered_json &Each : Decisions) {
    std::string RunnersUp;
    for (const ordered_json &RunnerUp : Each["runners_up"])
      RunnersUp += (RunnersUp.empty() ? "" : ", ") + cell(RunnerUp, "name") +
                   ": " + cell(RunnerUp, "why");
    Rows.add({cell(Each, "action"), cell(Each, "chosen"), cell(Each, "reason"),
              RunnersUp});
  }
  Rows.print(Out, false);
}

void printVersion(const ordered_json &Version, std::ostream &Out) {
  Out << cell(Version, "artifact") << "\n";
  Table Copies({"Endpoint", "State"});
  for (const ordered_json &Each : Version["copies"])
    Copies.add({cell(Each, "endpoint"), cell(Each, "state")});
  Copies.print(Out, false);
  if (!Version["placement"].empty()) {
    Table Reasons({"Endpoint", "Reason", "Answers"});
    for (const ordered_json &Each : Version["placement"])
      Reasons.add({cell(Each, "endpoint"), cell(Each, "reason"),
                   cell(Each, "answers")});
    Out << "\n";
    Reasons.print(Out, false);
  }
  Out << "\n";
  printDecisions(Version["decisions"], Out);
}

std::string formatOffset(int64_t Millis) {
  return (Millis < 0 ? "-" : "+") + std::to_string(std::abs(Millis)) + " ms";
}

void printTimeline(const logs::RequestTimeline &Timeline, std::ostream &Out) {
  Table Entries({"After", "Node", "Line", "Fields"});
  for (const logs::TimelineEntry &Each : Timeline.m_Entries)
    Entries.add({formatOffset(Each.m_OffsetMs), Each.m_Line.m_Node,
                 std::string(Each.m_IsRequestLine ? "* " : "  ") +
                     Each.m_Line.m_Category + " " + Each.m_Line.m_Action,
                 formatFields(Each.m_Line, {"request"})});
  Entries.print(Out, false);
  Out << "\nOutcome: "
      << (Timeline.m_Outcome.empty() ? "none in these lines"
                                     : Timeline.m_Outcome)
      << (Timeline.m_Status.empty() ? "" : " " + Timeline.m_Status) << "\n";
  for (const std::string &Each : Timeline.m_Causes)
    Out << "Cause: " << Each << "\n";
}

void printTimelineJson(const logs::RequestTimeline &Timeline,
                       const std::string &Request, std::ostream &Out) {
  ordered_json Entries = ordered_json::array();
  for (const logs::TimelineEntry &Each : Timeline.m_Entries)
    Entries.push_back({{"after_ms", Each.m_OffsetMs},
                       {"own", Each.m_IsRequestLine},
                       {"time", formatTime(Each.m_Line.m_TimeMs)},
                       {"node", Each.m_Line.m_Node},
                       {"category", Each.m_Line.m_Category},
                       {"action", Each.m_Line.m_Action},
                       {"fields", Each.m_Line.m_Fields}});
  const ordered_json Page = {{"request", Request},
                             {"outcome", Timeline.m_Outcome},
                             {"status", Timeline.m_Status},
                             {"causes", Timeline.m_Causes},
                             {"lines", std::move(Entries)}};
  Out << Page.dump(2, ' ', false, ordered_json::error_handler_t::replace)
      << "\n";
}

ExitCode explainFromLogs(const CommandContext &Context,
                         const std::vector<std::string> &Logs,
                         const std::string &Request) {
  if (Request.empty()) {
    Context.m_Err << "bronzepass explain: name a request's id beside --logs\n";
    return ExitCode::Usage;
  }
  const std::optional<adapters::json::LogReadResult> ReadResult =
      readLogs(Context, "explain", Logs);
  if (!ReadResult)
    return ExitCode::Failed;
  const logs::RequestTimeline Timeline =
      logs::explainRequest(ReadResult->m_Lines, Request);
  if (Timeline.m_Entries.empty()) {
    Context.m_Err << "bronzepass explain: no line names request " << Request
                  << "; its node's log may not be among these\n";
    return ExitCode::NotFound;
  }
  if (Context.wantsJson())
    printTimelineJson(Timeline, Request, Context.m_Out);
  else
    printTimeline(Timeline, Context.m_Out);
  return ExitCode::Ok;
}

} // namespace

void ExplainCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("subject", po::value<std::string>(),
                        "name of a model; with --logs, a caller's request id")(
      "logs", po::value<std::vector<std::string>>()->composing(),
      "log of a gateway node, - for standard input; may stand more than once")(
      "request", po::value<std::string>(),
      "number of a request, as its decision line gives it");
  addNodeOptions(Options);
}

ExitCode ExplainCommand::run(const CommandContext &Context) const {
  const std::string Model = Context.optionValue("subject");
  const std::string Request = Context.optionValue("request");
  const std::vector<std::string> Logs = Context.optionValues("logs");
  if (!Logs.empty())
    return explainFromLogs(Context, Logs, Model);
  if (Model.empty() == Request.empty()) {
    Context.m_Err << "bronzepass explain: name a model or --request\n";
    return ExitCode::Usage;
  }
  ExitCode Code = ExitCode::Ok;
  const std::string Path =
      Model.empty() ? "/explain?request=" + Request : "/explain?model=" + Model;
  const std::optional<ordered_json> Page =
      fetchPage(Context, name(), Path, Code);
  if (!Page)
    return Code;
  if (Context.wantsJson())
    Context.m_Out << Page->dump(2) << "\n";
  else if (Model.empty())
    printDecisions((*Page)["decisions"], Context.m_Out);
  else
    for (const ordered_json &Version : (*Page)["versions"])
      printVersion(Version, Context.m_Out);
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
