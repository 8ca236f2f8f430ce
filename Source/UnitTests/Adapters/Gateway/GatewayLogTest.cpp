#include "Core/Adapters/Gateway/GatewayLog.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace bronzepass::core::adapters::gateway {

namespace {

/// Redirects standard output into a pipe.
class StdoutPipe {
public:
  StdoutPipe() : m_Saved(::dup(STDOUT_FILENO)) {
    // Keep earlier output of the test program out of the pipe.
    std::cout.flush();
    std::fflush(stdout);
    std::array<int, 2> Ends{};
    REQUIRE(::pipe(Ends.data()) == 0);
    m_ReadEnd = Ends[0];
    ::dup2(Ends[1], STDOUT_FILENO);
    ::close(Ends[1]);
  }
  ~StdoutPipe() { restore(); }
  StdoutPipe(const StdoutPipe &) = delete;
  StdoutPipe &operator=(const StdoutPipe &) = delete;

  void restore() {
    if (m_Saved < 0)
      return;
    ::dup2(m_Saved, STDOUT_FILENO);
    ::close(m_Saved);
    m_Saved = -1;
  }
  /// Reads until the text contains \p Stop.
  std::string readUntil(const std::string &Stop) {
    std::string Text;
    std::array<char, 4096> Bytes{};
    while (Text.find(Stop) == std::string::npos) {
      const ssize_t Count = ::read(m_ReadEnd, Bytes.data(), Bytes.size());
      if (Count <= 0)
        break;
      Text.append(Bytes.data(), static_cast<size_t>(Count));
    }
    return Text;
  }

private:
  int m_Saved;
  int m_ReadEnd = -1;
};

} // namespace

TEST_CASE("each line is one valid JSON object for any field value") {
  StdoutPipe Pipe;
  {
    GatewayLog Log("n1");
    Log.write("request", "refuse",
              {{"request", std::string("a\"b\n\xff")},
               {"status", int64_t{503}},
               {"reason", std::string()}});
    Log.flush();
  }
  const std::string Text = Pipe.readUntil("\n");
  Pipe.restore();
  const nlohmann::json Line =
      nlohmann::json::parse(Text.substr(0, Text.find('\n')));
  CHECK(Line["node"] == "n1");
  CHECK(Line["category"] == "request");
  CHECK(Line["action"] == "refuse");
  CHECK(Line["status"] == 503);
  CHECK_FALSE(Line.contains("reason"));
  CHECK(Line.contains("time"));
}

TEST_CASE("writing does not block on a stalled reader, and dropped lines are "
          "counted and logged") {
  StdoutPipe Pipe;
  GatewayLog Log("n1");
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  // Far more than the pipe and the queue can hold.
  constexpr int Lines = 30000;
  for (int I = 0; I < Lines; ++I)
    Log.write("request", "answer", {{"request", std::string(100, 'x')}});
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(20));
  CHECK(Log.dropped() > 0);
  Log.write("process", "last", {});
  const std::string Text = Pipe.readUntil("\"last\"");
  Pipe.restore();
  CHECK(Text.find("lines_dropped") != std::string::npos);
}

namespace {

/// Returns the line that \p Write logs, without its time.
nlohmann::ordered_json
captureLine(const std::function<void(GatewayLog &)> &Write) {
  StdoutPipe Pipe;
  {
    GatewayLog Log("n1");
    Write(Log);
    Log.flush();
  }
  const std::string Text = Pipe.readUntil("\n");
  Pipe.restore();
  nlohmann::ordered_json Line =
      nlohmann::ordered_json::parse(Text.substr(0, Text.find('\n')));
  Line.erase("time");
  return Line;
}

core::gateway::RelayLogEntry sendLogEntry() {
  core::gateway::RelayLogEntry Entry;
  Entry.m_CallerRequestId = "9c41d07be2a35f68";
  Entry.m_Action = "send";
  Entry.m_Kind = "stream";
  Entry.m_Route = "r-1";
  Entry.m_ModelRef = {"m1", "a3"};
  Entry.m_Endpoint = "e1";
  Entry.m_SoftwareVersion = "v1.1";
  Entry.m_ConfigVersion = 4;
  Entry.m_Sends = 1;
  Entry.m_Elapsed = std::chrono::milliseconds(12);
  Entry.m_Inputs = core::gateway::ChoiceInputs{
      3,   2, 5, std::chrono::milliseconds(180), std::chrono::milliseconds(7),
      120, 40};
  return Entry;
}

} // namespace

TEST_CASE("the format of each kind of line is unchanged") {
  CHECK(
      captureLine([](GatewayLog &Log) { Log.write(sendLogEntry()); }).dump() ==
      R"({"node":"n1","category":"request","action":"send",)"
      R"("request":"9c41d07be2a35f68","kind":"stream","route":"r-1",)"
      R"("artifact":"m1/a3","endpoint":"e1","version":"v1.1","status":0,"sends":1,)"
      R"("elapsed_ms":12,"config":4,"candidates":3,"own_load":2,)"
      R"("peer_load":5,"peer_age_ms":180,"wait_ms":7,"missing_tokens":120,)"
      R"("tokens_ahead":40})");
  CHECK(captureLine([](GatewayLog &Log) {
          Log.write(residency::ResidencyLogEntry{"load", "e1", "m1", 7, 2,
                                                 "m1 has 0 copies"});
        }).dump() == R"({"node":"n1","category":"placement","action":"load",)"
                     R"("endpoint":"e1","artifact":"m1","token":7,"count":2,)"
                     R"("reason":"m1 has 0 copies"})");
  CHECK(captureLine([](GatewayLog &Log) {
          Log.write("dependency", "lost",
                    {{"dependency", std::string("store/config")},
                     {"reason", std::string("no answer")}});
        }).dump() == R"({"node":"n1","category":"dependency","action":"lost",)"
                     R"("dependency":"store/config","reason":"no answer"})");
}

TEST_CASE("the content of a request whose send broke off is logged, its prompt "
          "in the order and notation of the caller") {
  const nlohmann::ordered_json Line = captureLine([](GatewayLog &Log) {
    core::gateway::RelayLogEntry Entry = sendLogEntry();
    Entry.m_Content = {0xfeed, "/a/b", {0x5c1e07a2, 0x91bd3f06}};
    Log.write(Entry);
  });
  CHECK(Line["fingerprint"] == "feed");
  CHECK(Line["path"] == "/a/b");
  CHECK(Line["prompt"] == "5c1e07a2,91bd3f06");
}

TEST_CASE("every field of request and placement lines is documented") {
  std::ifstream File(std::string(BRONZEPASS_DOCS) + "/LOGS.md");
  REQUIRE(File);
  const std::string Documented((std::istreambuf_iterator<char>(File)),
                               std::istreambuf_iterator<char>());
  const nlohmann::ordered_json Lines = {
      captureLine([](GatewayLog &Log) {
        core::gateway::RelayLogEntry Entry = sendLogEntry();
        Entry.m_Reason = "why";
        Entry.m_FirstAttempt = "9c41";
        Entry.m_Timing = core::gateway::AnswerTiming();
        Entry.m_AnswerEnd = core::gateway::AnswerEnd();
        Entry.m_Content = {1, "/a", {1}};
        Log.write(Entry);
      }),
      captureLine([](GatewayLog &Log) {
        Log.write(
            residency::ResidencyLogEntry{"load", "e1", "m1", 7, 2, "why"});
      }),
      captureLine([](GatewayLog &Log) {
        Log.write(core::gateway::QuarantineChange{7, true, 3, false});
      }),
      captureLine([](GatewayLog &Log) {
        Log.write(core::gateway::StatementChange{model::EndpointId("e1"),
                                                 {true, 4.5}});
      }),
      captureLine([](GatewayLog &Log) {
        Log.write(core::gateway::PauseBegun{model::EndpointId("e1"),
                                            std::chrono::seconds(2)});
      }),
      captureLine([](GatewayLog &Log) {
        Log.write(core::gateway::LinksChange{"s", true, 3, 1});
      })};
  for (const nlohmann::ordered_json &Line : Lines)
    for (const auto &Field : Line.items()) {
      INFO(Field.key());
      CHECK(Documented.find("`" + Field.key() + "`") != std::string::npos);
    }
}

} // namespace bronzepass::core::adapters::gateway
