#include "Core/Cli/CommandLine.h"

#include "Core/Model/NearMatch.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

namespace {

constexpr const char *ProgramName = "bronzepass";

bool isHelp(const std::string &Argument) {
  return Argument == "--help" || Argument == "-h" || Argument == "help";
}

std::vector<std::string> optionNames(const po::options_description &Options) {
  std::vector<std::string> Names;
  for (const auto &Option : Options.options())
    Names.push_back("--" + Option->long_name());
  return Names;
}

} // namespace

bool CommandContext::wantsJson() const {
  return optionValue("output") == "json";
}

std::string CommandContext::optionValue(const std::string &Name) const {
  if (m_Options.count(Name) == 0)
    return {};
  return m_Options[Name].as<std::string>();
}

std::vector<std::string>
CommandContext::optionValues(const std::string &Name) const {
  if (m_Options.count(Name) == 0)
    return {};
  return m_Options[Name].as<std::vector<std::string>>();
}

CommandLine::CommandLine(std::vector<std::unique_ptr<Command>> Commands)
    : m_Commands(std::move(Commands)) {}

const Command *CommandLine::find(const std::string &Name) const {
  for (const std::unique_ptr<Command> &Each : m_Commands)
    if (Each->name() == Name)
      return Each.get();
  return nullptr;
}

void CommandLine::printHelp(std::ostream &Out) const {
  Out << "Serves many language models on fewer accelerators.\n\n"
      << "Usage: " << ProgramName << " <command> [options]\n\nCommands:\n";
  for (const std::unique_ptr<Command> &Each : m_Commands)
    Out << "  " << std::left << std::setw(10) << Each->name() << Each->summary()
        << "\n";
  Out << "\n'" << ProgramName
      << " <command> --help' lists a command's options.\n";
}

ExitCode CommandLine::run(const std::vector<std::string> &Arguments,
                          std::ostream &Out, std::ostream &Err) const {
  if (Arguments.empty()) {
    printHelp(Err);
    return ExitCode::Usage;
  }
  if (isHelp(Arguments[0])) {
    printHelp(Out);
    return ExitCode::Ok;
  }
  if (const Command *Selected = find(Arguments[0]))
    return runCommand(*Selected, {Arguments.begin() + 1, Arguments.end()}, Out,
                      Err);
  std::vector<std::string> Names;
  for (const std::unique_ptr<Command> &Each : m_Commands)
    Names.push_back(Each->name());
  Err << ProgramName << ": unknown command '" << Arguments[0] << "'"
      << model::nearMatchHint(Arguments[0], Names) << "\n";
  return ExitCode::Usage;
}

ExitCode CommandLine::runCommand(const Command &Selected,
                                 const std::vector<std::string> &Arguments,
                                 std::ostream &Out, std::ostream &Err) const {
  po::options_description Options("Options of " + Selected.name());
  Options.add_options()("help,h", "show this help")(
      "output", po::value<std::string>()->default_value("table"),
      "table for people, json for scripts");
  Selected.addOptions(Options);
  po::positional_options_description Positional;
  if (!Selected.positionalName().empty())
    Positional.add(Selected.positionalName().c_str(),
                   Selected.maxPositionalCount());

  po::variables_map Values;
  // Boost reports command line errors only through exceptions.
  try {
    po::store(po::command_line_parser(Arguments)
                  .options(Options)
                  .positional(Positional)
                  .run(),
              Values);
    if (Values.count("help") != 0) {
      Out << Selected.summary() << "\n\nUsage: " << ProgramName << " "
          << Selected.name()
          << (Selected.positionalName().empty()
                  ? ""
                  : " <" + Selected.positionalName() + ">")
          << " [options]\n\n"
          << Options;
      return ExitCode::Ok;
    }
    po::notify(Values);
  } catch (const po::unknown_option &Error) {
    Err << ProgramName << " " << Selected.name() << ": unknown option '"
        << Error.get_option_name() << "'"
        << model::nearMatchHint(Error.get_option_name(), optionNames(Options))
        << "\n";
    return ExitCode::Usage;
  } catch (const po::error &Error) {
    Err << ProgramName << " " << Selected.name() << ": " << Error.what()
        << "\n";
    return ExitCode::Usage;
  }
  const CommandContext Context{Values, Out, Err};
  const std::string Format = Context.optionValue("output");
  if (Format != "table" && Format != "json") {
    Err << ProgramName << " " << Selected.name() << ": --output is '" << Format
        << "', expected table or json"
        << model::nearMatchHint(Format, {"table", "json"}) << "\n";
    return ExitCode::Usage;
  }
  return Selected.run(Context);
}

} // namespace bronzepass::core::cli
