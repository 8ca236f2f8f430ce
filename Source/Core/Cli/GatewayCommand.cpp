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
  const std::string Path = Context.text("settings");
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
  const std::vector<settings::SettingInfo> &Table =
      settings::gateway::allSettings();
  const adapters::yaml::SettingsReadResult Reading =
      adapters::yaml::readSettings(*Text, Path, Table);
  if (!Reading.m_Settings) {
    printFindings(Reading.m_Findings, Context);
    return ExitCode::Findings;
  }
  const platform::PlatformDialect Dialect;
  adapters::gateway::GatewayDaemon::blockSignals();
  adapters::gateway::GatewayDaemon Node(
      *Reading.m_Settings, Dialect,
      [&](std::string &Why) -> std::optional<settings::NodeSettings> {
        const std::optional<std::string> Now = readFile(Path, Why);
        if (!Now)
          return std::nullopt;
        const adapters::yaml::SettingsReadResult Again =
            adapters::yaml::readSettings(*Now, Path, Table);
        if (!Again.m_Settings)
          Why = model::toString(Again.m_Findings.front());
        return Again.m_Settings;
      });
  if (const std::optional<std::string> Fault = Node.start()) {
    Context.m_Err << "bronzepass gateway: " << *Fault << "\n";
    return ExitCode::Failed;
  }
  return Node.runUntilStopped() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace bronzepass::core::cli
