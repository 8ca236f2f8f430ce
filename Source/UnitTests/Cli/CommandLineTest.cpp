#include "Core/Cli/CommandLine.h"

#include <doctest/doctest.h>
#include <sstream>

namespace bronzepass::unit_tests::cli {

using core::cli::allCommands;
using core::cli::CommandLine;
using core::cli::ExitCode;

namespace {

struct Outcome {
  ExitCode m_Code;
  std::string m_Out;
  std::string m_Err;
};

Outcome run(const std::vector<std::string> &Arguments) {
  std::ostringstream Out;
  std::ostringstream Err;
  const ExitCode Code = CommandLine(allCommands()).run(Arguments, Out, Err);
  return {Code, Out.str(), Err.str()};
}

} // namespace

TEST_CASE("an unknown word gets one line with a near match") {
  const Outcome Command = run({"chekc"});
  CHECK(Command.m_Code == ExitCode::Usage);
  CHECK(Command.m_Err ==
        "bronzepass: unknown command 'chekc' (did you mean 'check'?)\n");
  const Outcome Option = run({"check", "--knid", "intent"});
  CHECK(Option.m_Code == ExitCode::Usage);
  CHECK(Option.m_Err == "bronzepass check: unknown option '--knid' (did you "
                        "mean '--kind'?)\n");
  CHECK(run({"version", "--output", "jsn"}).m_Err ==
        "bronzepass version: --output is 'jsn', expected table or json (did "
        "you mean 'json'?)\n");
}

TEST_CASE("every command has help, and a missing file is said") {
  for (const auto &Command : allCommands())
    CHECK(run({Command->name(), "--help"}).m_Code == ExitCode::Ok);
  const Outcome Missing = run({"check", "no-such-file.yaml"});
  CHECK(Missing.m_Code == ExitCode::Failed);
  CHECK(Missing.m_Err ==
        "bronzepass check: no-such-file.yaml: No such file or directory\n");
  CHECK(run({"check", "Examples/nile/intent.yaml"}).m_Code == ExitCode::Ok);
}

} // namespace bronzepass::unit_tests::cli
