#include "Core/Cli/GenerationWait.h"

#include "Core/Adapters/Yaml/MapReader.h"
#include "Core/Cli/NodePage.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds PollPeriod(100);

} // namespace

void addWaitOptions(po::options_description &Options) {
  Options.add_options()(
      "wait", po::value<std::string>()->implicit_value("9s"),
      "wait until it is in force everywhere, this long at most (9s)");
  addNodeOptions(Options);
}

ExitCode waitUntilInForce(model::Generation Wanted,
                          const CommandContext &Context) {
  if (Context.m_Options.count("wait") == 0)
    return ExitCode::Ok;
  const std::optional<model::Duration> Limit =
      adapters::yaml::parseDuration(Context.optionValue("wait"));
  if (!Limit) {
    Context.m_Err << "bronzepass: --wait is '" << Context.optionValue("wait")
                  << "', expected a time, e.g. 9s\n";
    return ExitCode::Usage;
  }
  const steady_clock::time_point Deadline = steady_clock::now() + *Limit;
  const std::string Path =
      "/generation?wanted=" + std::to_string(Wanted.m_Value);
  while (true) {
    ExitCode Code = ExitCode::Ok;
    const std::optional<nlohmann::ordered_json> Page =
        fetchPage(Context, "apply", Path, Code);
    if (!Page)
      return Code;
    if (Page->value("in_force_everywhere", false)) {
      Context.m_Err << "generation " << Wanted.m_Value
                    << " is in force everywhere\n";
      return ExitCode::Ok;
    }
    if (steady_clock::now() >= Deadline) {
      Context.m_Err << "generation " << Wanted.m_Value
                    << " is not known to be in force on:";
      for (const nlohmann::ordered_json &Node : (*Page)["missing"])
        Context.m_Err << " " << Node.get<std::string>();
      Context.m_Err << "\n";
      return ExitCode::NotInForce;
    }
    std::this_thread::sleep_for(PollPeriod);
  }
}

} // namespace bronzepass::core::cli
