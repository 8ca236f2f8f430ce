#include "Core/Cli/GetCommand.h"

#include "Core/Cli/GenerationComment.h"
#include "Core/Cli/IntentAccess.h"
#include "Core/Cli/Table.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

namespace {

void printHistory(const model::IntentHead &Head,
                  const CommandContext &Context) {
  Table Rows({"Generation", "Author", "Change"});
  Rows.add({std::to_string(Head.m_Generation.m_Value), Head.m_Author,
            Head.m_Summary});
  for (const model::IntentRevision &Each : Head.m_Earlier)
    Rows.add({std::to_string(Each.m_Generation.m_Value), Each.m_Author,
              Each.m_Summary});
  Rows.print(Context.m_Out, Context.wantsJson());
}

void printJson(const intent_store::CurrentIntent &Current,
               const CommandContext &Context) {
  const nlohmann::ordered_json Object = {
      {"generation", Current.m_Head.m_Generation.m_Value},
      {"author", Current.m_Head.m_Author},
      {"change", Current.m_Head.m_Summary},
      {"text", Current.m_Text}};
  Context.m_Out << Object.dump(2, ' ', false,
                               nlohmann::json::error_handler_t::replace)
                << "\n";
}

} // namespace

void GetCommand::addOptions(po::options_description &Options) const {
  addObjectApiOptions(Options);
  Options.add_options()("history", po::bool_switch(),
                        "list the last generations with their changes");
}

ExitCode GetCommand::run(const CommandContext &Context) const {
  const std::unique_ptr<adapters::object_api::BlockingObjectApi> Session =
      openObjectApi(Context, "get");
  if (!Session)
    return ExitCode::Usage;
  intent_store::IntentStore Intents(*Session);
  ExitCode Code = ExitCode::Ok;
  const std::optional<intent_store::CurrentIntent> Current =
      readCurrentIntent(Intents, Context, Code);
  if (!Current)
    return Code;
  if (Context.m_Options["history"].as<bool>())
    printHistory(Current->m_Head, Context);
  else if (Context.wantsJson())
    printJson(*Current, Context);
  else
    Context.m_Out << withGenerationComment(Current->m_Text,
                                           Current->m_Head.m_Generation);
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
