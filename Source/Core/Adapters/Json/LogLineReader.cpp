#include "Core/Adapters/Json/LogLineReader.h"

#include <charconv>
#include <chrono>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>

namespace bronzepass::core::adapters::json {

namespace {

using nlohmann::json;

bool readDigits(std::string_view Text, size_t At, size_t Count, int &Value) {
  if (At + Count > Text.size())
    return false;
  const char *const Begin = Text.data() + At;
  const std::from_chars_result Result =
      std::from_chars(Begin, Begin + Count, Value);
  return Result.ec == std::errc() && Result.ptr == Begin + Count;
}

/// Parses "2026-05-27T08:16:10.069+00:00" to Unix milliseconds.
std::optional<int64_t> readTime(std::string_view Text) {
  constexpr size_t Length = 29;
  constexpr size_t SignAt = 23;
  int Year = 0;
  int Month = 0;
  int Day = 0;
  int Hour = 0;
  int Minute = 0;
  int Second = 0;
  int Milli = 0;
  int OffsetHours = 0;
  int OffsetMinutes = 0;
  const bool IsRead =
      Text.size() == Length && readDigits(Text, 0, 4, Year) &&
      readDigits(Text, 5, 2, Month) && readDigits(Text, 8, 2, Day) &&
      readDigits(Text, 11, 2, Hour) && readDigits(Text, 14, 2, Minute) &&
      readDigits(Text, 17, 2, Second) && readDigits(Text, 20, 3, Milli) &&
      readDigits(Text, 24, 2, OffsetHours) &&
      readDigits(Text, 27, 2, OffsetMinutes);
  const std::chrono::year_month_day Date =
      std::chrono::year(Year) /
      std::chrono::month(static_cast<unsigned>(Month)) /
      std::chrono::day(static_cast<unsigned>(Day));
  if (!IsRead || !Date.ok())
    return std::nullopt;
  const std::chrono::minutes Offset =
      std::chrono::hours(OffsetHours) + std::chrono::minutes(OffsetMinutes);
  const std::chrono::milliseconds Time =
      std::chrono::sys_days(Date).time_since_epoch() +
      std::chrono::hours(Hour) + std::chrono::minutes(Minute) +
      std::chrono::seconds(Second) + std::chrono::milliseconds(Milli) -
      (Text[SignAt] == '-' ? -Offset : Offset);
  return Time.count();
}

std::string textOf(const json &Value) {
  return Value.is_string()
             ? Value.get<std::string>()
             : Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<logs::LogLine> readLogLine(std::string_view Text) {
  const size_t Brace = Text.find('{');
  if (Brace == std::string_view::npos)
    return std::nullopt;
  const json Object = json::parse(Text.substr(Brace), nullptr, false);
  if (!Object.is_object())
    return std::nullopt;
  logs::LogLine Line;
  for (const auto &Field : Object.items())
    Line.m_Fields[Field.key()] = textOf(Field.value());
  const std::optional<int64_t> Time = readTime(Line.field("time"));
  Line.m_Node = Line.field("node");
  Line.m_Category = Line.field("category");
  Line.m_Action = Line.field("action");
  if (!Time || Line.m_Node.empty() || Line.m_Category.empty() ||
      Line.m_Action.empty())
    return std::nullopt;
  Line.m_TimeMs = *Time;
  for (const char *const Name : {"time", "node", "category", "action"})
    Line.m_Fields.erase(Name);
  return Line;
}

void readLog(std::istream &In, LogReadResult &Result) {
  std::string Text;
  while (std::getline(In, Text)) {
    if (std::optional<logs::LogLine> Line = readLogLine(Text))
      Result.m_Lines.push_back(std::move(*Line));
    else if (!Text.empty())
      ++Result.m_UnreadableLines;
  }
}

} // namespace bronzepass::core::adapters::json
