#include "Core/Cli/DiffCommand.h"

#include "Core/Cli/FileText.h"
#include "Core/Cli/IntentAccess.h"
#include "Core/Cli/Table.h"
#include "Core/Model/IntentDiff.h"

#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

void DiffCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("file", po::value<std::string>(), "intent file");
  addObjectApiOptions(Options);
}

ExitCode DiffCommand::run(const CommandContext &Context) const {
  const std::string Path = Context.optionValue("file");
  if (Path.empty()) {
    Context.m_Err << "bronzepass diff: name an intent file\n";
    return ExitCode::Usage;
  }
  std::string Reason;
  const std::optional<std::string> File = readFile(Path, Reason);
  if (!File) {
    Context.m_Err << "bronzepass diff: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const std::optional<model::Intent> After = parseIntent(*File, Path, Context);
  if (!After)
    return ExitCode::Findings;
  const std::unique_ptr<adapters::object_api::BlockingObjectApi> Session =
      openObjectApi(Context, "diff");
  if (!Session)
    return ExitCode::Usage;
  intent_store::IntentStore Intents(*Session);
  ExitCode Code = ExitCode::Ok;
  const std::optional<intent_store::CurrentIntent> Current =
      readCurrentIntent(Intents, Context, Code);
  if (!Current)
    return Code;
  const std::optional<model::Intent> Before =
      parseIntent(Current->m_Text, "intent in force", Context);
  if (!Before)
    return ExitCode::Findings;
  Table Rows({"Change", "Section", "Name"});
  for (const model::IntentChange &Each : model::diffIntents(*Before, *After))
    Rows.add({model::toString(Each.m_Kind), Each.m_Section, Each.m_Name});
  Rows.print(Context.m_Out, Context.wantsJson());
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
