#include "Core/Cli/ExplainCommand.h"

#include "Core/Cli/NodePage.h"
#include "Core/Cli/Table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using nlohmann::ordered_json;

namespace {

void printDecisions(const ordered_json &Decisions, std::ostream &Out) {
  Table Rows({"Action", "Chosen", "Reason", "Runners-up"});
  for (const ordered_json &Each : Decisions) {
    std::string Others;
    for (const ordered_json &Other : Each["runners_up"])
      Others += (Others.empty() ? "" : ", ") + cell(Other, "name") + ": " +
                cell(Other, "why");
    Rows.add({cell(Each, "action"), cell(Each, "chosen"), cell(Each, "reason"),
              Others});
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

} // namespace

void ExplainCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("model", po::value<std::string>(), "name of the model")(
      "request", po::value<std::string>(),
      "number of a request, as its decision line gives it");
  addNodeOptions(Options);
}

ExitCode ExplainCommand::run(const CommandContext &Context) const {
  const std::string Model = Context.text("model");
  const std::string Request = Context.text("request");
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
