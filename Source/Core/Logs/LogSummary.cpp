#include "Core/Logs/LogSummary.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <tuple>

namespace bronzepass::core::logs {

namespace {

/// The list of slowest requests fits on one screen.
constexpr size_t MaxSlowestRequests = 10;

int64_t parseNumber(const std::string &Text) {
  int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// Replaces names and numbers, which are words with a slash or a digit, by
/// "...", so that "no engine holds cuxa/a9 now" and "no engine holds b/2 now"
/// count as one cause. HTTP statuses stay.
std::string normalizeReason(const std::string &Reason) {
  std::string Text;
  size_t Position = 0;
  while (Position < Reason.size()) {
    const size_t WordEnd = std::min(Reason.find(' ', Position), Reason.size());
    const std::string Word = Reason.substr(Position, WordEnd - Position);
    const bool IsStatus = Word.size() == 3 && std::isdigit(Word.front());
    const bool IsName =
        !IsStatus && Word.find_first_of("/0123456789") != std::string::npos;
    Text += (Text.empty() ? "" : " ") + (IsName ? "..." : Word);
    Position = WordEnd + 1;
  }
  return Text;
}

bool isStateChange(const LogLine &Line) {
  return Line.is("config", "in_force") || Line.m_Category == "dependency" ||
         Line.m_Category == "proof" || Line.m_Category == "process" ||
         Line.is("placement", "lease_gained") ||
         Line.is("placement", "lease_lost") ||
         Line.is("placement", "token_refused");
}

int64_t percentile(const std::vector<int64_t> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const size_t Index =
      static_cast<size_t>(Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

} // namespace

LogSummary summarize(const std::vector<LogLine> &Lines) {
  LogSummary Summary;
  Summary.m_Lines = Lines.size();
  std::map<std::string, std::vector<int64_t>> ElapsedMsByKind;
  std::map<std::tuple<std::string, std::string, std::string>, FailureCause>
      Causes;
  std::map<std::string, int64_t> DroppedByNode;
  for (const LogLine &Line : Lines) {
    if (Summary.m_FromMs == 0 || Line.m_TimeMs < Summary.m_FromMs)
      Summary.m_FromMs = Line.m_TimeMs;
    Summary.m_UntilMs = std::max(Summary.m_UntilMs, Line.m_TimeMs);
    int64_t &NodeDropped = DroppedByNode[Line.m_Node];
    NodeDropped =
        std::max(NodeDropped, parseNumber(Line.field("lines_dropped")));
    if (isStateChange(Line))
      Summary.m_Changes.push_back(Line);
    if (Line.is("placement", "load") || Line.is("placement", "unload"))
      ++Summary.m_Orders[Line.m_Action + " " + Line.field("artifact")];
    if (Line.m_Category != "request")
      continue;
    const std::string Kind =
        Line.field("kind").empty() ? "no route" : Line.field("kind");
    const bool IsFailure = Line.m_Action == "refuse" || Line.m_Action == "cut";
    if (Line.m_Action == "answer") {
      ++Summary.m_Kinds[Kind].m_Answered;
      ElapsedMsByKind[Kind].push_back(parseNumber(Line.field("elapsed_ms")));
      Summary.m_Slowest.push_back(Line);
    } else if (Line.m_Action == "refuse") {
      ++Summary.m_Kinds[Kind].m_Refused;
    } else if (Line.m_Action == "cut") {
      ++Summary.m_Kinds[Kind].m_Cut;
    } else if (Line.m_Action == "gone") {
      ++Summary.m_Kinds[Kind].m_Gone;
    }
    if (!IsFailure)
      continue;
    const std::string Reason = normalizeReason(Line.field("reason"));
    FailureCause &Cause = Causes[{Line.m_Action, Line.field("status"), Reason}];
    if (Cause.m_Count++ == 0)
      Cause = {Line.m_Action, Line.field("status"), Reason, 1,
               Line.field("request")};
  }
  for (const auto &Each : DroppedByNode)
    Summary.m_LinesDropped += static_cast<uint64_t>(Each.second);
  for (auto &Each : ElapsedMsByKind) {
    std::vector<int64_t> &Sorted = Each.second;
    std::sort(Sorted.begin(), Sorted.end());
    KindSummary &Kind = Summary.m_Kinds[Each.first];
    Kind.m_MedianMs = percentile(Sorted, 0.5);
    Kind.m_P99Ms = percentile(Sorted, 0.99);
    Kind.m_MaxMs = Sorted.back();
  }
  for (const auto &Each : Causes)
    Summary.m_Causes.push_back(Each.second);
  std::stable_sort(Summary.m_Causes.begin(), Summary.m_Causes.end(),
                   [](const FailureCause &Left, const FailureCause &Right) {
                     return Left.m_Count > Right.m_Count;
                   });
  std::stable_sort(Summary.m_Slowest.begin(), Summary.m_Slowest.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return parseNumber(Left.field("elapsed_ms")) >
                            parseNumber(Right.field("elapsed_ms"));
                   });
  Summary.m_Slowest.resize(
      std::min(Summary.m_Slowest.size(), MaxSlowestRequests));
  std::stable_sort(Summary.m_Changes.begin(), Summary.m_Changes.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.m_TimeMs < Right.m_TimeMs;
                   });
  return Summary;
}

} // namespace bronzepass::core::logs
