#ifndef BRONZEPASS_CORE_CLI_INTENTACCESS_H
#define BRONZEPASS_CORE_CLI_INTENTACCESS_H

#include "Core/Adapters/ObjectApi/BlockingObjectApi.h"
#include "Core/Cli/Command.h"
#include "Core/IntentStore/IntentStore.h"
#include "Core/Model/Intent.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// Options of commands that reach the object API.
void addObjectApiOptions(boost::program_options::options_description &Options);
/// Options of commands that write an intent.
void addAuthorOptions(boost::program_options::options_description &Options);

/// A session as the options say; nothing after printing why.
std::unique_ptr<adapters::object_api::BlockingObjectApi>
openObjectApi(const CommandContext &Context, const std::string &Command);

/// The intent in \p Text, or nothing after printing its findings.
std::optional<model::Intent> parseIntent(const std::string &Text,
                                         const std::string &FileName,
                                         const CommandContext &Context);

/// The intent that the object API holds, or nothing after printing why, with
/// the exit code in \p Code.
std::optional<intent_store::CurrentIntent>
readCurrent(intent_store::IntentStore &Intents, const CommandContext &Context,
            ExitCode &Code);

/// Prints what became of a change.
ExitCode reportApply(const intent_store::ApplyOutcome &Outcome,
                     const std::string &Summary, const CommandContext &Context);

/// Changes the intent's text by \p Edit and applies it, again from the newest
/// generation where another change came first.
ExitCode editIntent(const CommandContext &Context, const std::string &Command,
                    const std::function<std::optional<std::string>(
                        const std::string &Text, const model::Intent &Current,
                        std::string &Reason)> &Edit);

/// Who makes a change: --author, else the user's name.
std::string authorOf(const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_INTENTACCESS_H
