#include "Core/Adapters/Json/LogLineReader.h"

#include <doctest/doctest.h>
#include <sstream>

namespace bronzepass::core::adapters::json {

TEST_CASE("a log line is read after text added by a log collector") {
  const std::optional<logs::LogLine> Line = readLogLine(
      R"(  1.03 n1 {"time":"1970-01-02T00:00:01.069+00:00","node":"n1",)"
      R"("category":"request","action":"refuse","status":503,"reason":"a b"})");
  REQUIRE(Line);
  CHECK(Line->m_TimeMs == 86401069);
  CHECK(Line->m_Node == "n1");
  CHECK(Line->is("request", "refuse"));
  CHECK(Line->field("status") == "503");
  CHECK(Line->field("reason") == "a b");
  CHECK(Line->field("time").empty());
  CHECK(Line->field("missing").empty());
}

TEST_CASE("the time zone offset is subtracted from the time") {
  const std::optional<logs::LogLine> Line =
      readLogLine(R"({"time":"1970-01-01T02:00:00.000+01:30","node":"n",)"
                  R"("category":"c","action":"a"})");
  REQUIRE(Line);
  CHECK(Line->m_TimeMs == 30 * 60 * 1000);
}

TEST_CASE("lines that are not a node's are skipped and counted") {
  for (const char *const Text :
       {"", "no brace", "{", "{}", "[1]", R"({"time":7,"node":"n"})",
        R"({"time":"2026-13-01T00:00:00.000+00:00","node":"n",)"
        R"("category":"c","action":"a"})",
        R"({"time":"2026-01-01T00:00:00.0","node":"n","category":"c",)"
        R"("action":"a"})",
        R"({"time":"2026-01-01T00:00:00.000+00:00","category":"c",)"
        R"("action":"a"})"})
    CHECK_FALSE(readLogLine(Text));
  std::istringstream In("half a li\n"
                        R"({"time":"2026-01-01T00:00:00.000+00:00",)"
                        R"("node":"n","category":"c","action":"a"})"
                        "\n\n{\"time\":\n");
  LogReadResult Result;
  readLog(In, Result);
  CHECK(Result.m_Lines.size() == 1);
  CHECK(Result.m_UnreadableLines == 2);
}

} // namespace bronzepass::core::adapters::json
