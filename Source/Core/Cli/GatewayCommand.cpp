#include "Core/Cli/GatewayCommand.h"

#include "Core/Adapters/Gateway/GatewayDaemon.h"
#include "Core/Adapters/Yaml/SettingsReader.h"
#include "Core/Cli/FileText.h"
#include "Core/Cli/FindingPrinter.h"
#include "Core/Settings/GatewaySettings.h"
#include "platform/PlatformDialect.h"

#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

void GatewayCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("settings", po::value<std::string>(),
                        "settings file of this node");
}

ExitCode GatewayCommand::run(const CommandContext &Context) const {
  const std::string Path = Context.optionValue("settings");
  if (Path.empty()) {
    Context.m_Err << "bronzepass gateway: name a settings file\n";
    return ExitCode::Usage;
  }
  std::string Reason;
  const std::optional<std::string> Text = readFile(Path, Reason);
  if (!Text) {
    Context.m_Err << "bronzepass gateway: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const std::vector<settings::SettingInfo> &KnownSettings =
      settings::gateway::allSettings();
  const adapters::yaml::SettingsReadResult ReadResult =
      adapters::yaml::readSettings(*Text, Path, KnownSettings);
  if (!ReadResult.m_Settings) {
    printFindings(ReadResult.m_Findings, Context);
    return ExitCode::Findings;
  }
  const platform::PlatformDialect Dialect;
  adapters::gateway::GatewayDaemon::blockSignals();
  adapters::gateway::GatewayDaemon Node(
      *ReadResult.m_Settings, Dialect,
      [&](std::string &ReloadError) -> std::optional<settings::NodeSettings> {
        const std::optional<std::string> NewText = readFile(Path, ReloadError);
        if (!NewText)
          return std::nullopt;
        const adapters::yaml::SettingsReadResult NewReadResult =
            adapters::yaml::readSettings(*NewText, Path, KnownSettings);
        if (!NewReadResult.m_Settings)
          ReloadError = model::toString(NewReadResult.m_Findings.front());
        return NewReadResult.m_Settings;
      });
  if (const std::optional<std::string> Error = Node.start()) {
    Context.m_Err << "bronzepass gateway: " << *Error << "\n";
    return ExitCode::Failed;
  }
  return Node.runUntilStopped() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace bronzepass::core::cli
