#include "Core/Cli/MovesCommand.h"

#include "Core/Cli/NodePage.h"
#include "Core/Cli/Table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

using nlohmann::ordered_json;

void MovesCommand::addOptions(
    boost::program_options::options_description &Options) const {
  addNodeOptions(Options);
}

ExitCode MovesCommand::run(const CommandContext &Context) const {
  ExitCode Code = ExitCode::Ok;
  const std::optional<ordered_json> Page =
      fetchPage(Context, name(), "/moves", Code);
  if (!Page)
    return Code;
  if (Context.wantsJson()) {
    Context.m_Out << Page->dump(2) << "\n";
    return ExitCode::Ok;
  }
  Table Moves({"Artifact", "Endpoint", "Order", "Phase", "Reason"});
  for (const ordered_json &Each : (*Page)["moves"])
    Moves.add({cell(Each, "artifact"), cell(Each, "endpoint"),
               cell(Each, "order"), cell(Each, "phase"), cell(Each, "reason")});
  Moves.print(Context.m_Out, false);
  Context.m_Out << "\nsince this node took its leases: "
                << cell(*Page, "model_loads") << " model loads, "
                << cell(*Page, "adapter_loads") << " adapter loads, "
                << cell(*Page, "unloads") << " unloads, "
                << cell(*Page, "repeats") << " repeats\n";
  for (const ordered_json &Waiting : (*Page)["waiting"])
    Context.m_Out << "waiting: " << Waiting.get<std::string>() << "\n";
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
