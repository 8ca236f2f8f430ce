#include "Core/Cli/CommandLine.h"

#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
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

TEST_CASE("an unknown command, option or value is reported with a near match") {
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

TEST_CASE("every command has help, and a missing file is reported") {
  for (const auto &Command : allCommands())
    CHECK(run({Command->name(), "--help"}).m_Code == ExitCode::Ok);
  const Outcome Missing = run({"check", "no-such-file.yaml"});
  CHECK(Missing.m_Code == ExitCode::Failed);
  CHECK(Missing.m_Err ==
        "bronzepass check: no-such-file.yaml: No such file or directory\n");
  CHECK(run({"check", "Examples/nile/intent.yaml"}).m_Code == ExitCode::Ok);
}

TEST_CASE("a configuration is checked and compared with the one in force") {
  const std::string Old = "command-line-old.json";
  const std::string New = "command-line-new.json";
  std::ofstream(Old) << R"({"Version":1,"Services":[{"Name":"s"}],"Routes":[
{"Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"}],
"Tenants":[{"Name":"o","ApiKeys":["secret-1"]}]})";
  std::ofstream(New) << R"({"Version":2,"Services":[{"Name":"s"}],"Routes":[
{"Host":"h","PathPrefix":"/b/","Kind":"idempotent","Service":"t"}],
"Tenants":[{"Name":"o","ApiKeys":["secret-2"]}]})";
  const std::string Next = "command-line-next.json";
  std::ofstream(Next) << R"({"Version":2,"Services":[{"Name":"s"}],"Routes":[
{"Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"}],
"Tenants":[{"Name":"o","ApiKeys":["secret-1"]}]})";
  const std::string Odd = "command-line-odd.json";
  std::ofstream(Odd) << R"({"Version":3,"Services":[{"Name":"s"}],"Routes":[
{"Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"}],
"Tenants":[{"Name":"o","ApiKeys":"secret-1"}]})";
  const Outcome Same =
      run({"check", Old, "--kind", "platform-config", "--against", Old});
  CHECK(Same.m_Code == ExitCode::Findings);
  CHECK(Same.m_Err.find("not above the one in force") != std::string::npos);
  CHECK(run({"check", Next, "--kind", "platform-config", "--against", Old})
            .m_Code == ExitCode::Ok);
  const Outcome Json = run({"check", Next, "--kind", "platform-config",
                            "--against", Old, "--output", "json"});
  CHECK(Json.m_Out == "{\"findings\": []\n, \"changes\": []\n}\n");
  const Outcome Unreadable =
      run({"check", Odd, "--kind", "platform-config", "--against", Old});
  CHECK(Unreadable.m_Code == ExitCode::Findings);
  CHECK((Unreadable.m_Out + Unreadable.m_Err).find("secret") ==
        std::string::npos);
  CHECK(run({"check", Next, "--kind", "platform-config", "--against",
             "no-such-file.json"})
            .m_Code == ExitCode::Failed);
  const Outcome Changed =
      run({"check", New, "--kind", "platform-config", "--against", Old});
  CHECK(Changed.m_Code == ExitCode::Findings);
  const std::string All = Changed.m_Out + Changed.m_Err;
  CHECK(All.find("no service is called t") != std::string::npos);
  CHECK(All.find("route h/b/") != std::string::npos);
  CHECK(All.find("1 added, 1 taken away") != std::string::npos);
  CHECK(All.find("secret") == std::string::npos);
  CHECK(run({"check", Old, "--kind", "platform-config"}).m_Code ==
        ExitCode::Ok);
  CHECK(run({"check", Old, "--kind", "intent", "--against", Old}).m_Code ==
        ExitCode::Usage);
  std::remove(Old.c_str());
  std::remove(New.c_str());
  std::remove(Next.c_str());
  std::remove(Odd.c_str());
}

TEST_CASE("explain shows a request from logs, and logs prints a summary") {
  const std::string Path = "command-line-test.log";
  {
    std::ofstream File(Path);
    File << R"({"time":"2026-01-01T00:00:01.000+00:00","node":"n1",)"
            R"("category":"config","action":"in_force","config":4})"
            "\n"
            R"({"time":"2026-01-01T00:00:02.000+00:00","node":"n1",)"
            R"("category":"request","action":"refuse","request":"r1",)"
            R"("kind":"once","status":503,"reason":"no endpoint can take it"})"
            "\nhalf a li\n";
  }
  const Outcome Explained = run({"explain", "--logs", Path, "r1"});
  CHECK(Explained.m_Code == ExitCode::Ok);
  CHECK(Explained.m_Out.find("Outcome: refuse 503\n"
                             "Cause: no endpoint can take it\n") !=
        std::string::npos);
  CHECK(Explained.m_Out.find("-1000 ms  n1      config in_force") !=
        std::string::npos);
  const Outcome Json =
      run({"explain", "--logs", Path, "r1", "--output", "json"});
  CHECK(Json.m_Out.find(R"("outcome": "refuse")") != std::string::npos);
  CHECK(run({"explain", "--logs", Path, "r2"}).m_Code == ExitCode::NotFound);
  CHECK(run({"explain", "--logs", Path, "r2"}).m_Err ==
        "bronzepass explain: no line names request r2; its node's log may not "
        "be among these\n");
  CHECK(run({"explain", "--logs", Path}).m_Code == ExitCode::Usage);
  const Outcome Summarized = run({"logs", Path, Path});
  CHECK(Summarized.m_Code == ExitCode::Ok);
  CHECK(Summarized.m_Out.find(
            "4 lines from 00:00:01.000 to 00:00:02.000 (1 s), 0 "
            "left out by the nodes, 2 unreadable") != std::string::npos);
  CHECK(run({"logs", Path, "--output", "json"})
            .m_Out.find(R"("reason": "no endpoint can take it")") !=
        std::string::npos);
  CHECK(run({"logs", "no-such.log"}).m_Err ==
        "bronzepass logs: no-such.log can't be opened\n");
  CHECK(run({"logs"}).m_Code == ExitCode::Usage);
  std::remove(Path.c_str());
}

} // namespace bronzepass::unit_tests::cli
