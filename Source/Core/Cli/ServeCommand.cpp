#include "Core/Cli/ServeCommand.h"

#include "Core/Adapters/Daemon/Daemon.h"
#include "Core/Adapters/Yaml/SettingsReader.h"
#include "Core/Cli/FileText.h"
#include "Core/Cli/FindingPrinter.h"

#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

void ServeCommand::addOptions(po::options_description &Options) const {
  Options.add_options()("settings", po::value<std::string>(),
                        "settings file of this node");
}

ExitCode ServeCommand::run(const CommandContext &Context) const {
  const std::string Path = Context.optionValue("settings");
  if (Path.empty()) {
    Context.m_Err << "bronzepass serve: name a settings file\n";
    return ExitCode::Usage;
  }
  std::string Reason;
  const std::optional<std::string> Text = readFile(Path, Reason);
  if (!Text) {
    Context.m_Err << "bronzepass serve: " << Reason << "\n";
    return ExitCode::Failed;
  }
  const adapters::yaml::SettingsReadResult ReadResult =
      adapters::yaml::readSettings(*Text, Path);
  if (!ReadResult.m_Settings) {
    printFindings(ReadResult.m_Findings, Context);
    return ExitCode::Findings;
  }
  adapters::daemon::Daemon::blockSignals();
  adapters::daemon::Daemon Node(*ReadResult.m_Settings);
  if (const std::optional<std::string> Error = Node.start()) {
    Context.m_Err << "bronzepass serve: " << *Error << "\n";
    return ExitCode::Failed;
  }
  return Node.runUntilStopped() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace bronzepass::core::cli
