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

bool tells(const RequestTimeline &Story, const std::string &Part) {
  return std::any_of(Story.m_Causes.begin(), Story.m_Causes.end(),
                     [&](const std::string &Each) {
                       return Each.find(Part) != std::string::npos;
                     });
}

} // namespace

TEST_CASE("a refusal is followed to the order that was late") {
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
  const RequestTimeline Story = explainRequest(Lines, "r1");
  REQUIRE(Story.m_Steps.size() == 4);
  CHECK(Story.m_Steps[0].m_Line.is("config", "in_force"));
  CHECK(Story.m_Steps[0].m_OffsetMs == -1000);
  CHECK(Story.m_Steps[1].m_Line.m_Action == "wait");
  CHECK(Story.m_Steps[2].m_Line.field("endpoint") == "e1");
  CHECK(Story.m_Outcome == "refuse");
  CHECK(Story.m_Status == "503");
  CHECK(Story.m_Causes[0] == "no engine holds m/a now");
  CHECK(tells(Story, "on its way"));
}

TEST_CASE("a broken stream is followed to the endpoint's end") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "request", "send",
           {{"request", "r"}, {"endpoint", "e1"}}),
      line(5000, "n1", "request", "cut",
           {{"request", "r"}, {"endpoint", "e1"}, {"reason", "broken: eof"}}),
      line(8000, "n1", "endpoint", "gone", {{"endpoint", "e1"}}),
      line(8000, "n2", "endpoint", "gone", {{"endpoint", "e1"}}),
      line(8000, "n1", "endpoint", "gone", {{"endpoint", "e2"}}),
  };
  const RequestTimeline Story = explainRequest(Lines, "r");
  CHECK(Story.m_Steps.size() == 3);
  CHECK(Story.m_Outcome == "cut");
  CHECK(tells(Story, "broken: eof"));
  CHECK(tells(Story, "it crashed"));
}

TEST_CASE("an old route is followed to the outage of the store") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "config", "in_force", {{"config", "4"}}),
      line(2000, "n1", "dependency", "lost", {{"dependency", "store/config"}}),
      line(3000, "n1", "request", "refuse",
           {{"request", "r"}, {"status", "404"}, {"reason", "no route"}}),
  };
  CHECK(tells(explainRequest(Lines, "r"), "did not reach the store"));
  // It was back before.
  std::vector<LogLine> Later = Lines;
  Later.push_back(line(2500, "n1", "dependency", "regained",
                       {{"dependency", "store/config"}}));
  CHECK_FALSE(tells(explainRequest(Later, "r"), "did not reach the store"));
}

TEST_CASE("a request without an end, and one that nobody names") {
  const std::vector<LogLine> Lines = {
      line(1000, "n1", "request", "send", {{"request", "r"}}),
      line(1500, "n1", "process", "start"),
  };
  const RequestTimeline Story = explainRequest(Lines, "r");
  CHECK(Story.m_Outcome.empty());
  CHECK(tells(Story, "started again"));
  CHECK(explainRequest(Lines, "other").m_Steps.empty());
}

} // namespace bronzepass::core::logs
