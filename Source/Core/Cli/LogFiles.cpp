#include "Core/Cli/LogFiles.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace bronzepass::core::cli {

std::optional<adapters::json::LogReadResult>
readLogs(const CommandContext &Context, const std::string &Command,
         const std::vector<std::string> &Paths) {
  adapters::json::LogReadResult ReadResult;
  for (const std::string &Path : Paths) {
    if (Path == "-") {
      adapters::json::readLog(std::cin, ReadResult);
      continue;
    }
    std::ifstream File(Path);
    if (!File) {
      Context.m_Err << "bronzepass " << Command << ": " << Path
                    << " can't be opened\n";
      return std::nullopt;
    }
    adapters::json::readLog(File, ReadResult);
  }
  if (ReadResult.m_Lines.empty()) {
    Context.m_Err << "bronzepass " << Command
                  << ": no line of a gateway node among "
                  << ReadResult.m_UnreadableLines << " lines\n";
    return std::nullopt;
  }
  return ReadResult;
}

std::string formatFields(const logs::LogLine &Line,
                         const std::vector<std::string> &Omitted) {
  std::string Text;
  for (const auto &Field : Line.m_Fields) {
    if (std::find(Omitted.begin(), Omitted.end(), Field.first) != Omitted.end())
      continue;
    const bool HasSpace = Field.second.find(' ') != std::string::npos;
    Text += (Text.empty() ? "" : " ") + Field.first + "=" +
            (HasSpace ? "\"" + Field.second + "\"" : Field.second);
  }
  return Text;
}

std::string formatTime(int64_t UnixMs) {
  constexpr int64_t MillisPerSecond = 1000;
  constexpr int64_t SecondsPerMinute = 60;
  constexpr int64_t MinutesPerHour = 60;
  constexpr int64_t HoursPerDay = 24;
  const int64_t Seconds = UnixMs / MillisPerSecond;
  const int64_t Minutes = Seconds / SecondsPerMinute;
  std::ostringstream Out;
  Out << std::setfill('0') << std::setw(2)
      << Minutes / MinutesPerHour % HoursPerDay << ":" << std::setw(2)
      << Minutes % MinutesPerHour << ":" << std::setw(2)
      << Seconds % SecondsPerMinute << "." << std::setw(3)
      << UnixMs % MillisPerSecond;
  return Out.str();
}

} // namespace bronzepass::core::cli
