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

/// Adds the options of commands that connect to the object API.
void addObjectApiOptions(boost::program_options::options_description &Options);
/// Adds the options of commands that write an intent.
void addAuthorOptions(boost::program_options::options_description &Options);

/// Opens an object API session as configured by the options. Prints an error
/// and returns nullptr if an option is invalid.
std::unique_ptr<adapters::object_api::BlockingObjectApi>
openObjectApi(const CommandContext &Context, const std::string &Command);

/// Parses the intent in \p Text and prints its findings; nullopt if it has
/// errors.
std::optional<model::Intent> parseIntent(const std::string &Text,
                                         const std::string &FileName,
                                         const CommandContext &Context);

/// Reads the accepted intent from the object API. On failure prints an error,
/// sets \p Code and returns nullopt.
std::optional<intent_store::CurrentIntent>
readCurrentIntent(intent_store::IntentStore &Intents,
                  const CommandContext &Context, ExitCode &Code);

/// Prints the outcome of applying a change and returns its exit code.
ExitCode printApplyOutcome(const intent_store::ApplyOutcome &Outcome,
                           const std::string &Summary,
                           const CommandContext &Context);

/// Changes the accepted intent's text with \p Edit and applies it. If another
/// change is accepted first, retries from the newest generation.
ExitCode editIntent(const CommandContext &Context, const std::string &Command,
                    const std::function<std::optional<std::string>(
                        const std::string &Text, const model::Intent &Current,
                        std::string &Reason)> &Edit);

/// The author of a change: --author if set, otherwise the user's name.
std::string authorOf(const CommandContext &Context);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_INTENTACCESS_H
