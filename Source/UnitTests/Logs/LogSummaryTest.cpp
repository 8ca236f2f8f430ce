#include "Core/Logs/LogSummary.h"

#include <doctest/doctest.h>

namespace bronzepass::core::logs {

namespace {

LogLine request(int64_t Time, const char *Action, const char *Id,
                const char *Elapsed, const char *Reason = "") {
  return {Time,
          "n1",
          "request",
          Action,
          {{"request", Id},
           {"kind", "stream"},
           {"elapsed_ms", Elapsed},
           {"status", "503"},
           {"reason", Reason}}};
}

} // namespace

TEST_CASE("outcomes are counted by kind, with response times of answers") {
  std::vector<LogLine> Lines;
  for (int I = 1; I <= 100; ++I)
    Lines.push_back(
        request(1000 + I, "answer", "r", std::to_string(I).c_str()));
  Lines.push_back(request(2000, "cut", "c", "5", "broken"));
  Lines.push_back(request(2000, "gone", "g", "5"));
  const LogSummary Summary = summarize(Lines);
  const KindSummary &Stream = Summary.m_Kinds.at("stream");
  CHECK(Stream.m_Answered == 100);
  CHECK(Stream.m_Cut == 1);
  CHECK(Stream.m_Gone == 1);
  CHECK(Stream.m_MedianMs == 50);
  CHECK(Stream.m_P99Ms == 99);
  CHECK(Stream.m_MaxMs == 100);
  CHECK(Summary.m_Slowest.size() == 10);
  CHECK(Summary.m_Slowest[0].field("elapsed_ms") == "100");
  CHECK(Summary.m_FromMs == 1001);
  CHECK(Summary.m_UntilMs == 2000);
}

TEST_CASE("refusals whose reasons differ only in a name are one cause") {
  const LogSummary Summary = summarize({
      request(1, "refuse", "r1", "0", "no engine holds m5/a9 now"),
      request(2, "refuse", "r2", "0", "no engine holds m6 now"),
      request(3, "refuse", "r3", "0", "no route"),
      request(4, "refuse", "r4", "0", "not_run: status 503"),
  });
  REQUIRE(Summary.m_Causes.size() == 3);
  CHECK(Summary.m_Causes[0].m_Count == 2);
  CHECK(Summary.m_Causes[0].m_Reason == "no engine holds ... now");
  CHECK(Summary.m_Causes[0].m_ExampleRequest == "r1");
}

TEST_CASE(
    "state changes are ordered by time, and dropped lines are summed over "
    "nodes") {
  LogLine First{5, "n2", "dependency", "lost", {{"lines_dropped", "7"}}};
  LogLine Second{6, "n1", "config", "in_force", {{"config", "4"}}};
  LogLine Third{7, "n1", "process", "stop", {{"lines_dropped", "3"}}};
  const LogSummary Summary =
      summarize({Third,
                 Second,
                 First,
                 {8, "n1", "placement", "load", {{"artifact", "m"}}}});
  CHECK(Summary.m_Changes == std::vector<LogLine>{First, Second, Third});
  CHECK(Summary.m_LinesDropped == 10);
  CHECK(Summary.m_Orders.at("load m") == 1);
}

} // namespace bronzepass::core::logs
