#include "Core/Cli/CheckCommand.h"

#include "Core/Adapters/Yaml/SettingsReader.h"
#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Cli/FileText.h"
#include "Core/Cli/FindingPrinter.h"
#include "Core/Cli/Table.h"
#include "Core/Gateway/ConfigChecks.h"
#include "Core/Gateway/ConfigDiff.h"
#include "Core/Settings/GatewaySettings.h"
#include "Core/Settings/NodeSettings.h"
#include "platform/PlatformDialect.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

void CheckCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("file", po::value<std::string>(), "file to check")(
      "kind", po::value<std::string>()->default_value("intent"),
      "intent, settings, gateway (settings of a gateway node) or "
      "platform-config (a configuration object of the platform)")(
      "against", po::value<std::string>(),
      "with --kind platform-config: the configuration in force; lists what the "
      "file would change")(
      "list-settings", po::bool_switch(),
      "list every setting of a node instead (with --kind gateway: of a gateway "
      "node)");
}

namespace {

const std::vector<settings::SettingInfo> &
settingsTable(const std::string &Kind) {
  return Kind == "gateway" ? settings::gateway::allSettings()
                           : settings::allSettings();
}

/// The findings in a file of kind \p Kind; nullopt if the kind is unknown.
std::optional<model::FindingList> checkText(const std::string &Kind,
                                            const std::string &Text,
                                            const std::string &Path) {
  if (Kind == "intent")
    return adapters::yaml::YamlIntentReader().read(Text, Path).m_Findings;
  if (Kind == "settings" || Kind == "gateway")
    return adapters::yaml::readSettings(Text, Path, settingsTable(Kind))
        .m_Findings;
  if (Kind == "platform-config") {
    gateway::Decoded<gateway::GatewayConfig> Read =
        platform::PlatformDialect().readConfig(Text);
    if (Read.m_Value)
      for (model::Finding &Each : gateway::checkConfig(*Read.m_Value))
        Read.m_Findings.push_back(std::move(Each));
    return Read.m_Findings;
  }
  return std::nullopt;
}

using ConfigChanges = std::vector<gateway::ConfigChange>;

/// What the configuration \p Text changes against \p OldText; nullopt, and the
/// reason, if one can't be read or the new one would be ignored.
std::optional<ConfigChanges> changesOf(const std::string &OldText,
                                       const std::string &Text,
                                       std::string &Reason) {
  const platform::PlatformDialect Dialect;
  const std::optional<gateway::GatewayConfig> Old =
      Dialect.readConfig(OldText).m_Value;
  const std::optional<gateway::GatewayConfig> New =
      Dialect.readConfig(Text).m_Value;
  if (!Old || !New) {
    Reason = std::string("no comparison, since ") +
             (Old ? "the file" : "the configuration in force") + " has errors";
    return std::nullopt;
  }
  if (New->m_Version <= Old->m_Version) {
    Reason = "version " + std::to_string(New->m_Version) +
             " is not above the one in force, " +
             std::to_string(Old->m_Version) + ": nodes will ignore it";
    return std::nullopt;
  }
  return gateway::diffConfigs(*Old, *New);
}

void printChanges(const ConfigChanges &Changes, const CommandContext &Context) {
  Table Rows({"Change", "Of", "Detail"});
  for (const gateway::ConfigChange &Each : Changes)
    Rows.add({Each.m_Kind, Each.m_Subject, Each.m_Detail});
  Rows.print(Context.m_Out, Context.wantsJson());
}

/// Prints the findings in \p Text and what it changes against the file that
/// --against names; with JSON, as one object.
ExitCode compare(const std::string &Text, const model::FindingList &Findings,
                 const CommandContext &Context) {
  std::string Reason;
  const std::optional<std::string> OldText =
      readFile(Context.optionValue("against"), Reason);
  if (!OldText) {
    Context.m_Err << "bronzepass check: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const std::optional<ConfigChanges> Changes =
      changesOf(*OldText, Text, Reason);
  const bool AsJson = Context.wantsJson();
  Context.m_Out << (AsJson ? "{\"findings\": " : "");
  printFindings(Findings, Context);
  Context.m_Out << (AsJson ? ", \"changes\": " : "");
  printChanges(Changes.value_or(ConfigChanges()), Context);
  Context.m_Out << (AsJson ? "}\n" : "");
  if (!Changes)
    Context.m_Err << "bronzepass check: " << Reason << "\n";
  return !Changes || model::hasErrors(Findings) ? ExitCode::Findings
                                                : ExitCode::Ok;
}

void listSettings(const CommandContext &Context) {
  Table Rows({"Section", "Key", "Default", "Range", "Meaning"});
  for (const settings::SettingInfo &Info :
       settingsTable(Context.optionValue("kind"))) {
    const std::string Default = Info.m_HasDefault
                                    ? settings::toString(Info.m_DefaultValue)
                                    : "(required)";
    const std::string Range =
        Info.m_Minimum ? settings::toString(*Info.m_Minimum) + " to " +
                             settings::toString(*Info.m_Maximum)
                       : "";
    Rows.add({Info.m_Section, Info.m_Key, Default, Range, Info.m_Description});
  }
  Rows.print(Context.m_Out, Context.wantsJson());
}

} // namespace

ExitCode CheckCommand::run(const CommandContext &Context) const {
  if (Context.m_Options["list-settings"].as<bool>()) {
    listSettings(Context);
    return ExitCode::Ok;
  }
  const std::string Path = Context.optionValue("file");
  const std::string Kind = Context.optionValue("kind");
  if (Path.empty()) {
    Context.m_Err << "bronzepass check: name a file\n";
    return ExitCode::Usage;
  }
  const bool IsCompared = Context.m_Options.count("against") > 0;
  if (IsCompared && Kind != "platform-config") {
    Context.m_Err << "bronzepass check: --against goes with --kind "
                     "platform-config\n";
    return ExitCode::Usage;
  }
  std::string Reason;
  const std::optional<std::string> Text = readFile(Path, Reason);
  if (!Text) {
    Context.m_Err << "bronzepass check: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const std::optional<model::FindingList> Findings =
      checkText(Kind, *Text, Path);
  if (!Findings) {
    Context.m_Err << "bronzepass check: --kind is '" << Kind
                  << "', expected intent, settings, gateway or "
                     "platform-config\n";
    return ExitCode::Usage;
  }
  if (IsCompared)
    return compare(*Text, *Findings, Context);
  printFindings(*Findings, Context);
  return model::hasErrors(*Findings) ? ExitCode::Findings : ExitCode::Ok;
}

} // namespace bronzepass::core::cli
