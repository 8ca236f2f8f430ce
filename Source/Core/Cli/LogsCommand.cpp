#include "Core/Cli/LogsCommand.h"

#include "Core/Cli/LogFiles.h"
#include "Core/Cli/Table.h"
#include "Core/Logs/LogSummary.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using logs::LogLine;
using logs::LogSummary;
using nlohmann::ordered_json;

namespace {

constexpr int64_t MillisPerSecond = 1000;

ordered_json lineJson(const LogLine &Line) {
  ordered_json Object = {{"time", formatTime(Line.m_TimeMs)},
                         {"node", Line.m_Node},
                         {"category", Line.m_Category},
                         {"action", Line.m_Action}};
  for (const auto &Field : Line.m_Fields)
    Object[Field.first] = Field.second;
  return Object;
}

ordered_json summaryJson(const LogSummary &Summary, uint64_t Unreadable) {
  ordered_json Kinds = ordered_json::object();
  for (const auto &Each : Summary.m_Kinds)
    Kinds[Each.first] = {{"answered", Each.second.m_Answered},
                         {"refused", Each.second.m_Refused},
                         {"cut", Each.second.m_Cut},
                         {"gone", Each.second.m_Gone},
                         {"median_ms", Each.second.m_MedianMs},
                         {"p99_ms", Each.second.m_P99Ms},
                         {"most_ms", Each.second.m_MaxMs}};
  ordered_json Causes = ordered_json::array();
  for (const logs::FailureCause &Each : Summary.m_Causes)
    Causes.push_back({{"action", Each.m_Action},
                      {"status", Each.m_Status},
                      {"reason", Each.m_Reason},
                      {"count", Each.m_Count},
                      {"example", Each.m_ExampleRequest}});
  ordered_json Slowest = ordered_json::array();
  for (const LogLine &Each : Summary.m_Slowest)
    Slowest.push_back(lineJson(Each));
  ordered_json Changes = ordered_json::array();
  for (const LogLine &Each : Summary.m_Changes)
    Changes.push_back(lineJson(Each));
  return {{"lines", Summary.m_Lines},
          {"lines_dropped", Summary.m_LinesDropped},
          {"lines_unreadable", Unreadable},
          {"from", formatTime(Summary.m_FromMs)},
          {"until", formatTime(Summary.m_UntilMs)},
          {"kinds", std::move(Kinds)},
          {"causes", std::move(Causes)},
          {"orders", Summary.m_Orders},
          {"slowest", std::move(Slowest)},
          {"changes", std::move(Changes)}};
}

void printSummary(const LogSummary &Summary, uint64_t Unreadable,
                  std::ostream &Out) {
  Out << Summary.m_Lines << " lines from " << formatTime(Summary.m_FromMs)
      << " to " << formatTime(Summary.m_UntilMs) << " ("
      << (Summary.m_UntilMs - Summary.m_FromMs) / MillisPerSecond << " s), "
      << Summary.m_LinesDropped << " left out by the nodes, " << Unreadable
      << " unreadable\n\n";
  Table Kinds({"Kind", "Answered", "Refused", "Cut", "Gone", "Median ms",
               "99th ms", "Most ms"});
  for (const auto &Each : Summary.m_Kinds)
    Kinds.add({Each.first, std::to_string(Each.second.m_Answered),
               std::to_string(Each.second.m_Refused),
               std::to_string(Each.second.m_Cut),
               std::to_string(Each.second.m_Gone),
               std::to_string(Each.second.m_MedianMs),
               std::to_string(Each.second.m_P99Ms),
               std::to_string(Each.second.m_MaxMs)});
  Kinds.print(Out, false);
  Out << "\nRefused or cut\n";
  Table Causes({"Count", "Action", "Status", "Example", "Reason"});
  for (const logs::FailureCause &Each : Summary.m_Causes)
    Causes.add({std::to_string(Each.m_Count), Each.m_Action, Each.m_Status,
                Each.m_ExampleRequest, Each.m_Reason});
  Causes.print(Out, false);
  Out << "\nOrders\n";
  Table Orders({"Count", "Order"});
  for (const auto &Each : Summary.m_Orders)
    Orders.add({std::to_string(Each.second), Each.first});
  Orders.print(Out, false);
  Out << "\nSlowest answers\n";
  Table Slowest({"Milliseconds", "Request", "Kind", "Endpoint", "Sends"});
  for (const LogLine &Each : Summary.m_Slowest)
    Slowest.add({Each.field("elapsed_ms"), Each.field("request"),
                 Each.field("kind"), Each.field("endpoint"),
                 Each.field("sends")});
  Slowest.print(Out, false);
  Out << "\nChanges\n";
  Table Changes({"Time", "Node", "Change", "Fields"});
  for (const LogLine &Each : Summary.m_Changes)
    Changes.add({formatTime(Each.m_TimeMs), Each.m_Node,
                 Each.m_Category + " " + Each.m_Action, formatFields(Each)});
  Changes.print(Out, false);
}

} // namespace

void LogsCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("file", po::value<std::vector<std::string>>(),
                        "logs of any number of nodes; - reads standard input");
}

ExitCode LogsCommand::run(const CommandContext &Context) const {
  const std::vector<std::string> Paths = Context.optionValues("file");
  if (Paths.empty()) {
    Context.m_Err << "bronzepass logs: name a log, or - for standard input\n";
    return ExitCode::Usage;
  }
  const std::optional<adapters::json::LogReadResult> ReadResult =
      readLogs(Context, name(), Paths);
  if (!ReadResult)
    return ExitCode::Failed;
  const LogSummary Summary = logs::summarize(ReadResult->m_Lines);
  if (Context.wantsJson())
    Context.m_Out << summaryJson(Summary, ReadResult->m_UnreadableLines)
                         .dump(2, ' ', false,
                               ordered_json::error_handler_t::replace)
                  << "\n";
  else
    printSummary(Summary, ReadResult->m_UnreadableLines, Context.m_Out);
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
