#include "Core/Cli/StatusCommand.h"

#include "Core/Cli/NodePage.h"
#include "Core/Cli/Table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

using nlohmann::ordered_json;

namespace {

void printNode(const ordered_json &Page, std::ostream &Out) {
  Out << "node " << cell(Page["node"], "node") << ", generation "
      << cell(Page, "generation") << ", "
      << (Page.value("ready", false) ? "ready"
                                     : "not ready: " + cell(Page, "reason"))
      << "\n\n";
  Table Nodes({"Node", "Failure-domain", "Region", "Liveness"});
  for (const ordered_json &Each : Page["nodes"])
    Nodes.add({cell(Each, "node"), cell(Each, "failure_domain"),
               cell(Each, "region"), cell(Each, "liveness")});
  Nodes.print(Out, false);
}

void printEndpoints(const ordered_json &Page, std::ostream &Out) {
  Table Endpoints(
      {"Endpoint", "Liveness", "Copies", "Memory", "Used", "Promised"});
  for (const ordered_json &Each : Page)
    Endpoints.add({cell(Each, "endpoint"), cell(Each, "liveness"),
                   cell(Each, "copies"), cell(Each, "memory_bytes"),
                   cell(Each, "used_bytes"), cell(Each, "promised_bytes")});
  Out << "\n";
  Endpoints.print(Out, false);
}

void printModels(const ordered_json &Page, std::ostream &Out) {
  Table Models({"Model", "Copies"});
  for (const ordered_json &Each : Page) {
    std::string Copies;
    for (const ordered_json &Copy : Each["copies"])
      Copies += (Copies.empty() ? "" : ", ") + cell(Copy, "endpoint") + " " +
                cell(Copy, "state");
    Models.add({cell(Each, "artifact"), Copies.empty() ? "none" : Copies});
  }
  Out << "\n";
  Models.print(Out, false);
}

} // namespace

void StatusCommand::addOptions(
    boost::program_options::options_description &Options) const {
  addNodeOptions(Options);
}

ExitCode StatusCommand::run(const CommandContext &Context) const {
  ExitCode Code = ExitCode::Ok;
  const std::optional<ordered_json> Status =
      fetchPage(Context, name(), "/status", Code);
  if (!Status)
    return Code;
  const std::optional<ordered_json> Engines =
      fetchPage(Context, name(), "/engines", Code);
  if (!Engines)
    return Code;
  const std::optional<ordered_json> Models =
      fetchPage(Context, name(), "/models", Code);
  if (!Models)
    return Code;
  if (Context.wantsJson()) {
    ordered_json All = *Status;
    All["endpoints"] = *Engines;
    All["models"] = *Models;
    Context.m_Out << All.dump(2) << "\n";
    return ExitCode::Ok;
  }
  printNode(*Status, Context.m_Out);
  printEndpoints(*Engines, Context.m_Out);
  printModels(*Models, Context.m_Out);
  for (const ordered_json &Waiting : (*Status)["waiting"])
    Context.m_Out << "waiting: " << Waiting.get<std::string>() << "\n";
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
