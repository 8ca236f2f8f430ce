#include "Core/Cli/IntentAccess.h"

#include "Core/Adapters/Yaml/MapReader.h"
#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Cli/FindingPrinter.h"
#include "Core/Cli/Table.h"
#include "Core/Model/IntentDiff.h"

#include <cstdlib>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using intent_store::ApplyOutcome;
using intent_store::ApplyStatus;
using intent_store::CurrentIntent;
using intent_store::IntentStore;
using intent_store::ReadOutcome;
using intent_store::ReadStatus;

namespace {

/// Limits the retries after another change was accepted first.
constexpr int MaxEditAttempts = 5;

ExitCode exitCodeOf(ApplyStatus Status) {
  switch (Status) {
  case ApplyStatus::Accepted:
  case ApplyStatus::Unchanged:
    return ExitCode::Ok;
  case ApplyStatus::Conflict:
    return ExitCode::Conflict;
  case ApplyStatus::Unavailable:
  case ApplyStatus::Unknown:
    return ExitCode::Failed;
  }
  return ExitCode::Failed;
}

const char *outcomeName(ApplyStatus Status) {
  switch (Status) {
  case ApplyStatus::Accepted:
    return "accepted";
  case ApplyStatus::Unchanged:
    return "unchanged";
  case ApplyStatus::Conflict:
    return "conflict";
  case ApplyStatus::Unavailable:
    return "not accepted";
  case ApplyStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace

void addObjectApiOptions(po::options_description &Options) {
  Options.add_options()(
      "object-api", po::value<std::string>()->default_value("127.0.0.1:18001"),
      "address of the platform's object API")(
      "namespace", po::value<std::string>()->default_value("default"),
      "namespace of the deployment's objects")(
      "patience", po::value<std::string>()->default_value("10s"),
      "how long to try where the object API does not answer");
}

void addAuthorOptions(po::options_description &Options) {
  Options.add_options()("author", po::value<std::string>(),
                        "who makes the change (default: the user's name)");
}

std::unique_ptr<adapters::object_api::BlockingObjectApi>
openObjectApi(const CommandContext &Context, const std::string &Command) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const std::optional<model::Address> Address =
      adapters::yaml::parseAddress(Context.optionValue("object-api"));
  const std::optional<model::Duration> Patience =
      adapters::yaml::parseDuration(Context.optionValue("patience"));
  if (!Address)
    Context.m_Err << "bronzepass " << Command << ": --object-api is '"
                  << Context.optionValue("object-api")
                  << "', expected an IP number and a port\n";
  if (!Patience)
    Context.m_Err << "bronzepass " << Command << ": --patience is '"
                  << Context.optionValue("patience")
                  << "', expected a time, e.g. 10s\n";
  if (!Address || !Patience)
    return nullptr;
  return std::make_unique<adapters::object_api::BlockingObjectApi>(
      adapters::object_api::ObjectApiSettings{*Address,
                                              Context.optionValue("namespace")},
      duration_cast<milliseconds>(*Patience));
}

std::optional<model::Intent> parseIntent(const std::string &Text,
                                         const std::string &FileName,
                                         const CommandContext &Context) {
  const ports::IntentReadResult ReadResult =
      adapters::yaml::YamlIntentReader().read(Text, FileName);
  if (!ReadResult.m_Findings.empty())
    printFindings(ReadResult.m_Findings, Context);
  return ReadResult.m_Intent;
}

std::optional<CurrentIntent> readCurrentIntent(IntentStore &Intents,
                                               const CommandContext &Context,
                                               ExitCode &Code) {
  const ReadOutcome Outcome = Intents.read();
  if (Outcome.m_Status == ReadStatus::Found)
    return Outcome.m_Current;
  Context.m_Err << "bronzepass: " << Outcome.m_Reason << "\n";
  Code = Outcome.m_Status == ReadStatus::None ? ExitCode::NotFound
                                              : ExitCode::Failed;
  return std::nullopt;
}

ExitCode printApplyOutcome(const ApplyOutcome &Outcome,
                           const std::string &Summary,
                           const CommandContext &Context) {
  Table Rows({"Outcome", "Generation", "Author", "Change"});
  Rows.add({outcomeName(Outcome.m_Status),
            std::to_string(Outcome.m_Generation.m_Value), authorOf(Context),
            Summary});
  for (const model::IntentRevision &Earlier : Outcome.m_ChangesSinceBase)
    Rows.add({"came first", std::to_string(Earlier.m_Generation.m_Value),
              Earlier.m_Author, Earlier.m_Summary});
  Rows.print(Context.m_Out, Context.wantsJson());
  if (!Outcome.m_Reason.empty())
    Context.m_Err << "bronzepass: " << Outcome.m_Reason << "\n";
  return exitCodeOf(Outcome.m_Status);
}

ExitCode editIntent(const CommandContext &Context, const std::string &Command,
                    const std::function<std::optional<std::string>(
                        const std::string &Text, const model::Intent &Current,
                        std::string &Reason)> &Edit) {
  const std::unique_ptr<adapters::object_api::BlockingObjectApi> Session =
      openObjectApi(Context, Command);
  if (!Session)
    return ExitCode::Usage;
  IntentStore Intents(*Session);
  for (int Attempt = 1;; ++Attempt) {
    ExitCode Code = ExitCode::Ok;
    const std::optional<CurrentIntent> Current =
        readCurrentIntent(Intents, Context, Code);
    if (!Current)
      return Code;
    const std::optional<model::Intent> Before =
        parseIntent(Current->m_Text, "intent", Context);
    if (!Before)
      return ExitCode::Findings;
    std::string Reason;
    const std::optional<std::string> Text =
        Edit(Current->m_Text, *Before, Reason);
    if (!Text) {
      Context.m_Err << "bronzepass " << Command << ": " << Reason << "\n";
      return ExitCode::NotFound;
    }
    const std::optional<model::Intent> After =
        parseIntent(*Text, "intent", Context);
    if (!After)
      return ExitCode::Findings;
    const std::string Summary =
        model::summarize(model::diffIntents(*Before, *After));
    const ApplyOutcome Outcome = Intents.apply(
        {*Text, Current->m_Head.m_Generation, authorOf(Context), Summary});
    if (Outcome.m_Status != ApplyStatus::Conflict || Attempt == MaxEditAttempts)
      return printApplyOutcome(Outcome, Summary, Context);
  }
}

std::string authorOf(const CommandContext &Context) {
  const std::string Author = Context.optionValue("author");
  if (!Author.empty())
    return Author;
  const char *User = std::getenv("USER");
  return User && *User ? User : "operator";
}

} // namespace bronzepass::core::cli
