#include "Core/Cli/ApplyCommand.h"

#include "Core/Cli/FileText.h"
#include "Core/Cli/GenerationComment.h"
#include "Core/Cli/GenerationWait.h"
#include "Core/Cli/IntentAccess.h"
#include "Core/Model/IntentDiff.h"

#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

namespace {

/// Describes the change from the accepted intent to \p After in one line.
std::string summarizeChange(intent_store::IntentStore &Intents,
                            const model::Intent &After,
                            const CommandContext &Context) {
  const intent_store::ReadOutcome Before = Intents.read();
  if (Before.m_Status != intent_store::ReadStatus::Found)
    return "first intent";
  const std::optional<model::Intent> Old =
      parseIntent(Before.m_Current.m_Text, "intent in force", Context);
  if (!Old)
    return "replaces an intent with findings";
  return model::summarize(model::diffIntents(*Old, After));
}

} // namespace

void ApplyCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("file", po::value<std::string>(), "intent file")(
      "base", po::value<uint64_t>(),
      "generation that the file was made from (default: as its first line "
      "says, as 'get' wrote it)");
  addObjectApiOptions(Options);
  addAuthorOptions(Options);
  addWaitOptions(Options);
}

ExitCode ApplyCommand::run(const CommandContext &Context) const {
  const std::string Path = Context.optionValue("file");
  if (Path.empty()) {
    Context.m_Err << "bronzepass apply: name an intent file\n";
    return ExitCode::Usage;
  }
  std::string Reason;
  const std::optional<std::string> File = readFile(Path, Reason);
  if (!File) {
    Context.m_Err << "bronzepass apply: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const std::optional<model::Intent> After = parseIntent(*File, Path, Context);
  if (!After)
    return ExitCode::Findings;
  const std::unique_ptr<adapters::object_api::BlockingObjectApi> Session =
      openObjectApi(Context, "apply");
  if (!Session)
    return ExitCode::Usage;
  intent_store::IntentStore Intents(*Session);

  std::optional<model::Generation> Base = parseGenerationComment(*File);
  if (Context.m_Options.count("base") != 0)
    Base = model::Generation{Context.m_Options["base"].as<uint64_t>()};
  const std::string Summary = summarizeChange(Intents, *After, Context);
  const intent_store::ApplyOutcome Outcome = Intents.apply(
      {withoutGenerationComment(*File), Base, authorOf(Context), Summary});
  const ExitCode Code = printApplyOutcome(Outcome, Summary, Context);
  if (Code != ExitCode::Ok)
    return Code;
  return waitUntilInForce(Outcome.m_Generation, Context);
}

} // namespace bronzepass::core::cli
