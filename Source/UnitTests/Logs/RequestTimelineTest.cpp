#include "Core/Logs/RequestTimeline.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace bronzepass::core::logs {

namespace {

using FieldMap = std::map<std::string, std::string>;

LogLine line(int64_t Time, const char *Node, const char *Category,
             const char *Action, FieldMap Fields = {}) {
  return {Time, Node, Category, Action, std::move(Fields)};
}

bool hasCause(const RequestTimeline &Timeline, const std::string &Text) {
  return std::any_of(Timeline.m_Causes.begin(), Timeline.m_Causes.end(),
                     [&](const std::string &Each) {
                       return Each.find(Text) != std::string::npos;
                     });
}

} // namespace

TEST_CASE("a refusal is explained by a load order that is still running") {
  const std::vector<LogLine> Lines = {
      line(9000, "n1", "config", "in_force", {{"config", "4"}}),
      line(9500, "n2", "config", "in_force", {{"config", "5"}}),
      line(10401, "n1", "request", "refuse",
           {{"request", "r1"},
            {"status", "503"},
            {"artifact", "m/a"},
            {"reason", "no engine holds m/a now"}}),
      line(10000, "n1", "request", "wait",
           {{"request", "r1"}, {"artifact", "m/a"}}),
      line(10002, "n3", "placement", "load",
           {{"artifact", "m/a"}, {"endpoint", "e1"}}),
      line(10002, "n3", "placement", "load", {{"artifact", "m/b"}}),
      line(10100, "n1", "request", "send", {{"request", "r2"}}),
  };
  const RequestTimeline Timeline = explainRequest(Lines, "r1");
  REQUIRE(Timeline.m_Entries.size() == 4);
  CHECK(Timeline.m_Entries[0].m_Line.is("config", "in_force"));
  CHECK(Timeline.m_Entries[0].m_OffsetMs == -1000);
  CHECK(Timeline.m_Entries[1].m_Line.m_Action == "wait");
  CHECK(Timeline.m_Entries[2].m_Line.field("endpoint") == "e1");
  CHECK(Timeline.m_Outcome == "refuse");
  CHECK(Timeline.m_Status == "503");
  CHECK(Timeline.m_Causes[0] == "no engine holds m/a now");
  CHECK(hasCause(Timeline, "on its way"));
}

TEST_CASE("a broken stream is explained by the crash of its endpoint") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "request", "send",
           {{"request", "r"}, {"endpoint", "e1"}}),
      line(5000, "n1", "request", "cut",
           {{"request", "r"}, {"endpoint", "e1"}, {"reason", "broken: eof"}}),
      line(8000, "n1", "endpoint", "gone", {{"endpoint", "e1"}}),
      line(8000, "n2", "endpoint", "gone", {{"endpoint", "e1"}}),
      line(8000, "n1", "endpoint", "gone", {{"endpoint", "e2"}}),
  };
  const RequestTimeline Timeline = explainRequest(Lines, "r");
  CHECK(Timeline.m_Entries.size() == 3);
  CHECK(Timeline.m_Outcome == "cut");
  CHECK(hasCause(Timeline, "broken: eof"));
  CHECK(hasCause(Timeline, "it crashed"));
}

TEST_CASE(
    "a refusal under an old configuration is explained by a store outage") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "config", "in_force", {{"config", "4"}}),
      line(2000, "n1", "dependency", "lost", {{"dependency", "store/config"}}),
      line(3000, "n1", "request", "refuse",
           {{"request", "r"}, {"status", "404"}, {"reason", "no route"}}),
  };
  CHECK(hasCause(explainRequest(Lines, "r"), "did not reach the store"));
  // The store was reachable again before the refusal.
  std::vector<LogLine> Regained = Lines;
  Regained.push_back(line(2500, "n1", "dependency", "regained",
                          {{"dependency", "store/config"}}));
  CHECK_FALSE(
      hasCause(explainRequest(Regained, "r"), "did not reach the store"));
}

TEST_CASE("a request without an outcome, and one that no line names") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "request", "send", {{"request", "r"}}),
      line(1500, "n1", "process", "start"),
  };
  const RequestTimeline Timeline = explainRequest(Lines, "r");
  CHECK(Timeline.m_Outcome.empty());
  CHECK(hasCause(Timeline, "started again"));
  CHECK(explainRequest(Lines, "other").m_Entries.empty());
}

TEST_CASE(
    "a refusal for a key is explained by the configuration or the proof") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "config", "in_force", {{"config", "4"}}),
      line(2000, "n1", "proof", "lost", {{"age_ms", "4000"}}),
      line(2000, "n2", "proof", "lost", {{"age_ms", "4000"}}),
      line(3000, "n1", "request", "refuse",
           {{"request", "r1"},
            {"status", "503"},
            {"cause", "unproven"},
            {"organisation", "lab"}}),
      line(3000, "n1", "request", "refuse",
           {{"request", "r2"}, {"status", "401"}, {"cause", "unknown_key"}}),
  };
  const RequestTimeline Unproven = explainRequest(Lines, "r1");
  CHECK(Unproven.m_Entries.size() == 3);
  CHECK(hasCause(Unproven, "no newer configuration takes the key away"));
  CHECK(hasCause(explainRequest(Lines, "r2"), "no organisation"));
}

} // namespace bronzepass::core::logs
